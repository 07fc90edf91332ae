// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"slices"
	"time"

	"sailhead/internal/worker"
)

// dropWaiting refuses the tasks that have waited for too long.
func (r *Runner) dropWaiting(now time.Time) {
	for _, t := range slices.Clone(r.queue) {
		if now.Sub(t.arrived) > t.MaxWait {
			r.unqueue(t)
			r.forget(t, OutcomeNotStarted, "no room in time")
		}
	}
}

// fill starts waiting tasks while there is room, the most urgent first.
func (r *Runner) fill(now time.Time) {
	if len(r.queue) == 0 || r.refusal(now) != "" || now.Before(r.life.fullUntil) {
		r.bounce()
		return
	}
	slices.SortStableFunc(r.queue, func(a, b *task) int { return a.Priority - b.Priority })
	for _, t := range slices.Clone(r.queue) {
		if !t.Needs.Fits(r.life.record.Capacity.Minus(r.life.used)) {
			continue
		}
		r.unqueue(t)
		if !r.isValid(now, t.session) {
			r.forget(t, OutcomeNotStarted, "the session has ended")
			continue
		}
		r.start(now, t)
	}
	r.bounce()
}

// bounce refuses at once the tasks that found no room and must not wait.
func (r *Runner) bounce() {
	for _, t := range slices.Clone(r.queue) {
		if t.MaxWait == 0 && !t.again {
			r.unqueue(t)
			r.forget(t, OutcomeNotStarted, "no room")
		}
	}
}

func (r *Runner) start(now time.Time, t *task) {
	t.state = stateStarting
	t.again = false
	t.began = now
	t.progress = 0
	t.looked = now
	r.life.used = r.life.used.Plus(t.Needs)
	r.life.granted = now
	r.markLoad()
	r.emit(CallStart{
		Life:   r.life.record.ID,
		Before: r.sessions[t.session].valid,
		Start: worker.Start{
			Name: t.Name, Run: t.Run, Payload: t.Payload, Checkpoint: t.Checkpoint,
			Until: r.until(now), Fence: r.fence,
		},
	})
}

// requeue lets a task run again, first in the queue.
func (r *Runner) requeue(t *task) {
	t.state = stateQueued
	t.again = true
	r.life.used = r.life.used.Minus(t.Needs)
	r.queue = append([]*task{t}, r.queue...)
	r.markLoad()
}

// current returns the task of an answer if it is about the present run at the present life.
func (r *Runner) current(lifeID, name string, run uint32) (*task, bool) {
	if r.life == nil || r.life.record.ID != lifeID {
		return nil, false
	}
	t, ok := r.tasks[name]
	if !ok || t.Run != run || t.state == stateQueued {
		return nil, false
	}
	return t, true
}

func (r *Runner) startAnswered(now time.Time, e StartAnswered) {
	t, ok := r.current(e.Life, e.Name, e.Run)
	if !ok || t.state != stateStarting {
		// A stop is under way: it settles the run, whatever became of the start.
		r.heed(now, e.Life, e.Result)
		return
	}
	switch result := e.Result.(type) {
	case worker.Accepted:
		r.readClock(result.Clock, result.Received)
		t.state = stateRunning
		t.mayHaveRun = true
		r.send(t.session, Update{Name: t.Name, Run: t.Run, Outcome: OutcomeStarted})
	case worker.Outdated:
		r.requeue(t)
		t.Run += runStep
	case worker.Fenced:
		r.raiseFence()
		r.requeue(t)
	case worker.TooLate:
		r.readClock(result.Clock, result.Received)
		r.requeue(t)
	case worker.NoRoom:
		r.life.fullUntil = now.Add(holdPause)
		r.forget(t, OutcomeNotStarted, "the worker has no room")
	case worker.Unhealthy:
		r.heed(now, e.Life, e.Result)
		r.forget(t, OutcomeNotStarted, "the worker is unhealthy")
	case worker.Invalid:
		r.forget(t, OutcomeNotStarted, "the worker does not understand the start: "+result.Reason)
	case worker.Unanswered:
		t.state = stateChecking
		t.mayHaveRun = true
		t.checkAfter = now
		r.list(now)
	default:
		r.heed(now, e.Life, e.Result)
	}
}

// raiseFence takes a fencing token above one that the worker has seen.
func (r *Runner) raiseFence() {
	r.fence += fenceStep
}

// heed takes in what any answer says of the worker itself.
func (r *Runner) heed(now time.Time, lifeID string, result any) {
	if r.life == nil || r.life.record.ID != lifeID {
		return
	}
	switch result.(type) {
	case worker.NotReached:
		r.endLife("the worker is not there")
	case worker.OtherLife:
		r.addPast(lifeID)
		r.endLife("another life of the worker answers")
	case worker.Unhealthy:
		r.life.unhealthyUntil = now.Add(unhealthyTime)
		r.markLoad()
	}
}
