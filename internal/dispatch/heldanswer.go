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
// Inputs: the runs of the job that may not have ended, and the reports of their ends; whether the job was given up because of crashes that
// other entries may not know of.
//
// Rule: the answer is held until the ends of all runs of the job are known and the other entries have been told of the crashes
// (sharecrashes.go), but no longer than maxHoldTime. The answers to other jobs are sent at once: a completed or refused job has no runs,
// and the callers of an interrupted one wait for timing.CallerRetryDelay.
//
// Reason: a caller may submit a failed job again as soon as it has the answer, at any entry. This entry waits for the runs itself
// (endingRuns), but another one does not know of them and would start a second run of a task.

// maxHoldTime is the longest time for which an answer is held. A stop takes up to timing.MaxStopTime, and its request, the report of the
// end and the delays of busy VMs as long again. After that an agent is slow or has lost its worker, and the caller is not to wait for it.
const maxHoldTime = 3 * timing.MaxStopTime

// heldAnswer is the answer to a dropped job some of whose runs may not have ended.
type heldAnswer struct {
	job    *job
	answer Answer
	// expires is when the answer is sent in any case.
	expires time.Time
}

// hold drops a job and holds its answer.
func (d *Dispatcher) hold(now time.Time, j *job, answer Answer) {
	d.drop(now, j)
	d.heldAnswers = append(d.heldAnswers, heldAnswer{job: j, answer: answer, expires: now.Add(maxHoldTime)})
}

// mustHold reports whether an answer must wait for the ends of runs of its job, or for other entries.
func (d *Dispatcher) mustHold(now time.Time, j *job, answer Answer) bool {
	_, isFailed := answer.(Failed)
	mayHaveRuns := slices.ContainsFunc(j.tasks, func(t *task) bool { return t.mayRun(now) || d.isEnding(t) })
	return isFailed && (mayHaveRuns || d.awaitsShare(j))
}

// awaitsShare reports whether other entries may not know of a crash because of which the job was given up.
func (d *Dispatcher) awaitsShare(j *job) bool { return j.crashNumber > d.crashShare.told }

// sendHeldAnswers sends the held answers that need not wait any longer.
func (d *Dispatcher) sendHeldAnswers(now time.Time) {
	d.heldAnswers = slices.DeleteFunc(d.heldAnswers, func(h heldAnswer) bool {
		isAwaited := d.awaitsShare(h.job) || slices.ContainsFunc(h.job.tasks, d.isEnding)
		isDue := !isAwaited || !now.Before(h.expires)
		if isDue {
			d.sendAnswer(now, h.job, h.answer)
		}
		return isDue
	})
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
