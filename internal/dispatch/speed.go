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
// Rule: the factor of a worker is the one that its agent reports, divided by the geometric mean over all agents with an
// open session. Run times that the entry learns are divided by it.
//
// Reason: agents measure against the times that entries expect, and entries learn these from the runs at all agents.
// Without the division both would drift together, because only their product can be observed.

// updateTimeFactors recomputes the time factors of all agents.
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

// usualTime converts a run time on a worker with time factor 1 to the usual run time on this worker.
func (a *agent) usualTime(reference time.Duration) time.Duration {
	return time.Duration(a.timeFactor * float64(reference))
}

// referenceTime converts the measured run time of a task to that on a worker with time factor 1 in the rack of its data.
func (d *Dispatcher) referenceTime(j *job, t *task, measured time.Duration) time.Duration {
	a, ok := d.agents[t.agent]
	if !ok {
		return measured
	}
	return time.Duration(float64(measured) / a.timeFactor / j.rackFactor(t.step, a))
}
