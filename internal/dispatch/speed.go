// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"math"
	"time"
)

// This file compares the speeds of the workers.
//
// Inputs: the time factors that agents report with their loads.
//
// Rule: the factor of a worker is what its agent reports, divided by the mean of all agents in session, by its logarithm. Run times that the
// entry learns are divided by it.
//
// Reason: agents measure against the times that entries expect, and entries learn these from the runs at all agents. Without the
// division both would drift together, as only their product shows.

// updateTimeFactors compares the time factors again.
func (d *Dispatcher) updateTimeFactors() {
	sum, known := 0.0, 0.0
	for _, a := range d.ordered {
		if a.load.TimeFactor > 0 {
			sum += math.Log(a.load.TimeFactor)
			known++
		}
	}
	for _, a := range d.ordered {
		a.timeFactor = 1
		if a.load.TimeFactor > 0 {
			a.timeFactor = a.load.TimeFactor / math.Exp(sum/known)
		}
	}
}

// usualTime returns how long tasks usually take on the worker that take a time on one of the factor 1.
func (a *agent) usualTime(reference time.Duration) time.Duration {
	return time.Duration(a.timeFactor * float64(reference))
}

// referenceTime returns how long the run of a task, which took a time, takes near its data on a worker of the factor 1.
func (d *Dispatcher) referenceTime(j *job, t *task, took time.Duration) time.Duration {
	a, ok := d.agents[t.agent]
	if !ok {
		return took
	}
	return time.Duration(float64(took) / a.timeFactor / j.farFactor(t.step, a))
}
