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
	// StartBy is when the job has waited for as long as its work takes, or its latest start if that comes sooner.
	StartBy time.Time
}

// Compare compares the urgency of two tasks. It returns a negative number if u starts first.
//
// Inputs: whether the job has started, the priority of the kind (0 is the most urgent), StartBy.
//
// Rule: first tasks of jobs that have started, then by priority, then by StartBy.
//
// Reason: the runs of a started job are wasted unless the rest of the job completes. Operators set the priority. Among jobs of the same
// priority a short one precedes a long one that arrived with it, as the same wait delays its answer by more in relation to its work, but
// each precedes all that arrive much later. A job whose caller has little time left starts while that is still of use.
func (u Urgency) Compare(other Urgency) int {
	return cmp.Or(
		trueFirst(u.HasStarted, other.HasStarted),
		cmp.Compare(u.Priority, other.Priority),
		u.StartBy.Compare(other.StartBy),
	)
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
