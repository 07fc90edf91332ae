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
// Inputs: whether tasks are active, whether a run waits for a listing or is a probe, whether ends are unacknowledged.
// Rule: a renewal that the worker answers without waiting is sent every nextRenewInterval. While tasks are active, a
// long poll runs in parallel and returns as soon as a run ends. There is no long poll while unacknowledged ends are
// listed, as the worker would answer it at once, and none for a pause after one that failed.
// Reason: the short renewals extend the leases in time and show whether the worker responds. With the long poll, the
// entry learns of an end, and the agent of a crash, without waiting for the next short renewal.

const (
	// idleRenewInterval is the time between two renewals while no task is active. These only show whether the worker responds: if an answer
	// is lost, the next renewal is sent timing.RenewInterval later, within timing.WorkerUnresponsiveAfter.
	idleRenewInterval = 200 * time.Millisecond
	// longPollTimeout is how long the worker holds a long poll if no run ends.
	longPollTimeout = 500 * time.Millisecond
	// longPollBackoff is the pause after a long poll that returned no listing, unless the agent itself has fenced it.
	longPollBackoff = timing.RenewInterval
)

// renew sends a renewal and a long poll if they are due.
func (r *Runner) renew(now time.Time) {
	if now.Sub(r.worker.lastRenewSent) >= r.nextRenewInterval(now) {
		r.requestListing(now)
	}
	r.pollIfDue(now)
}

// pollIfDue sends a long poll if it is due. It is also called after each event, so that a long poll is pending as soon as the first run
// starts and returns even if that run ends early.
func (r *Runner) pollIfDue(now time.Time) {
	if r.worker != nil && r.isLongPollDue(now) {
		r.worker.longPolling = true
		r.sendRenew(now, longPollTimeout)
	}
}

// nextRenewInterval returns the time between two renewals that are answered without waiting.
func (r *Runner) nextRenewInterval(now time.Time) time.Duration {
	switch {
	case r.worker.isUnresponsive(now):
		return timing.RenewInterval
	case len(r.worker.unacknowledged) > 0:
		return unacknowledgedRenewInterval
	case !r.worker.knowsAllRuns, r.awaitsListing(), r.hasProbeRun():
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

// awaitsListing reports whether the state of a run depends on the next listing.
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

// requestListing sends a renewal that the worker answers without waiting.
func (r *Runner) requestListing(now time.Time) {
	r.worker.lastRenewSent = now
	if r.worker.askedAt.IsZero() {
		r.worker.askedAt = now
	}
	r.sendRenew(now, 0)
}

// sendRenew sends a renewal. It requests no lease from an unresponsive worker, which may still carry out calls that it
// does not answer: its runs must have ended when expireLease reports them as lost.
func (r *Runner) sendRenew(now time.Time, wait time.Duration) {
	request := worker.RenewRequest{Fence: r.fence, AcknowledgedEnd: r.worker.acknowledgedUpTo(now), Wait: wait}
	if !r.worker.isUnresponsive(now) {
		request.LeaseUntil = r.requestLease(now)
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
		r.worker.recordRoundTrip(e.Took, e.Result)
	}
	if r.detectRestart(now, e.Result) {
		return
	}
	switch result := e.Result.(type) {
	case worker.Listing:
		r.applyListing(now, e, result)
	case worker.Fenced:
		r.raiseFence(e.Fence, fenceStep)
		r.requestListing(now)
	case worker.NoResponse:
		r.handleUnansweredRenewal(now, e, result)
	case worker.Invalid, worker.Unhealthy, worker.WrongIncarnation, worker.Unreachable:
		r.handleWorkerState(now, e.Incarnation, e.Ended.Add(-e.Took), e.Result)
	}
	if r.worker != nil {
		r.renew(now)
	}
}

func (r *Runner) endLongPoll(now time.Time, e RenewAnswered) {
	r.worker.longPolling = false
	if r.needsBackoff(e) {
		r.worker.longPollAfter = now.Add(longPollBackoff)
	}
	if endsWithProcess(e.Result) {
		r.worker.recordPollEnd(e)
	}
}

// needsBackoff reports whether the next long poll could end at once like this one. A long poll that was rejected for a lower fencing token
// than the present one was fenced by a later call of this agent, and the next one is not.
func (r *Runner) needsBackoff(e RenewAnswered) bool {
	switch e.Result.(type) {
	case worker.Listing:
		return false
	case worker.Fenced:
		return e.Fence >= r.fence
	default:
		return true
	}
}

// handleUnansweredRenewal handles a renewal without an answer. If the worker closed the connection, a listing is requested at once to find
// out whether the worker still runs: if it does not, entries can run its tasks elsewhere sooner than after the next regular renewal.
func (r *Runner) handleUnansweredRenewal(now time.Time, e RenewAnswered, result worker.NoResponse) {
	if !result.IsClosed {
		return
	}
	isFirst := r.worker.connectionLoss.firstAt.IsZero()
	r.worker.recordClosed(e.Ended, result)
	if isFirst || now.Sub(r.worker.lastRenewSent) >= minRetryInterval {
		r.requestListing(now)
	}
}

// markResponsive records that the worker has answered a renewal that was sent at sent.
func (r *Runner) markResponsive(now, sent time.Time) {
	wasUnresponsive := r.worker.isUnresponsive(now)
	r.worker.recordAlive(sent)
	if sent.After(r.worker.lastAnswered) {
		r.worker.lastAnswered = sent
	}
	r.worker.recordAnswer(sent)
	if wasUnresponsive {
		r.markLoadDue()
	}
}

// recordAnswer updates askedAt after the answer to a renewal that was sent at sent. Renewals that were sent later are still unanswered.
func (i *incarnation) recordAnswer(sent time.Time) {
	switch {
	case sent.Before(i.askedAt):
	case sent.Before(i.lastRenewSent):
		i.askedAt = i.lastRenewSent
	default:
		i.askedAt = time.Time{}
	}
}
