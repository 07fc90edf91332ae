// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"slices"
	"time"

	"sailhead/internal/timing"
	"sailhead/internal/worker"
)

// expireQueued refuses the tasks that have waited for too long.
func (r *Runner) expireQueued(now time.Time) {
	for _, t := range slices.Clone(r.queue) {
		if now.Sub(t.arrived) > t.MaxWait {
			r.unqueue(t)
			r.finish(t, OutcomeNotStarted, "no room in time")
		}
	}
}

// startQueued starts waiting tasks while there is room, the most urgent first.
func (r *Runner) startQueued(now time.Time) {
	if len(r.queue) == 0 || r.refusalReason(now) != "" || now.Before(r.worker.fullUntil) {
		r.rejectUnplaced()
		return
	}
	slices.SortStableFunc(r.queue, func(a, b *task) int { return a.Priority - b.Priority })
	for _, t := range slices.Clone(r.queue) {
		if !t.Needs.Fits(r.worker.record.Capacity.Minus(r.worker.used)) {
			continue
		}
		r.unqueue(t)
		if !r.isSessionValid(now, t.session) {
			r.finish(t, OutcomeNotStarted, "the session has ended")
			continue
		}
		r.start(now, t)
	}
	r.rejectUnplaced()
}

// rejectUnplaced refuses at once the tasks that found no room and must not wait.
func (r *Runner) rejectUnplaced() {
	for _, t := range slices.Clone(r.queue) {
		if t.MaxWait == 0 && !t.rerunAfterStop {
			r.unqueue(t)
			r.finish(t, OutcomeNotStarted, "no room")
		}
	}
}

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

// requeue lets a task run again, first in the queue.
func (r *Runner) requeue(t *task) {
	t.state = stateQueued
	t.rerunAfterStop = true
	r.worker.used = r.worker.used.Minus(t.Needs)
	r.queue = append([]*task{t}, r.queue...)
	r.markLoadDue()
}

// current returns the task of an answer if it is about the present run at the present life.
func (r *Runner) current(incarnation, name string, run uint32) (*task, bool) {
	if r.worker == nil || r.worker.record.ID != incarnation {
		return nil, false
	}
	t, ok := r.tasks[name]
	if !ok || t.Run != run || t.state == stateQueued {
		return nil, false
	}
	return t, true
}

func (r *Runner) handleStartAnswer(now time.Time, e StartAnswered) {
	t, ok := r.current(e.Incarnation, e.Name, e.Run)
	if !ok || t.state != stateStarting {
		// A stop is under way: it settles the run, whatever became of the start.
		r.handleWorkerState(now, e.Incarnation, e.Result)
		return
	}
	switch result := e.Result.(type) {
	case worker.Accepted:
		r.readClock(result.Clock, result.Received)
		t.state = stateRunning
		t.mayHaveRun = true
		r.sendUpdate(t.session, Update{Name: t.Name, Run: t.Run, Outcome: OutcomeStarted})
	case worker.Outdated:
		r.requeue(t)
		t.Run += runStep
	case worker.Fenced:
		r.raiseFence()
		r.requeue(t)
	case worker.TooLate:
		r.readClock(result.Clock, result.Received)
		r.requeue(t)
	case worker.InsufficientResources:
		r.worker.fullUntil = now.Add(timing.RenewInterval)
		r.finish(t, OutcomeNotStarted, "the worker has no room")
	case worker.Unhealthy:
		r.handleWorkerState(now, e.Incarnation, e.Result)
		r.finish(t, OutcomeNotStarted, "the worker is unhealthy")
	case worker.Invalid:
		r.finish(t, OutcomeNotStarted, "the worker does not understand the start: "+result.Reason)
	case worker.Unanswered:
		t.state = stateChecking
		t.mayHaveRun = true
		t.resolveAfter = now
		r.requestListing(now)
	default:
		r.handleWorkerState(now, e.Incarnation, e.Result)
	}
}

// raiseFence takes a fencing token above one that the worker has seen.
func (r *Runner) raiseFence() {
	r.fence += fenceStep
}

// handleWorkerState takes in what any answer says of the worker itself.
func (r *Runner) handleWorkerState(now time.Time, incarnation string, result any) {
	if r.worker == nil || r.worker.record.ID != incarnation {
		return
	}
	switch result.(type) {
	case worker.NotReached:
		r.endIncarnation("the worker is not there")
	case worker.WrongIncarnation:
		r.rememberEnded(incarnation)
		r.endIncarnation("another life of the worker answers")
	case worker.Unhealthy:
		r.worker.unhealthyUntil = now.Add(unhealthyBackoff)
		r.markLoadDue()
	}
}
