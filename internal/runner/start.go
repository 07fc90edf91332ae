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
// begin one later: the runner requests a listing, and if the run is not listed, or the listing is not answered either,
// it stops the run (which makes the worker reject the start from then on) before the task is queued again.
// Reason: two runs of a task must not overlap.
// Measured: random schedules with 5 % and 30 % of the calls lost or late, no overlap (random_test.go);
// spec/session.pml, mutant NOFENCE.

const (
	// fenceStep is added to the fencing token when the worker has seen a higher one. Tokens are milliseconds of the
	// agent's clock at its start, so one step covers a clock that was set back by twelve days. Not measured.
	fenceStep = 1 << 30
	// runStep is added to a run number that the worker has already seen end or stop: the agent does not know how far the
	// worker has come. Not measured.
	runStep = 16
)

// start sends the start of a queued task to the worker.
func (r *Runner) start(now time.Time, t *task) {
	t.state = stateStarting
	t.rerunAfterStop = false
	t.began = now
	t.progress = 0
	t.listedAt = now
	r.worker.used = r.worker.used.Plus(t.Needs)
	r.worker.lastRenewal = now
	r.markLoadDue()
	r.emit(CallStart{
		Incarnation: r.worker.record.ID,
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
		r.handleWorkerState(now, e.Incarnation, e.Result)
		return
	}
	switch result := e.Result.(type) {
	case worker.Accepted:
		r.worker.readClock(result.Clock, result.Received)
		r.markStarted(t)
	case worker.Outdated:
		r.requeue(t)
		t.Run += runStep
	case worker.Fenced:
		r.raiseFence()
		r.requeue(t)
	case worker.TooLate:
		r.worker.readClock(result.Clock, result.Received)
		r.requeue(t)
	case worker.InsufficientResources:
		r.worker.fullUntil = now.Add(fullBackoff)
		r.finish(t, OutcomeNotStarted, "the worker has insufficient resources")
	case worker.Unhealthy:
		r.handleWorkerState(now, e.Incarnation, e.Result)
		r.finish(t, OutcomeNotStarted, reasonUnhealthy)
	case worker.Invalid:
		r.finish(t, OutcomeNotStarted, "the start was rejected: "+result.Reason)
	case worker.Unanswered:
		r.checkStart(now, t)
	case worker.NotReached, worker.WrongIncarnation:
		r.handleWorkerState(now, e.Incarnation, e.Result)
	}
}

// markStarted reports that a run has begun.
func (r *Runner) markStarted(t *task) {
	t.state = stateRunning
	t.mayHaveRun = true
	r.sendUpdate(t.session, Update{Name: t.Name, Run: t.Run, Outcome: OutcomeStarted})
}

// checkStart requests a listing to find out whether a start without an answer began a run.
func (r *Runner) checkStart(now time.Time, t *task) {
	t.state = stateChecking
	t.mayHaveRun = true
	t.checkAfter = now
	r.requestListing(now)
}

// resolveStart decides on a start without an answer by a listing that was requested after the start.
func (r *Runner) resolveStart(now time.Time, t *task, isListed bool) {
	if isListed {
		r.markStarted(t)
		return
	}
	r.stopUnconfirmedStart(now, t)
}

// resolveUnlisted stops the starts without an answer for which a listing was requested at sent and not answered either.
func (r *Runner) resolveUnlisted(now, sent time.Time) {
	for _, t := range r.active() {
		if t.state == stateChecking && !sent.Before(t.checkAfter) {
			r.stopUnconfirmedStart(now, t)
		}
	}
}

// stopUnconfirmedStart stops a start that may not have arrived yet; the task runs again after the stop.
func (r *Runner) stopUnconfirmedStart(now time.Time, t *task) {
	t.rerunAfterStop = true
	r.beginStop(now, t)
}

// raiseFence raises the fencing token after the worker has rejected it.
func (r *Runner) raiseFence() {
	r.fence += fenceStep
}
