// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"maps"
	"slices"
	"time"

	"sailhead/internal/worker"
)

const (
	// mostUnnoted is how many ends may wait for being noted: a worker lists no more than some hundred ends at a time.
	mostUnnoted = 300
	// retellPause is the time between two tellings of an end that nobody has noted.
	retellPause = 300 * time.Millisecond
	// unnotedPause is the time between two holds while ends wait for being noted: a hold that waits would be answered
	// at once.
	unnotedPause = 15 * time.Millisecond
	// keptSilence is how much longer than its lease a kept task waits for a silent worker to be heard again: its run may
	// have been done before, and must not run again then.
	keptSilence = 7 * time.Second
	// orphanTime is how long the ends of runs that an earlier process of the agent started wait for being noted.
	orphanTime = 12 * time.Second
)

// unnotedEnd is an end that the worker must not forget before an owner has noted it: the task would run again.
type unnotedEnd struct {
	update Update
	told   time.Time
	// until is when the end is forgotten all the same; nothing is never.
	until time.Time
}

// keepEnd keeps the end of a run of a task that must be kept.
func (r *Runner) keepEnd(now time.Time, end worker.End) {
	r.life.unnoted[end.Number] = &unnotedEnd{update: updateOf(end), told: now}
}

// keepOrphan keeps the end of a run that an earlier process started: it may be of a task that must be kept.
func (r *Runner) keepOrphan(now time.Time, end worker.End) {
	until := r.life.began.Add(orphanTime)
	if isOutcome(end.Ending) && now.Before(until) && len(r.life.unnoted) < mostUnnoted {
		r.life.unnoted[end.Number] = &unnotedEnd{update: updateOf(end), until: until}
	}
}

// isOutcome reports whether an ending tells of the task itself: that it is done, or has failed once more.
func isOutcome(ending worker.Ending) bool {
	return ending == worker.EndingDone || ending == worker.EndingFailed
}

func updateOf(end worker.End) Update {
	update := Update{Name: end.Name, Run: end.Run, Outcome: OutcomeDone, Checkpoint: end.Checkpoint, Unnoted: true}
	if end.Ending == worker.EndingFailed {
		update.Outcome = OutcomeFailed
	}
	return update
}

// noted lets the worker forget an end.
func (r *Runner) noted(name string, run uint32) {
	if r.life == nil {
		return
	}
	maps.DeleteFunc(r.life.unnoted, func(_ uint64, e *unnotedEnd) bool {
		return e.update.Name == name && e.update.Run == run
	})
}

// acknowledged is the number up to which the worker may forget ends.
func (l *life) acknowledged() uint64 {
	acknowledged := l.lastSeen
	for number := range l.unnoted {
		acknowledged = min(acknowledged, number-1)
	}
	return acknowledged
}

// retell tells every entry of the ends that nobody has noted for some time.
func (r *Runner) retell(now time.Time) {
	for _, number := range slices.Sorted(maps.Keys(r.life.unnoted)) {
		e := r.life.unnoted[number]
		switch {
		case !e.until.IsZero() && now.After(e.until):
			delete(r.life.unnoted, number)
		case now.Sub(e.told) >= retellPause:
			e.told = now
			r.tellAll(e.update)
		}
	}
}

func (r *Runner) tellAll(update Update) {
	for _, s := range r.inOrder() {
		r.send(s.id, update)
	}
}

// tellUnnoted tells an entry that has just come of every end that waits for being noted.
func (r *Runner) tellUnnoted(s *session) {
	if r.life == nil {
		return
	}
	for _, number := range slices.Sorted(maps.Keys(r.life.unnoted)) {
		r.send(s.id, r.life.unnoted[number].update)
	}
}
