// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import "time"

// This file decides between waiting for a worker in the rack of a job's data and using a free worker in another rack.
//
// Inputs: the rack label of the step, the ratio of run times across racks (Limits.CrossRackFactor).
//
// Rule: on a worker in another rack a task is expected to take CrossRackFactor times as long. The rules for slow workers
// then apply (isTooSlow): the job waits for resources in its rack for as long as it would take longer elsewhere, and uses
// any free worker after that.
//
// Reason: when a rack is in demand, short jobs leave it to those that would lose most elsewhere, and no job is refused
// while another rack has free resources.

// rackFactor returns the ratio of a task's run time at an agent to that in the rack of its data.
func (j *job) rackFactor(step int, a *agent) float64 {
	rack := j.Steps[step].Rack
	if rack == "" || j.crossRackFactor <= 1 || a.record.HasLabel(rack) {
		return 1
	}
	return j.crossRackFactor
}

// expectedAt returns the run time of a step against which an agent may judge the health of its worker, without the
// worker's own time factor. It is zero if too little is known.
func (j *job) expectedAt(step int, a *agent) time.Duration {
	return time.Duration(j.rackFactor(step, a) * float64(j.times[step].healthBaseline()))
}

// estimateAt returns the estimated run time of a step at an agent, without the worker's own time factor.
func (j *job) estimateAt(step int, a *agent) time.Duration {
	return time.Duration(j.rackFactor(step, a) * float64(j.times[step].task))
}

// timeAt returns the expected run time of a step at an agent whose worker is healthy.
func (j *job) timeAt(step int, a *agent) time.Duration {
	return a.usualTime(j.estimateAt(step, a))
}

// criticalPathAt returns the expected time of the longest chain of steps at an agent whose worker is healthy.
func (j *job) criticalPathAt(a *agent) time.Duration {
	return a.usualTime(j.criticalPathWith(func(step int) float64 { return j.rackFactor(step, a) }))
}
