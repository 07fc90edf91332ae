// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package model

import "time"

// Outcome is what became of a task at a guard: TaskDone, TaskNotStarted or TaskFailed.
type Outcome interface{ isOutcome() }

// TaskDone carries the backend server's result and the time that the task held its slot.
type TaskDone struct {
	Result      []byte
	ServiceTime time.Duration
}

// TaskNotStarted says that the task did not start at this guard and never will.
type TaskNotStarted struct {
	Reason     string
	RetryAfter time.Duration
	Leaving    bool
	// Unreachable is set when the guard was not reached.
	Unreachable bool
}

// TaskFailed says that the task started, or may have, and has no result.
type TaskFailed struct {
	Cause  FailureCause
	Reason string
}

func (TaskDone) isOutcome()       {}
func (TaskNotStarted) isOutcome() {}
func (TaskFailed) isOutcome()     {}

// FailureCause says why a started task has no result.
type FailureCause string

// The causes of a task's failure.
const (
	CauseThrottled FailureCause = "throttled"
	CauseStopped   FailureCause = "stopped"
	CauseFailed    FailureCause = "failed"
	CauseUnknown   FailureCause = "unknown"
)
