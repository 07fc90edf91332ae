// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"maps"
	"slices"
	"time"

	"sailhead/internal/timing"
	"sailhead/internal/worker"
)

const (
	// maxUnacknowledged is how many ends may wait for being noted: a worker lists no more than some hundred ends at a time.
	maxUnacknowledged = 300
	// unacknowledgedRenewInterval is the time between two holds while ends wait for being noted: a hold that waits would be answered
	// at once.
	unacknowledgedRenewInterval = 15 * time.Millisecond
)

// unacknowledgedEnd is an end that the worker must not forget before an owner has noted it: the task would run again.
type unacknowledgedEnd struct {
	update   Update
	lastSent time.Time
	// until is when the end is forgotten all the same; nothing is never.
	expires time.Time
}

// retainEnd keeps the end of a run of a task that must be kept.
func (r *Runner) retainEnd(now time.Time, end worker.End) {
	r.worker.unacknowledged[end.Number] = &unacknowledgedEnd{update: updateOf(end), lastSent: now}
}

// retainOrphanEnd keeps the end of a run that an earlier process started: it may be of a task that must be kept.
func (r *Runner) retainOrphanEnd(now time.Time, end worker.End) {
	until := r.worker.firstSeen.Add(timing.OrphanEndTimeout)
	if isOutcome(end.Ending) && now.Before(until) && len(r.worker.unacknowledged) < maxUnacknowledged {
		r.worker.unacknowledged[end.Number] = &unacknowledgedEnd{update: updateOf(end), expires: until}
	}
}

// isOutcome reports whether an ending tells of the task itself: that it is done, or has failed once more.
func isOutcome(ending worker.Ending) bool {
	return ending == worker.EndingDone || ending == worker.EndingFailed
}

func updateOf(end worker.End) Update {
	update := Update{Name: end.Name, Run: end.Run, Outcome: OutcomeDone, Checkpoint: end.Checkpoint, Unacknowledged: true}
	if end.Ending == worker.EndingFailed {
		update.Outcome = OutcomeFailed
	}
	return update
}

// acknowledge lets the worker forget an end.
func (r *Runner) acknowledge(name string, run uint32) {
	if r.worker == nil {
		return
	}
	maps.DeleteFunc(r.worker.unacknowledged, func(_ uint64, e *unacknowledgedEnd) bool {
		return e.update.Name == name && e.update.Run == run
	})
}

// acknowledgedUpTo is the number up to which the worker may forget ends.
func (l *incarnation) acknowledgedUpTo() uint64 {
	acknowledged := l.lastEndNumber
	for number := range l.unacknowledged {
		acknowledged = min(acknowledged, number-1)
	}
	return acknowledged
}

// resendUnacknowledged tells every entry of the ends that nobody has noted for some time.
func (r *Runner) resendUnacknowledged(now time.Time) {
	for _, number := range slices.Sorted(maps.Keys(r.worker.unacknowledged)) {
		e := r.worker.unacknowledged[number]
		switch {
		case !e.expires.IsZero() && now.After(e.expires):
			delete(r.worker.unacknowledged, number)
		case now.Sub(e.lastSent) >= timing.EndResendInterval:
			e.lastSent = now
			r.sendUpdateToAll(e.update)
		}
	}
}

func (r *Runner) sendUpdateToAll(update Update) {
	for _, s := range r.sessionsInOrder() {
		r.sendUpdate(s.id, update)
	}
}

// sendUnacknowledged tells an entry that has just come of every end that waits for being noted.
func (r *Runner) sendUnacknowledged(s *session) {
	if r.worker == nil {
		return
	}
	for _, number := range slices.Sorted(maps.Keys(r.worker.unacknowledged)) {
		r.sendUpdate(s.id, r.worker.unacknowledged[number].update)
	}
}
