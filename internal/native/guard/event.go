// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package guard

import (
	"time"

	"sailhead/internal/native/model"
)

// Task is a task that an owner asks the guard to start.
type Task struct {
	ID model.TaskID
	// Owner is the agent that owns the submission.
	Owner    string
	Service  string
	Kind     string
	Urgency  int
	Deadline time.Time
	// Due orders tasks of the same urgency; see queue.go. It is later for larger jobs, and never after the deadline.
	Due time.Time
	// Expected is the service time that operators expect of the kind.
	Expected time.Duration
	// MaxWait is the expected wait above which the guard refuses the task; with 0 any wait is accepted.
	MaxWait time.Duration
	Payload []byte
	Trace   string
}

// Event is an input of the guard. It is one of StartAsked, ReportAsked, Ended, Drained and Ticked.
type Event interface{ isEvent() }

// StartAsked is the request of an owner to start a task. It may come more than once for a task.
type StartAsked struct{ Task Task }

// ReportAsked is the request of an owner for the outcome of a task, after the reply to a start was lost or to withdraw
// the task. A task that never arrived is fenced; with Withdraw, so is one that waits. Deadline is that of the task.
type ReportAsked struct {
	ID       model.TaskID
	Deadline time.Time
	Withdraw bool
}

// Ended is the end of a running task at the backend server.
type Ended struct {
	ID      model.TaskID
	Outcome model.Outcome
}

// Drained begins or ends the time in which the worker accepts no new tasks.
type Drained struct{ Leaving bool }

// Ticked is sent at intervals; what depends on time alone happens then.
type Ticked struct{}

func (StartAsked) isEvent()  {}
func (ReportAsked) isEvent() {}
func (Ended) isEvent()       {}
func (Drained) isEvent()     {}
func (Ticked) isEvent()      {}

// Effect is an action for the caller of Handle. It is one of RunTask and Answer.
type Effect interface{ isEffect() }

// RunTask sends the task to the backend server. It occurs at most once for a task.
type RunTask struct{ Task Task }

// Answer sends the outcome of a task to every request that waits for it.
type Answer struct {
	ID      model.TaskID
	Outcome model.Outcome
}

func (RunTask) isEffect() {}
func (Answer) isEffect()  {}
