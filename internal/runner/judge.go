// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/ejection"
	"sailhead/internal/timing"
	"sailhead/internal/worker"
)

// Outcomes of runs for outlier ejection
//
// Inputs: the outcomes of the runs and starts of all entries, the failure rates of their kinds elsewhere as reported by
// entries, and runs that take far longer than expected.
// Rule: each run is counted once, when it ends or becomes overdue. Runs that are active when the worker is ejected
// continue, except overdue ones, which are stopped and run elsewhere, unless runs of their kind often fail on other
// workers as well.
// Reason: on a worker on which runs hang, no run ends, so ends alone would not show it.

// observe passes the outcome of a run or a start to the detector.
func (r *Runner) observe(now time.Time, t *task, end ejection.End) {
	if r.limits.NoEjection || t.isObserved {
		return
	}
	t.isObserved = true
	rate := r.kindRate(t)
	if t.isProbe {
		r.emit(ProbeEnded{RunID: t.id(), Kind: t.Kind, IsDone: end == ejection.EndDone})
	}
	r.ejection.detector.Observe(now, ejection.Run{Job: t.job(), Kind: t.Kind, End: end, KindFailureRate: rate, Epoch: t.epoch})
}

// storeKindRate stores the failure rate of a kind on other workers.
func (r *Runner) storeKindRate(t Task) {
	if t.Kind == "" || r.limits.NoEjection {
		return
	}
	if r.ejection.kindRates == nil {
		r.ejection.kindRates = make(map[string]float64)
	}
	r.ejection.kindRates[t.Kind] = t.KindFailureRate
}

// kindRate returns the failure rate of the task's kind on other workers.
func (r *Runner) kindRate(t *task) float64 {
	return max(t.KindFailureRate, r.ejection.kindRates[t.Kind])
}

// observeEnd passes the end of a run to the detector.
func (r *Runner) observeEnd(now time.Time, t *task, ending worker.Ending) {
	switch ending {
	case worker.EndingDone:
		r.observe(now, t, ejection.EndDone)
	case worker.EndingFailed:
		r.observe(now, t, ejection.EndFailed)
	}
}

// observeRejected reports to the detector that the worker rejected a start as unhealthy.
func (r *Runner) observeRejected(now time.Time, t *task) {
	r.observe(now, t, ejection.EndRejected)
}

// observeNotBegun reports to the detector that an unanswered start has not begun a run. A start on a worker that was
// unresponsive is not counted, because it does not show how the worker runs tasks.
func (r *Runner) observeNotBegun(now time.Time, t *task) {
	if now.Sub(t.startEmittedAt) < timing.WorkerUnresponsiveAfter {
		r.observe(now, t, ejection.EndRejected)
	}
	t.isProbe = false
}

// observeOverdue passes overdue runs to the detector, and stops those on an ejected worker so that they run elsewhere.
func (r *Runner) observeOverdue(now time.Time) {
	for _, t := range r.active() {
		if !r.isOverdue(t) {
			continue
		}
		r.observe(now, t, ejection.EndOverdue)
		isWorkerFault := r.kindRate(t) < ejection.MaxProbeFailureRate
		if r.isEjected() && isWorkerFault && !t.IgnoresEjection && !r.worker.isUnresponsive(now) {
			r.beginStop(now, t, r.extendableUntil(t))
		}
	}
}

// isOverdue reports whether a task is running and overdue by the worker's clock. The caller's estimate is used for
// probes only.
func (r *Runner) isOverdue(t *task) bool {
	if t.state != stateRunning || t.acceptedAt == 0 {
		return false
	}
	usual := t.Expected
	if t.isProbe {
		usual = max(usual, t.Estimate)
	}
	progress := ejection.Progress{Elapsed: t.listedAt - t.acceptedAt, Percent: t.progress, IsKnown: r.worker.reportsProgress}
	return ejection.IsOverdue(progress, time.Duration(r.speed.timeFactor()*float64(usual)), t.isProbe)
}

// observeStop reports to the detector a probe that its entry stops. An overdue probe has failed; any other shows
// nothing.
func (r *Runner) observeStop(now time.Time, t *task) {
	if t.isProbe && r.isOverdue(t) {
		r.observe(now, t, ejection.EndOverdue)
	}
}
