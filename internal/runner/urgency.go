// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"cmp"
	"time"
)

// Urgency determines the order in which tasks start. Entries order their jobs by it, and agents order the tasks of all
// entries.
type Urgency struct {
	// HasStarted is set if another task of the job has already been sent to an agent.
	HasStarted bool
	// Priority is the priority of the job's kind; 0 is the most urgent.
	Priority int
	// StartBy is the latest start time at which the job can still complete within its objective.
	StartBy time.Time
}

// Compare compares the urgency of two tasks at the given time. It returns a negative number if u starts first.
//
// Inputs: whether the job has started, whether StartBy has passed, the priority of the kind (0 is the most urgent), StartBy.
//
// Rule: first tasks of jobs that have started, then tasks that can still complete in time, then by priority, then by
// StartBy.
//
// Reason: the runs of a started job are wasted unless the rest of the job completes. A job that will be late anyway must
// not make others late.
func (u Urgency) Compare(other Urgency, now time.Time) int {
	return cmp.Or(
		trueFirst(u.HasStarted, other.HasStarted),
		trueFirst(!u.isOverdue(now), !other.isOverdue(now)),
		cmp.Compare(u.Priority, other.Priority),
		u.StartBy.Compare(other.StartBy),
	)
}

// isOverdue reports whether the job can no longer complete within its objective.
func (u Urgency) isOverdue(now time.Time) bool {
	return now.After(u.StartBy)
}

// trueFirst compares two booleans; true sorts before false.
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
