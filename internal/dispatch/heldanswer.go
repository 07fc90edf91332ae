// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"sailhead/internal/timing"
)

// This file decides when the answer to a failed job is sent.
//
// Inputs: the runs of the job that may not have ended, and the reports of their ends; whether the other entries have been told of such
// runs, and of the crashes because of which the job was given up.
//
// Rule, where the first that applies counts:
//
//	maxHoldTime has passed                                   the answer is sent
//	the other entries have not been told (share.go)          it is held
//	all ends are known, or other entries wait for the runs   it is sent
//	an end is not known after lateEndTime                    the other entries are told of the runs
//
// The answers to other jobs are sent at once: a completed or refused job has no runs, and the callers of an interrupted one wait for
// timing.CallerRetryDelay.
//
// Reason: a caller may submit a failed job again as soon as it has the answer, at any entry. This entry waits for the runs itself
// (endingRuns), but another one does not know of them and would start a second run of a task. The end of a run whose worker accepts no stop
// takes up to timing.RerunDelay, which is too long for a caller to wait.

const (
	// lateEndTime is the time after which the other entries are told of a run whose end is not known. A stop takes up to
	// timing.MaxStopTime, and its request and the report of the end take about half as long between distant regions.
	lateEndTime = 3 * timing.MaxStopTime / 2
	// maxHoldTime is the longest time for which an answer is held. It leaves the other entries as long again to respond.
	maxHoldTime = 2 * lateEndTime
)

// heldAnswer is the answer to a dropped job some of whose runs may not have ended.
type heldAnswer struct {
	job    *job
	answer Answer
	since  time.Time
	// hasPropagatedRuns is set once the runs that may not have ended were passed on to the other entries.
	hasPropagatedRuns bool
}

// hold drops a job and holds its answer.
func (d *Dispatcher) hold(now time.Time, j *job, answer Answer) {
	d.drop(now, j)
	d.heldAnswers = append(d.heldAnswers, heldAnswer{job: j, answer: answer, since: now})
}

// mustHold reports whether an answer must wait for the ends of runs of its job, or for other entries.
func (d *Dispatcher) mustHold(now time.Time, j *job, answer Answer) bool {
	_, isFailed := answer.(Failed)
	mayHaveRuns := slices.ContainsFunc(j.tasks, func(t *task) bool { return t.mayRun(now) || d.isEnding(t) })
	return isFailed && (mayHaveRuns || d.awaitsShare(j))
}

// awaitsShare reports whether other entries may not know of a crash because of which the job was given up, or of a run of it.
func (d *Dispatcher) awaitsShare(j *job) bool { return j.recordNumber > d.recordShare.told }

// handleHeldAnswers tells the other entries of runs whose ends are late, and sends the held answers that need not wait any longer.
func (d *Dispatcher) handleHeldAnswers(now time.Time) {
	for i := range d.heldAnswers {
		d.propagateLateRuns(now, &d.heldAnswers[i])
	}
	d.heldAnswers = slices.DeleteFunc(d.heldAnswers, func(h heldAnswer) bool {
		isDue := !d.isAwaited(h) || now.Sub(h.since) >= maxHoldTime
		if isDue {
			d.sendAnswer(now, h.job, h.answer)
		}
		return isDue
	})
}

// isAwaited reports whether an answer waits for the end of a run that other entries do not know of, or for them to know it.
func (d *Dispatcher) isAwaited(h heldAnswer) bool {
	return d.awaitsShare(h.job) || !h.hasPropagatedRuns && slices.ContainsFunc(h.job.tasks, d.isEnding)
}

// propagateLateRuns passes the runs of a job whose ends are late on to the other entries.
func (d *Dispatcher) propagateLateRuns(now time.Time, h *heldAnswer) {
	if h.hasPropagatedRuns || now.Sub(h.since) < lateEndTime {
		return
	}
	var tasks []string
	for _, t := range h.job.tasks {
		if d.isEnding(t) {
			tasks = append(tasks, t.name)
			d.propagate(PropagateUnendedRun{Task: t.name, EndedBy: d.endedBy(now, t.name)})
		}
	}
	if len(tasks) == 0 {
		return
	}
	h.hasPropagatedRuns = true
	h.job.recordNumber = d.recordShare.propagated
	d.emit(h.job.decisionMade(now, DecisionRunsUnended{Tasks: tasks}))
	d.shareRecords()
}

// endedBy returns when the runs of a task of a dropped job have ended at the latest. An agent in session has got the stop or loses the
// session, so its run ends within timing.RerunDelay.
func (d *Dispatcher) endedBy(now time.Time, task string) time.Time {
	end := d.runsElsewhere[task]
	run, isOwn := d.endingRuns[task]
	if isOwn && run.endedBy.IsZero() {
		run.endedBy = now.Add(timing.RerunDelay)
	}
	if run.endedBy.After(end) {
		end = run.endedBy
	}
	return end
}

// heldCallerLeft removes a waiter from the job whose answer it waits for.
func (d *Dispatcher) heldCallerLeft(e CallerLeft) {
	if j := d.findHeld(e.Job); j != nil {
		j.waiters = slices.DeleteFunc(j.waiters, func(w Waiter) bool { return w == e.Waiter })
	}
}

// findHeld returns the job with an ID whose answer is held, or nil if there is none.
func (d *Dispatcher) findHeld(id string) *job {
	for _, h := range d.heldAnswers {
		if h.job.ID == id {
			return h.job
		}
	}
	return nil
}
