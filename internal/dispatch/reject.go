// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

// This file decides what follows when an agent rejects a start, as its worker has no room: the load by which the worker was chosen was
// out of date.

// maxRejections is how many starts of a task may be rejected before it is placed by an offer only.
const maxRejections = 2

// noteRejected records that an agent has rejected the latest start of a task.
//
// Inputs: the number of the start, that of the last start which the agent's load counts.
//
// Rule: the agent gets no further tasks without an offer until a later load. The task is placed by an offer only once maxRejections
// starts of it were rejected.
//
// Reason: an entry that reads loads late sends starts again and again to workers that are full, and each of them makes it later. An
// offer holds until it is answered.
func (d *Dispatcher) noteRejected(t *task) {
	t.rejections++
	if a, ok := d.agents[t.agent]; ok {
		a.rejected = max(a.rejected, t.start)
	}
}

// withoutOffer returns those of the tasks that may be placed without an offer. The tasks of a contained job all may, as it reserves
// nothing.
func (d *Dispatcher) withoutOffer(j *job, tasks []*task) []*task {
	if d.isContained(j) {
		return tasks
	}
	var free []*task
	for _, t := range tasks {
		if t.rejections < maxRejections {
			free = append(free, t)
		}
	}
	return free
}
