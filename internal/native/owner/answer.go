// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package owner

import (
	"fmt"
	"time"

	"sailhead/internal/native/model"
	"sailhead/internal/native/ownership"
)

// This file applies the outcomes of tasks and the deadline, and answers jobs.

// taskEnd applies the outcome of a task. An outcome that is late or repeated changes nothing but the view.
//
// Inputs: the outcome, and the guard that the task is at.
//
// Rule: a task that did not start is placed again (place). A task that failed fails its job at once, and the other
// tasks are withdrawn. The last task that is done completes the job.
//
// Reason: a job is answered whole or as failed, and a task that may have run is not run again, of any kind.
func (o *Owner) taskEnd(now time.Time, e TaskEnded) []Effect {
	o.view.Returned(e.Guard)
	j, ok := o.jobs[e.Task.Key]
	if !ok || !j.started || int(e.Task.Index) >= len(j.tasks) {
		return nil
	}
	t := &j.tasks[e.Task.Index]
	if t.done || t.guard != e.Guard {
		return nil
	}
	switch outcome := e.Outcome.(type) {
	case model.TaskDone:
		return o.taskDone(now, j, t, outcome)
	case model.TaskNotStarted:
		t.guard = ""
		if outcome.Unreachable {
			o.suspend(now, e.Guard)
		}
		j.retryAfter = max(j.retryAfter, outcome.RetryAfter)
		return o.place(now, j, int(e.Task.Index))
	case model.TaskFailed:
		t.done = true
		j.mayHaveRun = true
		reason := fmt.Sprintf("task %d was %s: %s", e.Task.Index, outcome.Cause, outcome.Reason)
		return o.fail(now, j, model.Failed{Reason: reason, MayHaveRun: true})
	default:
		return nil
	}
}

// taskDone records a result, and completes the job with the last one.
func (o *Owner) taskDone(now time.Time, j *job, t *task, outcome model.TaskDone) []Effect {
	t.done = true
	t.result = outcome.Result
	j.mayHaveRun = true
	j.open--
	o.estimator.Add(kindName(j.model), outcome.ServiceTime)
	if j.open > 0 {
		return nil
	}
	return o.finish(now, j, model.Complete{Results: j.results()})
}

// deadline fails a job whose deadline has passed.
//
// Rule: a job that runs is failed, may have run, also if none of its tasks is known to have started. A job that is
// fencing waits for the end of its fence.
//
// Reason: guards may start its tasks until they get the withdrawals. DeadlinePassed may come early, as the timer uses
// another reading of the clock.
func (o *Owner) deadline(now time.Time, key model.Key) []Effect {
	j, ok := o.jobs[key]
	if !ok {
		return nil
	}
	if now.Before(j.model.Deadline) {
		return []Effect{WatchDeadline{Key: key, At: j.model.Deadline}}
	}
	if !j.started {
		// The job is fencing. The fence ends within FenceTimeout; look again after that.
		return []Effect{WatchDeadline{Key: key, At: now.Add(ownership.FenceTimeout)}}
	}
	return o.fail(now, j, model.Failed{Reason: "the deadline passed", MayHaveRun: true, TimedOut: true})
}

// fail answers a job as failed and withdraws its tasks from the guards. A task that has started runs to its end.
func (o *Owner) fail(now time.Time, j *job, answer model.Failed) []Effect {
	var effects []Effect
	for _, i := range j.outstanding() {
		effects = append(effects, WithdrawTask{Task: j.taskID(i), Guard: j.tasks[i].guard, Deadline: j.model.Deadline})
	}
	return append(o.finish(now, j, answer), effects...)
}

// finish answers a job and records the answer.
func (o *Owner) finish(now time.Time, j *job, answer model.Answer) []Effect {
	delete(o.jobs, j.model.Key)
	o.table.Finish(now, j.model.Key, j.model.Attempt, answer)
	return respond(Answered{Answer: answer}, j.waiters...)
}

// respond returns the effect of one response to all waiters.
func respond(response Response, waiters ...Waiter) []Effect {
	return []Effect{Respond{Waiters: waiters, Response: response}}
}
