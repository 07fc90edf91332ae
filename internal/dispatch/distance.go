// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import "time"

// This file decides between a worker of the rack that has a job's data and one that is free elsewhere.
//
// Inputs: the rack label of the step, by how many times a task takes longer on a worker of another rack (Limits.FarTimes).
//
// Rule: on a worker of another rack a task is expected to take FarTimes times as long. The rules for workers that are too slow do the rest
// (isTooSlow): a job that would be late there waits for room in its rack for maxSpeedWaitShare of its slack, and takes what is free after that. A job
// that is in time there does not wait.
//
// Reason: while many jobs want one rack, those that can be in time elsewhere leave it to those that cannot, and nobody is refused while
// another rack has room.

// farFactor returns by how many times a task of a step takes longer at an agent for the distance from its data.
func (j *job) farFactor(step int, a *agent) float64 {
	rack := j.Steps[step].Rack
	if rack == "" || j.farTimes <= 1 || a.record.HasLabel(rack) {
		return 1
	}
	return j.farTimes
}

// expectedAt returns the time of a run of a step by which an agent may judge its worker, without the worker's own time factor, or zero.
func (j *job) expectedAt(step int, a *agent) time.Duration {
	return time.Duration(j.farFactor(step, a) * float64(j.times[step].forHealth()))
}

// estimateAt returns the estimated time of a run of a step at an agent, without the worker's own time factor.
func (j *job) estimateAt(step int, a *agent) time.Duration {
	return time.Duration(j.farFactor(step, a) * float64(j.times[step].task))
}

// timeAt returns how long a task of a step is expected to take at an agent whose worker is healthy.
func (j *job) timeAt(step int, a *agent) time.Duration {
	return a.usualTime(j.estimateAt(step, a))
}

// chainAt returns the expected time of the longest chain of steps at an agent whose worker is healthy.
func (j *job) chainAt(a *agent) time.Duration {
	return a.usualTime(j.longestChain(func(step int) float64 { return j.farFactor(step, a) }))
}
