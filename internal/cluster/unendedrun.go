// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cluster

import (
	"time"

	"sailhead/internal/cluster/clusterpb"
	"sailhead/internal/timing"
	"sailhead/internal/wire"
)

// Runs that may go on although their jobs have been answered are part of each view of the entry that answered them, until they have ended.
// Exchanges do not pass on the runs of other entries, so that their delays do not add up.

// maxUnendedRuns limits the number of such runs stored and sent. At about 40 bytes each, an exchange carries at most 10 KB of them.
const maxUnendedRuns = 256

// maxRemainingTime limits the remaining time that is accepted from other entries, so that a wrong value does not hold a task back for long.
const maxRemainingTime = 2 * timing.RerunDelay

// UnendedRun is a run that may go on although its job has been answered.
type UnendedRun struct {
	// Task is the name of its task.
	Task string
	// EndedBy is when it has ended at the latest.
	EndedBy time.Time
}

// unendedRuns holds the runs of a process's own failed jobs that may go on, by task. The owner must initialise it and guard it against
// concurrent use.
type unendedRuns map[string]time.Time

// add stores a run. If there are maxUnendedRuns already, it evicts the one that ends first.
func (u unendedRuns) add(now time.Time, run UnendedRun) {
	u.removeBefore(now)
	if _, isKnown := u[run.Task]; !isKnown && len(u) >= maxUnendedRuns {
		u.evictFirst()
	}
	u[run.Task] = run.EndedBy
}

// removeBefore removes the runs that have ended by a given time.
func (u unendedRuns) removeBefore(now time.Time) {
	for task, endedBy := range u {
		if !now.Before(endedBy) {
			delete(u, task)
		}
	}
}

func (u unendedRuns) evictFirst() {
	var first string
	for task, endedBy := range u {
		if end, ok := u[first]; !ok || endedBy.Before(end) {
			first = task
		}
	}
	delete(u, first)
}

// messages returns the messages for the runs that may go on at the given time. The remaining times are rounded up.
func (u unendedRuns) messages(now time.Time) []*clusterpb.UnendedRun {
	var messages []*clusterpb.UnendedRun
	for task, endedBy := range u {
		if remaining := endedBy.Sub(now); remaining > 0 {
			messages = append(messages, &clusterpb.UnendedRun{Task: task, RemainingMs: wire.Millis(remaining + time.Millisecond)})
		}
	}
	return messages
}

// unpackUnendedRuns returns the runs of a view that was received at a given time.
func unpackUnendedRuns(now time.Time, messages []*clusterpb.UnendedRun) []UnendedRun {
	var runs []UnendedRun
	for _, message := range messages[:min(len(messages), maxUnendedRuns)] {
		remaining := min(wire.Duration(message.GetRemainingMs()), maxRemainingTime)
		runs = append(runs, UnendedRun{Task: message.GetTask(), EndedBy: now.Add(remaining)})
	}
	return runs
}

// AddUnendedRun stores a run of this process's jobs, which exchanges then send to other entries until it has ended.
func (d *Directory) AddUnendedRun(now time.Time, run UnendedRun) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unendedRuns.add(now, run)
}
