// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import "time"

// This file holds tasks back whose runs other entries have started.
//
// Inputs: the tasks of jobs that were handed over, and the runs that other entries report as not ended (UnendedRunReceived).
//
// Rule: the tasks are not placed until the runs have ended at the latest. A run of this entry whose end is awaited (endingRun) delays the
// task in addition.
//
// Reason: no agent in session reports the ends of these runs to this entry.

// runsElsewhere holds, by the task's name, when the runs that other entries may have started have ended at the latest.
type runsElsewhere map[string]time.Time

// add stores that a run of a task may go on until a given time.
func (r runsElsewhere) add(task string, endedBy time.Time) {
	if endedBy.After(r[task]) {
		r[task] = endedBy
	}
}

// mayRun reports whether such a run of a task may go on.
func (r runsElsewhere) mayRun(task string) bool {
	_, ok := r[task]
	return ok
}

// removeBefore removes the runs that have ended by a given time.
func (r runsElsewhere) removeBefore(now time.Time) {
	for task, endedBy := range r {
		if !now.Before(endedBy) {
			delete(r, task)
		}
	}
}
