// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package owner

import (
	"fmt"
	"time"

	"sailhead/internal/native/admission"
	"sailhead/internal/native/model"
	"sailhead/internal/native/ownership"
)

// reuseDelay is how long a worker gets no tasks after its agent was unreachable or unresponsive; see suspend.
const reuseDelay = time.Second

// maxTries is the number of guards to which a task is sent; see place.
const maxTries = 4

// Bounces limits how often a task that would wait at one worker is placed on another. Each time costs two messages.
// Both values are settings; docs/MEASUREMENTS.md has figures for 0 and 1.
type Bounces struct {
	// Max is the number of workers that may refuse a task because it would wait; with 0 none may.
	Max int
	// MaxWait is the expected wait above which such a worker refuses.
	MaxWait time.Duration
}

// suspend excludes the worker of an agent from placement.
//
// Inputs: an outcome that says that the agent was unreachable, or a probe that it did not answer.
//
// Rule: the worker gets no tasks for reuseDelay. Tasks that are there already stay.
//
// Reason: each task that is sent to such an agent waits for an outcome. The time is short because a wrong suspicion
// costs capacity, and one task is enough to find out again.
func (o *Owner) suspend(now time.Time, guard ownership.MemberID) {
	o.view.Suspend(guard, now.Add(reuseDelay))
}

// place sends a task to a guard that has not refused it, or ends the job if there is none.
//
// Inputs: the guards that the task was sent to before; the workers that accept tasks (placement.View).
//
// Rule: a task is sent to each guard at most once, and to maxTries guards at most.
//
// Reason: a guard that has refused or fenced a task would most likely not start it now, and the answer should come soon
// when the owner's view is that wrong.
func (o *Owner) place(now time.Time, j *job, index int) []Effect {
	t := &j.tasks[index]
	guard, ok := o.view.Place(now, j.kind.Urgency, t.tried)
	if !ok || len(t.tried) >= maxTries {
		return o.endUnplaceable(now, j, index)
	}
	t.guard = guard
	t.tried = append(t.tried, guard)
	o.view.Sent(guard)
	return []Effect{StartTask{
		Task:     j.taskID(index),
		Guard:    guard,
		Job:      j.model,
		Urgency:  j.kind.Urgency,
		Expected: j.kind.Expected,
		Due:      j.due,
		MaxWait:  o.maxWait(now, j, t),
		Payload:  j.model.Tasks[index],
	}}
}

// maxWait returns the expected wait above which the guard refuses a task, or 0 if it must not refuse for a wait.
//
// Inputs: the Bounces; the guards that the task was sent to, the present one included; the loads of the workers.
//
// Rule: the first Bounces.Max guards may refuse, and only while another worker seems to have a free slot.
//
// Reason: views lag, so a task may wait at a worker while another one is free.
func (o *Owner) maxWait(now time.Time, j *job, t *task) time.Duration {
	if len(t.tried) > o.bounces.Max || !o.view.HasFree(now, j.kind.Urgency, t.tried) {
		return 0
	}
	return o.bounces.MaxWait
}

// endUnplaceable ends a job of which one task has no worker.
//
// Inputs: whether a task of the job may have run or is at a guard; the longest retry-after of the guards that refused.
//
// Rule: NotRun if no task may have run and none is at a guard, otherwise Failed. The retry-after is the longest that a
// guard gave, and at least that of a backlog of one expected service time.
//
// Reason: NotRun promises that nothing ran and nothing will run for this attempt.
func (o *Owner) endUnplaceable(now time.Time, j *job, index int) []Effect {
	if !j.mayHaveRun && len(j.outstanding()) == 0 {
		return o.finish(now, j, model.NotRun{
			Reason:     "no worker can end the job in time",
			RetryAfter: max(j.retryAfter, admission.RetryAfter(j.kind.Expected, o.random)),
		})
	}
	reason := fmt.Sprintf("task %d found no worker that can end it in time", index)
	return o.fail(now, j, model.Failed{Reason: reason, MayHaveRun: true})
}
