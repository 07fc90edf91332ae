// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package guard

import (
	"time"

	"sailhead/internal/native/admission"
	"sailhead/internal/native/model"
)

// This file decides which tasks the worker does not run: those that are refused on arrival (refuse), those that wait
// too long (dropLate), and all that wait while the backend server hangs (isStuck).

// refuse decides whether a new task is refused, and returns the outcome if it is.
//
// Inputs: the load of the worker, the Limits, the deadline and the MaxWait of the task, the service times of its kind.
//
// Rule: the first of these that applies is the reason:
//
//	the worker is stuck (isStuck)
//	the worker is draining
//	Limits.Records tasks are in the table
//	Limits.Queue tasks wait
//	the expected wait is longer than the MaxWait of the task, if it has one
//	the expected wait and a high quantile of the service time end after the deadline
//
// Reason: the owner has admitted the job on an older view. A refusal here lets it place the task elsewhere. It says
// only that this start did not run the task; another start of it is another decision.
func (g *Guard) refuse(now time.Time, task Task) (outcome model.TaskNotStarted, isRefused bool) {
	estimate := g.estimator.Of(task.Kind, task.Expected)
	load := g.Load(now)
	wait := admission.Wait(load, task.Urgency)
	refusal := model.TaskNotStarted{RetryAfter: admission.RetryAfter(wait, g.random)}
	switch {
	case g.isStuck(now):
		refusal.Reason = "the backend server ends no tasks"
	case g.leaving:
		refusal.Leaving = true
		refusal.Reason = "the worker is leaving"
	case len(g.records) >= g.limits.Records:
		refusal.Reason = "the guard's table is full"
	case len(g.queue) >= g.limits.Queue:
		refusal.Reason = "the worker's queue is full"
	case task.MaxWait > 0 && wait > task.MaxWait:
		refusal.Reason = "the worker is busy"
	case now.Add(wait + estimate.High).After(task.Deadline):
		refusal.Reason = "the task cannot end in time"
	default:
		return model.TaskNotStarted{}, false
	}
	return refusal, true
}

// dropLate fences the waiting tasks that can no longer end in time, and answers that they did not start.
//
// Inputs: the deadlines of the waiting tasks, the service times of their kinds, whether the worker is stuck.
//
// Rule: a waiting task is fenced if the median service time from now ends after its deadline; if the worker is
// stuck, all are.
//
// Reason: a task that is late before its start only takes a slot from others. The median is used, not the high quantile
// of refuse, as the task was admitted and other tasks of its job may be done. The owner can place the tasks of a stuck
// worker elsewhere.
func (g *Guard) dropLate(now time.Time) []Effect {
	var effects []Effect
	isStuck := g.isStuck(now)
	late := g.queue.filter(func(task Task) bool {
		if isStuck {
			return true
		}
		estimate := g.estimator.Of(task.Kind, task.Expected)
		return now.Add(estimate.Median).After(task.Deadline)
	})
	for _, r := range late {
		g.queue.remove(r)
		r.task.Payload = nil
		effects = append(effects, g.fence(r, "the task could no longer end in time"))
	}
	return effects
}

const (
	// stuckFactor is the number of mean service times without an end after which a worker is stuck; see isStuck.
	stuckFactor = 4
	// minStuckTimeout is the shortest time without an end after which a worker is stuck. It covers kinds whose tasks are much longer than a
	// small mean.
	minStuckTimeout = 500 * time.Millisecond
)

// isStuck reports whether the backend server seems to end no tasks any more.
//
// Inputs: whether a slot is free, the time since the last end (or since the last slot was taken), and the mean service
// time.
//
// Rule: a worker is stuck if no slot is free and no task has ended for stuckFactor mean service times, but at least for
// minStuckTimeout.
//
// Reason: tasks that are sent to a backend server that hangs wait until their deadlines pass.
func (g *Guard) isStuck(now time.Time) bool {
	timeout := max(stuckFactor*g.mean, minStuckTimeout)
	return g.running >= g.limits.Slots && now.Sub(g.lastProgress) > timeout
}
