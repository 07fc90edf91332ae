// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/ejection"
)

// Outlier ejection
//
// Inputs: the outcomes of the runs of all entries (judge.go), and when the worker crashes or stops answering.
// Rule: package ejection decides when the worker is ejected and when probes are due. A start on an ejected worker is
// rejected at once, unless it uses a probe (probe.go) or is marked to ignore the ejection. Queued tasks are returned to
// their entries, and reservations and offers are dropped.
// Reason: only the agent sees the starts of all entries. Each entry alone would keep sending its share of tasks to a
// failing worker, which becomes free again quickly and would so attract the waiting tasks of every entry.
//
// The state is kept when an incarnation of the worker crashes, so that a worker that crashes repeatedly is detected. It
// is lost when the agent ends: the next agent process assumes that the worker is in service, and ejects it after three
// failed jobs.

// ejectionState is the ejection state of the worker across its incarnations. The zero value is that of a worker in
// service.
type ejectionState struct {
	detector ejection.Detector
	// isAnnounced is set if the latest state sent to the entries is that the worker is ejected.
	isAnnounced bool
	// kindRates are the failure rates of each kind on other workers, as entries last reported them.
	kindRates map[string]float64
}

// isEjected reports whether the worker gets no tasks except probes.
func (r *Runner) isEjected() bool { return r.ejection.detector.IsEjected() }

// observeIncarnationEnd passes the end of an incarnation to the detector. A crash while a task known to crash workers
// was isolated is not evidence against the worker, and a worker that had stopped answering was already counted.
func (r *Runner) observeIncarnationEnd(now time.Time, ended *incarnation, isCrash bool) {
	switch {
	case r.limits.NoEjection:
	case !isCrash:
		r.ejection.detector.Replaced()
	case ended.suspect == nil && !ended.contained.isIsolated && !ended.wasUnresponsive:
		r.ejection.detector.WentDown(now)
	}
}

// ejectedReason returns the reason for rejecting a start on an ejected worker, or "" if the start is not rejected.
func (r *Runner) ejectedReason(id SessionID, t Task) string {
	if !r.isEjected() || t.IgnoresEjection || r.isProbeOf(id, t.Offer) {
		return ""
	}
	return reasonEjected
}

// updateEjection advances the detector to the current time.
func (r *Runner) updateEjection(now time.Time) {
	if r.limits.NoEjection {
		return
	}
	r.observeOverdue(now)
	r.observeUnresponsive(now)
	r.ejection.detector.Advance(now, r.hasProbeRun() || r.rejectionReason(now) != "")
}

// observeUnresponsive reports to the detector that the worker has stopped answering. If the worker turns out to have
// crashed, it is not counted again.
func (r *Runner) observeUnresponsive(now time.Time) {
	isUnresponsive := r.worker.isUnresponsive(now)
	if isUnresponsive && !r.worker.wasUnresponsive {
		r.ejection.detector.WentDown(now)
	}
	r.worker.wasUnresponsive = isUnresponsive
}

// applyEjection applies a change of the ejection state and offers the probes that are due.
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

// ejectionChanged announces to the entries, and logs, that the worker was ejected or is in service again.
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
