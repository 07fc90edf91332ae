// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package model

import "time"

// Outcome is the result of a task at a guard: TaskDone, TaskNotStarted or TaskFailed.
type Outcome interface{ isOutcome() }

// TaskDone is the outcome of a task that has ended with a result.
type TaskDone struct {
	Result []byte
	// ServiceTime is how long the task held its slot.
	ServiceTime time.Duration
}

// TaskNotStarted is the outcome of a task that has not started at this guard and never will.
type TaskNotStarted struct {
	Reason string
	// RetryAfter is how long the guard expects its queue to take, or zero.
	RetryAfter time.Duration
	// Leaving is set when the guard accepts no new tasks.
	Leaving bool
	// Unreachable is set when the guard was not reached.
	Unreachable bool
}

// TaskFailed is the outcome of a task that has started, or may have, and has no result.
type TaskFailed struct {
	Cause  FailureCause
	Reason string
}

func (TaskDone) isOutcome()       {}
func (TaskNotStarted) isOutcome() {}
func (TaskFailed) isOutcome()     {}

// FailureCause is why a started task has no result.
type FailureCause string

// The causes of a task's failure.
const (
	// CauseThrottled means that the backend server throttled the task.
	CauseThrottled FailureCause = "throttled"
	// CauseStopped means that the backend server stopped the task.
	CauseStopped FailureCause = "stopped"
	// CauseFailed means that the backend server answered with any other error.
	CauseFailed FailureCause = "failed"
	// CauseUnknown means that there is no answer, so that the task may still run.
	CauseUnknown FailureCause = "unknown"
)
