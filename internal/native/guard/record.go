// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package guard

import (
	"time"

	"sailhead/internal/native/model"
)

// taskState is the state of a task at the guard; see the package comment.
type taskState int

const (
	// stateQueued is a task that waits for a slot.
	stateQueued taskState = iota
	// stateRunning is a task at the backend server.
	stateRunning
	// stateEnded is a task whose run has an outcome.
	stateEnded
	// stateFenced is a task that has not started here and never will.
	stateFenced
)

// record is what the guard knows of a task.
type record struct {
	task  Task
	state taskState
	// outcome is nil until the state is final.
	outcome model.Outcome
	// position is the index in the queue while the task waits.
	position int
	// since is when the task came if it waits, and when it started if it runs.
	since time.Time
	// expected is the service time that was estimated when the task came.
	expected time.Duration
}

// isFinal reports whether the task has ended or will never start.
func (r *record) isFinal() bool {
	return r.state == stateEnded || r.state == stateFenced
}
