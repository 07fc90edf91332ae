// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/worker"
)

// Listings
//
// Inputs: the runs and ends that the worker lists, and when the listing was requested.
// Rule: each end is applied once, in the order of the numbers. A listed run that is unknown to this process is an
// orphan, unless the listing was requested before the latest end was applied. A run whose start or stop is unconfirmed
// is decided by a listing that was requested later.
// Reason: answers on different connections may overtake one another, so a listing may be older than an end that has
// already been applied. It describes the worker at the time of its answer, which its clock gives, and that is no
// earlier than the request.

// applyListing applies the answer to a renewal: first the ends, then the listed runs, then the runs whose start or stop
// is unconfirmed.
func (r *Runner) applyListing(now time.Time, e RenewAnswered, listing worker.Listing) {
	sent := e.Sent
	r.worker.readClock(listing.Clock, listing.Received)
	r.worker.listed = listing.Reply
	r.markResponsive(now, sent)
	// A listing requested before the end from another answer was applied may still contain the run that ended.
	mayBeStale := !sent.After(r.worker.lastEnd)
	for _, end := range listing.Ended {
		r.applyEnd(now, listing, end)
	}
	listed := make(map[string]worker.Run, len(listing.Running))
	for _, run := range listing.Running {
		listed[run.Name] = run
		r.observeRun(now, listing, mayBeStale, run)
	}
	for _, t := range r.active() {
		run, isListed := listed[t.Name]
		r.resolve(now, e, listing, t, isListed && run.Run == t.Run)
	}
	r.resolveOrphans(sent, listed)
	r.updateKnowsAllRuns(sent, mayBeStale)
}

// applyEnd applies a listed end once. The worker lists it until it is acknowledged.
func (r *Runner) applyEnd(now time.Time, listing worker.Listing, end worker.End) {
	if end.Number <= r.worker.lastEndNumber {
		return
	}
	r.worker.lastEndNumber = end.Number
	r.worker.lastEnd = now
	t, ok := r.activeRun(end.Name, end.Run)
	if !ok {
		r.endOrphan(now, end)
		return
	}
	if t.IsDurable && hasResult(end.Ending) {
		r.retainEnd(now, end)
	}
	r.health.recordEnd(t, end.Ending, listing.Clock, r.speed.timeFactor())
	r.observeEnd(now, t, end.Ending)
	if end.Ending == worker.EndingDone {
		r.updateSpeed(t, listing.Clock)
	}
	t.Checkpoint = end.Checkpoint
	r.finishRun(t, end.Ending)
}

// finishRun finishes a task whose run has ended.
func (r *Runner) finishRun(t *task, ending worker.Ending) {
	switch {
	case ending == worker.EndingDone:
		r.finish(t, OutcomeDone, "")
	case ending == worker.EndingFailed:
		r.finish(t, OutcomeFailed, "the run failed")
	case ending == worker.EndingStopped:
		r.finish(t, OutcomeStopped, reasonStopped)
	default:
		r.finish(t, OutcomeLost, "the run's lease expired")
	}
}

// observeRun applies a listed run: it updates the progress of a known run and stops an orphan. In a stale listing, an
// unknown run may be one whose end was already applied, rather than an orphan.
func (r *Runner) observeRun(now time.Time, listing worker.Listing, mayBeStale bool, run worker.Run) {
	t, ok := r.activeRun(run.Name, run.Run)
	if !ok {
		if !mayBeStale {
			r.stopOrphan(now, run)
		}
		return
	}
	t.progress = run.Percent
	r.worker.reportsProgress = r.worker.reportsProgress || run.Percent > 0
	t.listedAt = listing.Clock
}

// resolve decides a run whose start or stop is unconfirmed, by the listing that answers a renewal.
func (r *Runner) resolve(now time.Time, e RenewAnswered, listing worker.Listing, t *task, isListed bool) {
	switch t.state {
	case stateChecking:
		if e.Fence > t.fence {
			r.resolveStart(now, t, listing, isListed)
		}
	case stateRestarted:
		if e.Fence > t.fence {
			r.resolveRestarted(now, t, listing, isListed)
		}
	case stateStopping:
		_, hasExpired := r.hasLeaseExpired(e.Sent)
		switch {
		case isListed:
		case t.stop.hasEnded(e.Sent, r.stopBound()):
			r.finish(t, OutcomeStopped, reasonStopped)
		case hasExpired:
			r.finish(t, OutcomeLost, "the run's lease has expired")
		}
	}
}
