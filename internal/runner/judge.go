// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/ejection"
	"sailhead/internal/timing"
	"sailhead/internal/worker"
)

// How runs go, for the ejection
//
// Inputs: how the runs and starts of all entries end, which share of the runs of their kinds fails elsewhere, as entries tell it; runs that
// take far longer than expected.
// Rule: each run is judged once, when it ends or is overdue. Runs that are there when the worker is ejected go on, but for those that are
// overdue, which are stopped to run elsewhere unless their kind is so everywhere.
// Reason: on a worker on which runs hang nothing ends.

// observe tells the detector how a run or a start went.
func (r *Runner) observe(now time.Time, t *task, end ejection.End) {
	if r.limits.NoEjection || t.isJudged {
		return
	}
	t.isJudged = true
	rate := r.kindRate(t)
	if t.isProbe {
		r.emit(ProbeEnded{RunID: t.id(), Kind: t.Kind, IsDone: end == ejection.EndDone})
	}
	r.ejection.detector.Observe(now, ejection.Run{Job: t.job(), Kind: t.Kind, End: end, KindFailureRate: rate, Epoch: t.epoch})
}

// noteKindRate remembers which share of the runs of a kind goes wrong elsewhere.
func (r *Runner) noteKindRate(t Task) {
	if t.Kind == "" || r.limits.NoEjection {
		return
	}
	if r.ejection.kindRates == nil {
		r.ejection.kindRates = make(map[string]float64)
	}
	r.ejection.kindRates[t.Kind] = t.KindFailureRate
}

// kindRate returns which share of the runs of the task's kind goes wrong elsewhere.
func (r *Runner) kindRate(t *task) float64 {
	return max(t.KindFailureRate, r.ejection.kindRates[t.Kind])
}

// observeEnd tells the detector of a run that has ended.
func (r *Runner) observeEnd(now time.Time, t *task, ending worker.Ending) {
	switch ending {
	case worker.EndingDone:
		r.observe(now, t, ejection.EndDone)
	case worker.EndingFailed:
		r.observe(now, t, ejection.EndFailed)
	}
}

// observeRejected tells the detector that the worker rejected a start as unhealthy.
func (r *Runner) observeRejected(now time.Time, t *task) {
	r.observe(now, t, ejection.EndRejected)
}

// observeNotBegun tells the detector that a start which was not answered has not begun a run. One to a worker that did not respond tells nothing
// of how it runs tasks.
func (r *Runner) observeNotBegun(now time.Time, t *task) {
	if now.Sub(t.began) < timing.WorkerUnresponsiveAfter {
		r.observe(now, t, ejection.EndRejected)
	}
	t.isProbe = false
}

// observeOverdue tells the detector of the runs that last far longer than expected, and stops those on an ejected worker, so that they run
// elsewhere.
func (r *Runner) observeOverdue(now time.Time) {
	for _, t := range r.active() {
		if !r.isOverdue(t) {
			continue
		}
		r.observe(now, t, ejection.EndOverdue)
		isWorkerFault := r.kindRate(t) < ejection.MaxProbeRate
		if r.isEjected() && isWorkerFault && !t.IgnoresEjection && !r.worker.isUnresponsive(now) {
			r.beginStop(now, t)
		}
	}
}

// isOverdue reports whether a task is running and overdue, by the worker's clock. An estimate that rests on a guess alone judges probes only.
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

// observeStop tells the detector of a probe that its entry stops: it has failed if it is overdue, and else tells nothing.
func (r *Runner) observeStop(now time.Time, t *task) {
	if t.isProbe && r.isOverdue(t) {
		r.observe(now, t, ejection.EndOverdue)
	}
}
