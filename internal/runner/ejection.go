// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/ejection"
)

// Outlier ejection
//
// Inputs: how the runs of all entries go (judge.go); when the worker crashes or ceases to answer.
// Rule: package ejection decides when the worker is ejected and when probes are due. A start on an ejected worker is rejected at once, unless it
// uses a probe (probe.go) or says that it ignores the ejection; what waits in the queue goes back, and reservations and offers are dropped.
// Reason: the agent sees the starts of all entries. Each of them alone would send its share of tasks to a worker that fails, which is free
// again at once and so gets what waits at all of them.
//
// The state outlives an incarnation of the worker that crashed, so that one that goes down again and again is found. It ends with the
// agent: the next process takes the worker for one in service, and ejects it after three failed jobs.

// ejectionState is what the runner keeps for the ejection of its worker, over all incarnations. The zero value is that of a worker in service.
type ejectionState struct {
	detector ejection.Detector
	// isAnnounced is set while what entries were told last is that the worker is ejected.
	isAnnounced bool
	// kindRates are the shares of the runs of each kind that fail elsewhere, as entries told them last.
	kindRates map[string]float64
}

// isEjected reports whether the worker gets no tasks but probes.
func (r *Runner) isEjected() bool { return r.ejection.detector.IsEjected() }

// observeIncarnationEnd tells the detector how an incarnation of the worker ended. A crash beside a task that is known to crash workers says
// nothing of the worker.
func (r *Runner) observeIncarnationEnd(now time.Time, ended *incarnation, isCrash bool) {
	switch {
	case r.limits.NoEjection:
	case !isCrash:
		r.ejection.detector.Replaced()
	case ended.suspect == nil && !ended.contained.isIsolated && !ended.wasUnresponsive:
		r.ejection.detector.WentDown(now)
	}
}

// ejectedReason returns why a start of a session is rejected on an ejected worker, or "" if it is not.
func (r *Runner) ejectedReason(id SessionID, t Task) string {
	if !r.isEjected() || t.IgnoresEjection || r.isProbeOf(id, t.Offer) {
		return ""
	}
	return reasonEjected
}

// updateEjection applies the time that has passed.
func (r *Runner) updateEjection(now time.Time) {
	if r.limits.NoEjection {
		return
	}
	r.observeOverdue(now)
	r.noteUnresponsive(now)
	r.ejection.detector.Advance(now, r.hasProbeRun() || r.refusalReason(now) != "")
}

// noteUnresponsive tells the detector that the worker has ceased to answer. If it turns out to have crashed, that does not count again.
func (r *Runner) noteUnresponsive(now time.Time) {
	isUnresponsive := r.worker.isUnresponsive(now)
	if isUnresponsive && !r.worker.wasUnresponsive {
		r.ejection.detector.WentDown(now)
	}
	r.worker.wasUnresponsive = isUnresponsive
}

// applyEjection applies a change of whether the worker is ejected, and offers the probes that are due.
func (r *Runner) applyEjection(now time.Time) {
	isEjected := r.isEjected()
	if isEjected != r.ejection.isAnnounced {
		r.ejection.isAnnounced = isEjected
		r.ejectionChanged(now, isEjected)
	}
	if !isEjected {
		return
	}
	r.rejectQueued(reasonEjected, func(t *task) bool { return !t.IgnoresEjection && !t.isProbe })
	if !r.ejection.detector.IsProbing() {
		r.withdrawProbes()
		return
	}
	r.offerProbes(now)
}

// ejectionChanged tells the entries and the log that the worker was ejected or is in service again.
func (r *Runner) ejectionChanged(now time.Time, isEjected bool) {
	for _, s := range r.sessionsInOrder() {
		s.loadDue, s.ownLoadDue = true, true
	}
	at, reason, kinds := r.ejection.detector.Ejection()
	if !isEjected {
		r.clearProbes()
		r.emit(WorkerRestored{After: now.Sub(at)})
		return
	}
	r.dropAllReservations()
	r.emit(WorkerEjected{Reason: reason, FailureRate: r.health.failureRate(), Kinds: kinds})
}
