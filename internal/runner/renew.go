// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/timing"
	"sailhead/internal/worker"
)

// Renewals
//
// Inputs: whether runs are active, whether a run waits for a listing or is a probe, whether ends are unacknowledged.
// Rule: nextRenewInterval after the previous one a renewal is sent whose answer does not wait. While runs are active, a
// long poll beside it brings their ends as soon as they happen, unless unacknowledged ends are listed: then it would be
// answered at once.
// Reason: the short renewals extend the leases on time and show whether the worker responds; the long poll saves the
// entry the wait for the next one.

const (
	// idleRenewInterval is the time between two renewals while no run is active. They only show whether the worker responds: after a lost
	// answer another one is sent timing.RenewInterval later, within timing.WorkerUnresponsiveAfter.
	idleRenewInterval = 200 * time.Millisecond
	// longPollTimeout is how long a long poll waits for an end on the worker.
	longPollTimeout = 500 * time.Millisecond
	// longPollBackoff is the pause after a long poll that brought no listing.
	longPollBackoff = timing.RenewInterval
)

// renew sends the renewal and the long poll if they are due.
func (r *Runner) renew(now time.Time) {
	if now.Sub(r.worker.lastRenewSent) >= r.nextRenewInterval(now) {
		r.requestListing(now)
	}
	r.pollIfDue(now)
}

// pollIfDue sends the long poll if it is due: with the start of the first run, so that the worker tells of its end from then on.
func (r *Runner) pollIfDue(now time.Time) {
	if r.worker != nil && r.isLongPollDue(now) {
		r.worker.longPolling = true
		r.sendRenew(now, longPollTimeout)
	}
}

// nextRenewInterval returns the time between two renewals that do not wait.
func (r *Runner) nextRenewInterval(now time.Time) time.Duration {
	switch {
	case r.worker.isUnresponsive(now):
		return timing.RenewInterval
	case len(r.worker.unacknowledged) > 0:
		return unacknowledgedRenewInterval
	case !r.worker.isSurveyed, r.awaitsListing(), r.hasProbeRun():
		return minRetryInterval
	case r.hasActive(), !r.worker.askedAt.IsZero():
		return timing.RenewInterval
	default:
		return idleRenewInterval
	}
}

func (r *Runner) isLongPollDue(now time.Time) bool {
	w := r.worker
	return !w.longPolling && r.hasActive() && !now.Before(w.longPollAfter) && len(w.unacknowledged) == 0
}

// awaitsListing reports whether a listing decides on a run.
func (r *Runner) awaitsListing() bool {
	for _, t := range r.tasks {
		if t.awaitsListing() || t.state == stateStopping && !t.stop.awaitsAnswer() {
			return true
		}
	}
	for _, orphan := range r.worker.orphans {
		if !orphan.awaitsAnswer() {
			return true
		}
	}
	return false
}

// requestListing sends a renewal that is answered at once.
func (r *Runner) requestListing(now time.Time) {
	r.worker.lastRenewSent = now
	if r.worker.askedAt.IsZero() {
		r.worker.askedAt = now
	}
	r.sendRenew(now, 0)
}

// sendRenew sends a renewal. An unresponsive worker gets no new lease: it may still carry out the calls that it does not
// answer, and without a lease its runs end in time for expireLease.
func (r *Runner) sendRenew(now time.Time, wait time.Duration) {
	request := worker.RenewRequest{Fence: r.fence, AcknowledgedEnd: r.worker.acknowledgedUpTo(now), Wait: wait}
	if !r.worker.isUnresponsive(now) {
		request.LeaseUntil = r.leaseUntil(now)
	}
	if request.LeaseUntil > 0 {
		r.worker.lastRenewal = now
	}
	r.emit(CallRenew{Incarnation: r.worker.record.Incarnation(), Renew: request})
}

func (r *Runner) handleRenewAnswer(now time.Time, e RenewAnswered) {
	if !r.isCurrent(e.Incarnation) {
		r.handleCandidateAnswer(now, e)
		return
	}
	if e.LongPoll {
		r.endLongPoll(now, e)
	} else {
		r.worker.noteTrip(e.Took, e.Result)
	}
	if r.noteRestart(now, e.Result) {
		return
	}
	switch result := e.Result.(type) {
	case worker.Listing:
		r.applyListing(now, e, result)
	case worker.Fenced:
		r.raiseFence(e.Fence, fenceStep)
		r.requestListing(now)
	case worker.Unanswered:
		r.handleUnansweredRenewal(now, e, result)
	case worker.Invalid, worker.Unhealthy, worker.WrongIncarnation, worker.NotReached:
		r.handleWorkerState(now, e.Incarnation, e.Ended.Add(-e.Took), e.Result)
	}
	if r.worker != nil {
		r.renew(now)
	}
}

func (r *Runner) endLongPoll(now time.Time, e RenewAnswered) {
	r.worker.longPolling = false
	if _, isListing := e.Result.(worker.Listing); !isListing {
		r.worker.longPollAfter = now.Add(longPollBackoff)
	}
	if endsWithProcess(e.Result) {
		r.worker.notePollEnded(e)
	}
}

// handleUnansweredRenewal notes what a renewal without an answer tells of the worker. If the worker closed the connection, it is asked at
// once whether it is still there: sooner than with the next renewal, entries then run the tasks elsewhere.
func (r *Runner) handleUnansweredRenewal(now time.Time, e RenewAnswered, result worker.Unanswered) {
	if !result.IsClosed {
		return
	}
	isFirst := r.worker.closing.at.IsZero()
	r.worker.noteClosed(e.Ended, result)
	if isFirst || now.Sub(r.worker.lastRenewSent) >= minRetryInterval {
		r.requestListing(now)
	}
}

// markResponsive applies that the worker has answered a renewal that was sent at sent.
func (r *Runner) markResponsive(now, sent time.Time) {
	wasUnresponsive := r.worker.isUnresponsive(now)
	r.worker.noteAlive(sent)
	if sent.After(r.worker.lastAnswered) {
		r.worker.lastAnswered = sent
	}
	r.worker.recordAnswer(sent)
	if wasUnresponsive {
		r.markLoadDue()
	}
}

// recordAnswer notes that a renewal was answered that was sent at a time. One that was sent later is still to be answered.
func (i *incarnation) recordAnswer(sent time.Time) {
	switch {
	case sent.Before(i.askedAt):
	case sent.Before(i.lastRenewSent):
		i.askedAt = i.lastRenewSent
	default:
		i.askedAt = time.Time{}
	}
}
