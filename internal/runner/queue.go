// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"slices"
	"time"
)

// Queueing
//
// Inputs: the tasks' needs, urgency and MaxWait, the free resources of the worker, the reservations, the headroom for
// shorter tasks (headroom.go).
// Rule: tasks start in the order of their urgency, then of their arrival. Smaller tasks overtake one that does not fit.
// A task without an offer leaves the free resources to a reservation that precedes it (shares.go), and the headroom to
// shorter tasks. A task is rejected after MaxWait, or at once if MaxWait is zero. A task that waits for the end of an
// earlier run of itself is never rejected at once.
// Reason: the entry places a rejected task on another worker, which is faster than waiting for this one.
//
// Superseding
//
// Inputs: a start of a task that another session has queued or running here.
// Rule: the older task is stopped; the newer one waits for its end and runs with a higher run number. If another start
// already waits for that end, it is reported as not started.
// Reason: the job has a new owner, or its entry a new session, and two runs of a task must not overlap.

// supersedeTimeout is the least time that a task may wait for the end of the run that it supersedes: enough for a stop and some retries.
const supersedeTimeout = 500 * time.Millisecond

// handleStart queues a task, or reports it as not started with the reason.
func (r *Runner) handleStart(now time.Time, e StartRequested) {
	s, ok := r.sessions[e.Session]
	if !ok {
		return
	}
	s.lastHandledStart = max(s.lastHandledStart, e.Number)
	s.loadDue = true
	s.ownLoadDue = true
	earlier, exists := r.tasks[e.Task.Name]
	if exists && earlier.session == e.Session {
		return
	}
	s.lastStart = now
	r.storeKindRate(e.Task)
	if reason := r.startRejectionReason(now, e.Session, e.Task); reason != "" {
		r.sendUpdate(e.Session, Update{Name: e.Task.Name, Run: e.Task.Run, Outcome: OutcomeNotStarted, Reason: reason})
		return
	}
	s.missedOffer = false
	t := &task{Task: e.Task, session: e.Session, arrived: now, competitor: s.competitor(e.Task.Kind)}
	r.recordArrival(now, e.Task.Kind, e.Task.Needs, e.Task.Estimate, e.Task.Urgency)
	if exists {
		r.supersede(now, earlier, t)
		return
	}
	r.useOffer(t)
	r.useProbe(t)
	r.enqueue(t)
}

// supersede stops the earlier task, which belongs to another session, and makes t wait for its end.
func (r *Runner) supersede(now time.Time, earlier, t *task) {
	t.isRequeued = true
	t.MaxWait = max(t.MaxWait, supersedeTimeout)
	t.Run = max(t.Run, earlier.Run+1)
	r.rejectSuperseding(earlier, "a newer session has the task")
	earlier.supersededBy = t
	r.stop(now, earlier, r.extendableUntil(earlier))
}

// rejectSuperseding reports the task that waits to supersede t, if there is one, as not started.
func (r *Runner) rejectSuperseding(t *task, reason string) {
	waiting := t.supersededBy
	if waiting == nil {
		return
	}
	t.supersededBy = nil
	r.sendUpdate(waiting.session, Update{Name: waiting.Name, Run: waiting.Run, Outcome: OutcomeNotStarted, Reason: reason})
}

func (r *Runner) enqueue(t *task) {
	r.tasks[t.Name] = t
	r.queue = append(r.queue, t)
}

// requeue puts an active task that has no run back at the front of the queue.
func (r *Runner) requeue(t *task) {
	t.state = stateQueued
	t.isRequeued = true
	r.release(t)
	r.queue = append([]*task{t}, r.queue...)
	r.markLoadDue()
}

// requeueWithNewRun requeues a task whose run never started or ended without a result, under the next run number.
func (r *Runner) requeueWithNewRun(t *task) {
	t.Run++
	r.requeue(t)
}

func (r *Runner) removeFromQueue(t *task) {
	if at := slices.Index(r.queue, t); at >= 0 {
		r.queue = slices.Delete(r.queue, at, at+1)
	}
}

// startQueued starts the queued tasks for which there are resources and rejects the others that must not wait.
func (r *Runner) startQueued(now time.Time) {
	if len(r.queue) > 0 && r.rejectionReason(now) == "" && !now.Before(r.worker.fullUntil) {
		r.startFitting(now)
	}
	r.rejectQueued(reasonHeadroom, func(t *task) bool { return t.isLimitedByHeadroom && mustNotWait(t) })
	r.rejectQueued("no resources", mustNotWait)
}

func (r *Runner) startFitting(now time.Time) {
	slices.SortStableFunc(r.queue, func(a, b *task) int { return a.Urgency.Compare(b.Urgency) })
	for _, t := range slices.Clone(r.queue) {
		if !r.fits(t) || r.mustYield(now, t) || !r.leavesHeadroom(now, t) {
			continue
		}
		r.removeFromQueue(t)
		if !r.isSessionValid(now, t.session) {
			r.finish(t, OutcomeNotStarted, "the session has ended")
			continue
		}
		r.start(now, t)
	}
}

// expireQueued rejects the tasks that have waited longer than MaxWait.
func (r *Runner) expireQueued(now time.Time) {
	r.rejectQueued("no resources in time", func(t *task) bool { return now.Sub(t.arrived) > t.MaxWait })
}

// rejectQueued removes the queued tasks that match and reports them as not started.
func (r *Runner) rejectQueued(reason string, matches func(*task) bool) {
	for _, t := range slices.Clone(r.queue) {
		if matches(t) {
			r.removeFromQueue(t)
			r.finish(t, OutcomeNotStarted, reason)
		}
	}
}

func anyTask(*task) bool { return true }

func mustNotWait(t *task) bool { return t.MaxWait == 0 && !t.isRequeued }
