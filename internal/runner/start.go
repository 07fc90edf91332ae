// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/worker"
)

// Starts and their answers
//
// Inputs: the worker's answer to a start, or none within the time-out of the call.
// Rule: an accepted start is reported as started. A start that the worker rejected for a reason that a second attempt can
// mend (run number, fencing token, expired lease) is queued again. A start that the worker cannot carry out is reported as
// not started, so that the entry places the task elsewhere. A start without an answer may have begun a run and may even
// begin one later: the runner requests a listing with a higher fencing token, which makes the worker reject the start from
// then on. If the run is neither listed nor has ended, it never began, and the task is queued again at once. Other starts
// under way are rejected for their token too, and sent again.
// Reason: two runs of a task must not overlap, and a task of 60 ms cannot wait for the 50 ms that a stop may take.

const (
	// fenceStep is added to the fencing token when the worker has seen a higher one. Tokens are milliseconds of the
	// agent's clock at its start, so one step covers a clock that was set back by twelve days.
	fenceStep = 1 << 30
	// checkStep is added to the fencing token to fence a start without an answer.
	checkStep = 1
	// runNumberStep is added to a run number that the worker has already seen end or stop: the agent does not know how far the worker has come. A
	// task rarely has as many runs, and another step follows if it has.
	runNumberStep = 16
)

// start sends the start of a queued task to the worker.
func (r *Runner) start(now time.Time, t *task) {
	t.state = stateStarting
	t.isRequeued = false
	t.hasBegun, t.isOnClock = false, false
	t.began, t.sent, t.startTook = now, now, 0
	r.lastStart++
	t.startNumber = r.lastStart
	t.progress = 0
	t.acceptedAt, t.listedAt = 0, 0
	t.epoch, t.isJudged = r.ejection.detector.Epoch(), false
	t.fence = r.fence
	r.occupy(now, t)
	r.chargeStart(now, t)
	r.worker.lastRenewal = now
	r.markLoadDue()
	r.emit(CallStart{
		Incarnation: r.worker.record.Incarnation(),
		Before:      r.sessions[t.session].validUntil,
		Start: worker.StartRequest{
			Name: t.Name, Run: t.Run, Payload: t.Payload, Checkpoint: t.Checkpoint,
			LeaseUntil: r.leaseUntil(now), Fence: r.fence,
		},
	})
}

func (r *Runner) handleStartAnswer(now time.Time, e StartAnswered) {
	t, ok := r.currentRun(e.Incarnation, e.Name, e.Run)
	if !ok || t.state != stateStarting {
		// The run has ended or is being stopped, which holds whatever the start did.
		r.handleWorkerState(now, e.Incarnation, e.Sent, e.Result)
		return
	}
	t.sent, t.startTook = e.Sent, e.Ended.Sub(e.Sent)
	switch result := e.Result.(type) {
	case worker.Accepted:
		r.recordAccepted(t, e, result)
		r.markStarted(e.Ended, t, result.Clock)
	case worker.Outdated:
		r.requeue(t)
		t.Run += runNumberStep
	case worker.Fenced:
		r.raiseFence(t.fence, fenceStep)
		r.requeue(t)
	case worker.TooLate:
		r.worker.readClock(result.Clock, result.Received)
		r.requeue(t)
	case worker.InsufficientResources:
		r.worker.fullUntil = now.Add(fullBackoff)
		r.finish(t, OutcomeNotStarted, "the worker has insufficient resources")
	case worker.Unhealthy:
		r.observeRejected(now, t)
		r.handleWorkerState(now, e.Incarnation, e.Sent, e.Result)
		r.finish(t, OutcomeNotStarted, reasonUnhealthy)
	case worker.Invalid:
		r.finish(t, OutcomeNotStarted, "the start was rejected: "+result.Reason)
	case worker.Unanswered:
		r.worker.noteClosed(e.Ended, result)
		r.checkStart(now, t)
	case worker.NotReached, worker.WrongIncarnation:
		r.finish(t, OutcomeNotStarted, "the worker was not reached")
		r.handleWorkerState(now, e.Incarnation, e.Sent, e.Result)
	}
}

// recordAccepted notes that a process of the worker's ID has accepted a start: the incarnation, unless it may start again under its ID and
// the clock in the answer is not its own.
func (r *Runner) recordAccepted(t *task, e StartAnswered, result worker.Accepted) {
	w := r.worker
	w.readClock(result.Clock, result.Received)
	t.isOnClock = w.isOnClock(result.Reply)
	if w.tellsStart() && !t.isOnClock {
		return
	}
	w.noteAlive(e.Sent)
	if e.Sent.After(w.lastAccepted) {
		w.lastAccepted = e.Sent
	}
}

// markStarted reports that a run has begun. heard is when the agent got the answer that says so, and confirmed when the worker gave it, on
// its clock.
func (r *Runner) markStarted(heard time.Time, t *task, confirmed time.Duration) {
	t.state = stateRunning
	t.hasBegun = true
	t.confirmedAt = heard
	t.acceptedAt = confirmed
	t.mayHaveRun = true
	r.sendUpdate(t.session, Update{Name: t.Name, Run: t.Run, Outcome: OutcomeStarted})
}

// checkStart requests a listing to find out whether a start without an answer began a run, and fences the start.
func (r *Runner) checkStart(now time.Time, t *task) {
	t.state = stateChecking
	r.raiseFence(t.fence, checkStep)
	r.requestListing(now)
}

// resolveStart decides on a start without an answer by a listing that fenced it.
func (r *Runner) resolveStart(now time.Time, t *task, listing worker.Listing, isListed bool) {
	if isListed {
		r.markStarted(now, t, listing.Clock)
		return
	}
	r.observeNotBegun(now, t)
	r.requeueWithNewRun(t)
}

// raiseFence raises the fencing token above that of a call, unless it was raised since the call was sent.
func (r *Runner) raiseFence(sent, step uint64) {
	if r.fence <= sent {
		r.fence = sent + step
	}
}
