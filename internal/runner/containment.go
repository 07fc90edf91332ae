// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import "time"

// Contained jobs
//
// Inputs: whether the kind of a job is contained (Task.IsContained), and when the latest contained job was started.
// Rule: for suspectTime after the first start of a contained job, or until all its runs on this worker have ended, no
// task of another job is started beside it. Runs that were already active continue.
// Reason: every job of a kind that crashes workers is suspect. A task that crashes its worker does so soon after its
// start, so a crash within that time implicates the job that was started last, without the need for a second crash.

// containedJob is the contained job that was started last. The zero value means none.
type containedJob struct {
	id string
	// runs counts its active tasks.
	runs int
	// began is when the first task of the job was started.
	began time.Time
	// isIsolated is set while no other job may be started beside it.
	isIsolated bool
}

// fits reports whether the free resources suffice to start a queued task.
func (r *Runner) fits(t *task) bool {
	w := r.worker
	if t.IsContained && w.suspect == nil && w.contained.isIsolated && w.contained.id == t.job() {
		return t.Needs.Fits(w.record.Capacity.Minus(w.used).Minus(r.offered))
	}
	return t.Needs.Fits(r.free())
}

// allocate counts a task as active.
func (r *Runner) allocate(now time.Time, t *task) {
	w := r.worker
	w.used = w.used.Plus(t.Needs)
	w.addUsage(t.Kind, t.Needs.CPU)
	r.sharing.areBoundsOutdated = true
	if t.IsContained && w.contained.id != t.job() {
		w.contained = containedJob{id: t.job(), began: now, isIsolated: true}
	}
	if w.contained.id == t.job() {
		w.contained.runs++
	}
	r.isolate(t)
}

// release counts a task as no longer active.
func (r *Runner) release(t *task) {
	w := r.worker
	w.used = w.used.Minus(t.Needs)
	w.addUsage(t.Kind, -t.Needs.CPU)
	r.sharing.areBoundsOutdated = true
	r.settleCharge(r.now, t)
	if w.contained.id == t.job() {
		w.contained.runs--
		if w.contained.runs == 0 {
			w.contained = containedJob{}
		}
	}
	r.endIsolation(t)
}

// expireContained ends the isolation of a contained job after suspectTime.
func (r *Runner) expireContained(now time.Time) {
	if c := &r.worker.contained; c.isIsolated && now.Sub(c.began) > suspectTime {
		c.isIsolated = false
		r.markLoadDue()
	}
}

// wasIsolated reports whether a task belongs to the contained job that was isolated when the worker crashed.
func (i *incarnation) wasIsolated(t *task, crashedAt time.Time) bool {
	return i.contained.id == t.job() && crashedAt.Sub(i.contained.began) <= suspectTime
}
