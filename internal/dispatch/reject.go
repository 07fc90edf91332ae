// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

// This file handles starts that an agent rejects for lack of resources, as the load by which the worker was selected was out of
// date.

// maxRejections is the number of rejected starts of a task after which it is placed only on an offer.
const maxRejections = 2

// recordRejection records that an agent has rejected the latest start of a task.
//
// Inputs: the number of the start, and of the last start that the agent's load counts.
//
// Rule: the agent gets no tasks without an offer until a later load. After maxRejections rejected starts the task is placed only
// on an offer.
//
// Reason: an entry that reads loads late repeatedly sends starts to workers that are full, and each of these starts delays it
// further. An offer is valid until it is answered.
func (d *Dispatcher) recordRejection(t *task) {
	t.rejections++
	if a, ok := d.agents[t.agent]; ok {
		a.rejected = max(a.rejected, t.start)
	}
}

// withoutOffer returns the tasks that may be placed without an offer. This is every task of a contained job, as the job makes no
// reservations.
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
