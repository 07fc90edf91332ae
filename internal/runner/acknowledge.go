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

// Unacknowledged ends
//
// Inputs: the ends of runs of durable tasks and of orphaned runs, and the acknowledgements that entries send.
// Rule: a renewal allows the worker to discard ends only up to the first one that no owner has acknowledged, and none
// while another process with the same ID may have replaced the worker (mayHaveRestarted). Unacknowledged ends are
// resent to all entries every timing.EndResendInterval, also after the worker's incarnation has ended. At
// maxUnacknowledged unacknowledged ends the worker gets no new tasks.
// Reason: if the owner fails before it records the end, the next owner runs the task again. A new worker process
// numbers its ends from the start, so an acknowledgement for the previous process would make it discard ends that were
// never reported.

const (
	// maxUnacknowledged is the largest number of unacknowledged ends. It is below the number of ends that a worker can
	// list in one answer, which is several hundred.
	maxUnacknowledged = 300
	// unacknowledgedRenewInterval is the time between two renewals while ends are unacknowledged. These renewals
	// replace the long poll, which the worker would answer at once.
	unacknowledgedRenewInterval = 15 * time.Millisecond
)

// unacknowledgedEnd is the end of a run that the worker must keep until an owner has recorded it.
type unacknowledgedEnd struct {
	update Update
	// since is when this process learned of the end.
	since time.Time
	// lastSent is when the end was last sent to the entries, or zero if it was not sent.
	lastSent time.Time
}

// retainEnd makes the worker keep the end of a durable task's run, which is reported now, until an owner has acknowledged it.
func (r *Runner) retainEnd(now time.Time, end worker.End) {
	r.worker.unacknowledged[end.Number] = &unacknowledgedEnd{update: updateOf(end), since: now, lastSent: now}
}

// retainUnreportedEnd makes the worker keep the end of a run that was not reported to any entry until an owner has acknowledged it.
func (r *Runner) retainUnreportedEnd(now time.Time, end worker.End) {
	r.worker.unacknowledged[end.Number] = &unacknowledgedEnd{update: updateOf(end), since: now}
}

// hasResult reports whether a run ended by itself, successfully or not, rather than by a stop or an expired lease.
func hasResult(ending worker.Ending) bool {
	return ending == worker.EndingDone || ending == worker.EndingFailed
}

// updateOf returns the update that is sent again until the end is acknowledged.
func updateOf(end worker.End) Update {
	update := Update{Name: end.Name, Run: end.Run, Outcome: OutcomeDone, Checkpoint: end.Checkpoint, Unacknowledged: true}
	if end.Ending == worker.EndingFailed {
		update.Outcome = OutcomeFailed
	}
	return update
}

// acknowledge removes the end of a run and allows the worker to discard it.
func (r *Runner) acknowledge(name string, run uint32) {
	isAcknowledged := func(e *unacknowledgedEnd) bool { return e.update.Name == name && e.update.Run == run }
	r.earlierEnds = slices.DeleteFunc(r.earlierEnds, isAcknowledged)
	if r.worker == nil {
		return
	}
	maps.DeleteFunc(r.worker.unacknowledged, func(_ uint64, e *unacknowledgedEnd) bool { return isAcknowledged(e) })
}

// retainEarlierEnds keeps the unacknowledged ends of an ended incarnation. Beyond maxUnacknowledged the oldest are
// dropped, which bounds memory when a worker restarts repeatedly while no owner answers.
func (r *Runner) retainEarlierEnds(ended *incarnation) {
	for _, number := range ended.unacknowledgedNumbers() {
		r.earlierEnds = append(r.earlierEnds, ended.unacknowledged[number])
	}
	if excess := len(r.earlierEnds) - maxUnacknowledged; excess > 0 {
		for _, e := range r.earlierEnds[:excess] {
			r.logDropped(e, "too many ends are unacknowledged")
		}
		r.earlierEnds = r.earlierEnds[excess:]
	}
}

func (r *Runner) logDropped(e *unacknowledgedEnd, reason string) {
	r.emit(EndDropped{Name: e.update.Name, Run: e.update.Run, Outcome: e.update.Outcome, Reason: reason})
}

// acknowledgedUpTo returns the highest end number that the worker may discard.
func (i *incarnation) acknowledgedUpTo(now time.Time) uint64 {
	if i.mayHaveRestarted(now) {
		return 0
	}
	acknowledged := i.lastEndNumber
	for number := range i.unacknowledged {
		acknowledged = min(acknowledged, number-1)
	}
	return acknowledged
}

// mayHaveRestarted reports whether another process with the same ID may answer the next call: since the worker's last
// answer, a connection has been closed or a renewal was not answered.
func (i *incarnation) mayHaveRestarted(now time.Time) bool {
	isUnanswered := !i.askedAt.IsZero() && now.Sub(i.askedAt) >= timing.RenewInterval
	return i.hasStartTime() && (isUnanswered || !i.connectionLoss.firstAt.IsZero())
}

// unacknowledgedNumbers returns the numbers of the unacknowledged ends in ascending order.
func (i *incarnation) unacknowledgedNumbers() []uint64 {
	return slices.Sorted(maps.Keys(i.unacknowledged))
}

// resendUnacknowledged resends the ends of the current incarnation that are due.
func (r *Runner) resendUnacknowledged(now time.Time) {
	for _, number := range r.worker.unacknowledgedNumbers() {
		r.resendIfDue(now, r.worker.unacknowledged[number])
	}
}

// resendEarlierEnds resends the ends of earlier incarnations that are due.
func (r *Runner) resendEarlierEnds(now time.Time) {
	for _, e := range r.earlierEnds {
		r.resendIfDue(now, e)
	}
}

// resendIfDue sends an end to every entry if it was last sent at least timing.EndResendInterval ago.
func (r *Runner) resendIfDue(now time.Time, e *unacknowledgedEnd) {
	if now.Sub(e.lastSent) >= timing.EndResendInterval {
		e.lastSent = now
		r.sendUpdateToAll(e.update)
	}
}

// sendUnacknowledged sends all unacknowledged ends on a new session, whose entry may be their new owner.
func (r *Runner) sendUnacknowledged(s *session) {
	for _, e := range r.earlierEnds {
		r.sendUpdate(s.id, e.update)
	}
	if r.worker == nil {
		return
	}
	for _, number := range r.worker.unacknowledgedNumbers() {
		r.sendUpdate(s.id, r.worker.unacknowledged[number].update)
	}
}
