// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/worker"
)

// Starts and their answers
//
// Inputs: the worker's answer to a start call, or none within the time-out of the call.
// Rule: an accepted start is reported as started. If the worker rejected the start for a reason that another attempt can
// resolve (run number, fencing token, expired lease), the task is queued again. If the worker cannot carry out the start,
// the task is reported as not started, so that the entry places it elsewhere. A start without an answer may have started
// a run, or may do so later: the runner requests a listing with a higher fencing token, which makes the worker reject the
// start from then on. If the run is neither listed nor has ended, it never started, and the task is queued again at once.
// A start that was answered with a status that the protocol does not have is checked in the same way, and the task is then
// reported as not started.
// Other pending starts are also rejected for their lower token, and are sent again. The start of a task that is being stopped is fenced in
// the same way, as its stop may not reach the worker.
// Reason: two runs of a task must not overlap, and a task of 60 ms cannot wait for the 50 ms that a stop may take.

const (
	// fenceStep is added to the fencing token when the worker has seen a higher one. Tokens are milliseconds of the
	// agent's clock when the process started, so one step covers a clock that was set back by up to twelve days.
	fenceStep = 1 << 30
	// checkStep is added to the fencing token to fence a start without an answer.
	checkStep = 1
	// runNumberStep is added to a run number that the worker has already seen end or stop. The agent does not know the highest number that
	// the worker has seen; a task rarely has more than 16 runs, and if the worker rejects the start again, another step follows.
	runNumberStep = 16
)

// start sends the start call for a queued task to the worker.
func (r *Runner) start(now time.Time, t *task) {
	t.state = stateStarting
	t.isRequeued = false
	t.hasStarted, t.isOnClock, t.isRejected = false, false, false
	t.startEmittedAt, t.sent, t.startTook = now, now, 0
	r.lastStart++
	t.startNumber = r.lastStart
	t.progress = 0
	t.acceptedAt, t.listedAt = 0, 0
	t.epoch, t.isObserved = r.ejection.detector.Epoch(), false
	t.fence = r.fence
	r.allocate(now, t)
	r.chargeStart(now, t)
	r.markLoadDue()
	r.emit(CallStart{
		Incarnation: r.worker.record.Incarnation(),
		Before:      r.sessions[t.session].validUntil,
		Start: worker.StartRequest{
			Name: t.Name, Run: t.Run, Payload: t.Payload, Checkpoint: t.Checkpoint,
			LeaseUntil: r.requestLease(now), Fence: r.fence,
		},
	})
}

func (r *Runner) handleStartAnswer(now time.Time, e StartAnswered) {
	r.handleLateStartAnswer(now, e)
	t, ok := r.currentRun(e.Incarnation, e.Name, e.Run)
	if !ok || t.state != stateStarting {
		// The run has ended or is being stopped.
		r.handleWorkerState(now, e.Incarnation, e.Sent, e.Result)
		r.fenceStart(now, e)
		if ok && t.state == stateStopping {
			r.resolveStopped(t, e.Result)
		}
		return
	}
	t.sent, t.startTook = e.Sent, e.Ended.Sub(e.Sent)
	switch result := e.Result.(type) {
	case worker.Accepted:
		r.recordAccepted(t, e, result)
		r.markStarted(e.Ended, t, result.Clock)
	case worker.StaleRun:
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
	case worker.NoResponse:
		r.worker.recordClosed(e.Ended, result)
		t.isRejected = result.IsAnswered
		r.checkStart(now, t)
	case worker.Unreachable, worker.WrongIncarnation:
		r.finish(t, OutcomeNotStarted, "the worker was not reached")
		r.handleWorkerState(now, e.Incarnation, e.Sent, e.Result)
	}
}

// recordAccepted records that a worker process has accepted a start. If the worker may restart under the same ID, the answer counts for the
// current incarnation only if it carries that incarnation's clock.
func (r *Runner) recordAccepted(t *task, e StartAnswered, result worker.Accepted) {
	w := r.worker
	w.readClock(result.Clock, result.Received)
	t.isOnClock = w.isOnClock(result.Reply)
	if w.hasStartTime() && !t.isOnClock {
		return
	}
	w.recordAlive(e.Sent)
	if e.Sent.After(w.lastAccepted) {
		w.lastAccepted = e.Sent
	}
}

// markStarted reports that a run has started. received is when the agent received the answer that confirms it, and confirmed when the worker
// sent that answer, on the worker's clock.
func (r *Runner) markStarted(received time.Time, t *task, confirmed time.Duration) {
	t.state = stateRunning
	t.hasStarted = true
	t.confirmedAt = received
	t.acceptedAt = confirmed
	t.hadRun = true
	r.sendUpdate(t.session, Update{Name: t.Name, Run: t.Run, Outcome: OutcomeStarted})
}

// checkStart fences a start without an answer and requests a listing, which shows whether the start has started a run.
func (r *Runner) checkStart(now time.Time, t *task) {
	t.state = stateChecking
	r.raiseFence(t.fence, checkStep)
	r.requestListing(now)
}

// resolveStopped finishes a task that was stopped before the worker rejected its start.
func (r *Runner) resolveStopped(t *task, result worker.StartResult) {
	switch result.(type) {
	case worker.InsufficientResources, worker.Invalid, worker.Unhealthy:
		r.finish(t, OutcomeNotStarted, reasonStoppedBeforeStart)
	}
}

// fenceStart fences a start without an answer whose task has ended or is being stopped.
func (r *Runner) fenceStart(now time.Time, e StartAnswered) {
	if _, isUnanswered := e.Result.(worker.NoResponse); !isUnanswered || !r.isCurrent(e.Incarnation) {
		return
	}
	sent := r.fence
	if t, ok := r.activeRun(e.Name, e.Run); ok {
		sent = t.fence
	}
	r.raiseFence(sent, checkStep)
	r.requestListing(now)
}

// resolveStart resolves a start without an answer by a listing that was requested with a higher fencing token.
func (r *Runner) resolveStart(now time.Time, t *task, listing worker.Listing, isListed bool) {
	if isListed {
		t.startTook = now.Sub(t.sent)
		r.markStarted(now, t, listing.Clock)
		return
	}
	r.observeNotBegun(now, t)
	if t.isRejected {
		r.finish(t, OutcomeNotStarted, "the start was answered with an unknown status")
		return
	}
	r.requeueWithNewRun(t)
}

// raiseFence raises the fencing token by step above sent, the token of a call, unless it was raised since that call was sent.
func (r *Runner) raiseFence(sent, step uint64) {
	if r.fence <= sent {
		r.fence = sent + step
	}
}
