// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"cmp"
	"time"
)

// Urgency decides which of several tasks starts first. Entries order their jobs by it, and agents the tasks of all entries.
type Urgency struct {
	// HasStarted is set if another task of the job was sent to an agent before.
	HasStarted bool
	// Priority is that of the job's kind, 0 for the most urgent ones.
	Priority int
	// StartBy is the latest start with which the job can be done within its objective.
	StartBy time.Time
}

// Compare returns the order of two tasks at a time: negative if u starts first.
//
// Inputs: whether the job has begun, whether StartBy is over, the priority of the kind (0 is the most urgent), StartBy.
//
// Rule: tasks of jobs that have begun, then those that can still be in time, then by priority, then by StartBy.
//
// Reason: the runs of a begun job are lost work unless the rest of the job is done. A job that will be late anyway must not
// make others late.
func (u Urgency) Compare(other Urgency, now time.Time) int {
	return cmp.Or(
		trueFirst(u.HasStarted, other.HasStarted),
		trueFirst(!u.isOverdue(now), !other.isOverdue(now)),
		cmp.Compare(u.Priority, other.Priority),
		u.StartBy.Compare(other.StartBy),
	)
}

// isOverdue reports whether the job can no longer be done within its objective.
func (u Urgency) isOverdue(now time.Time) bool {
	return now.After(u.StartBy)
}

// trueFirst returns the order of two booleans with true first.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
