// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"cmp"
	"time"

	"sailhead/internal/ejection"
)

// Probes of an ejected worker
//
// Inputs: how many probes are due (package ejection), the sessions, and which of them have recently sent starts or left
// probes unused.
// Rule: a probe is offered to one entry at a time, first to those that have sent starts most recently. An entry that
// left a probe unused comes after the others, and gets its next one no sooner than ProbeOfferTime after the previous
// offer. The first start that uses the offer is the probe.
// Reason: entries have the tasks and know which of them may fail. Without the pause, an entry that returns probes at
// once would be offered one after another.

const (
	// ProbeOfferTime is how long an entry may use a probe. A busy entry has a job for it within that time.
	ProbeOfferTime = 100 * time.Millisecond
	// probeMargin is how much longer an agent waits for the answer: two round trips over a busy link.
	probeMargin = 50 * time.Millisecond
	// unusedProbePenalty is how long an entry that left a probe unused comes after those that did not.
	unusedProbePenalty = time.Second
)

// isProbeOf reports whether an offer is a probe offered to the given session.
func (r *Runner) isProbeOf(id SessionID, offer OfferID) bool {
	o, ok := r.offers[offer]
	return ok && o.isProbe && o.session == id
}

// useProbe makes a task a probe if it uses the offer of one. No other task can use the offer after that.
func (r *Runner) useProbe(t *task) {
	if r.isProbeOf(t.session, t.Offer) {
		t.isProbe = r.isEjected()
		r.endOffer(t.Offer)
	}
}

// withdrawProbes ends the offers of unused probes after a probe has failed.
func (r *Runner) withdrawProbes() {
	for id, o := range r.offers {
		if o.isProbe {
			r.endOffer(id)
		}
	}
}

// countProbes returns the number of probes that are offered, waiting to start, or have run for less than
// ejection.MaxProbeTime.
func (r *Runner) countProbes(now time.Time) int {
	count := 0
	for _, o := range r.offers {
		if o.isProbe {
			count++
		}
	}
	for _, t := range r.tasks {
		isNew := t.state == stateQueued || now.Sub(t.startEmittedAt) < ejection.MaxProbeTime
		if t.isPendingProbe() && isNew {
			count++
		}
	}
	return count
}

// isPendingProbe reports whether a task is a probe without a result.
func (t *task) isPendingProbe() bool { return t.isProbe && !t.isObserved }

// clearProbes turns the remaining probes into ordinary tasks when the worker is in service again.
func (r *Runner) clearProbes() {
	for _, t := range r.tasks {
		t.isProbe = false
	}
}

// hasProbeRun reports whether a probe without a result is queued or active. The worker is then renewed often, so that
// the progress of the run shows soon whether it hangs.
func (r *Runner) hasProbeRun() bool {
	if !r.isEjected() {
		return false
	}
	for _, t := range r.tasks {
		if t.isPendingProbe() {
			return true
		}
	}
	return false
}

// offerProbes offers the probes that are due.
func (r *Runner) offerProbes(now time.Time) {
	if r.rejectionReason(now) != "" || now.Before(r.worker.fullUntil) || r.free().CPU <= 0 {
		return
	}
	for range r.ejection.detector.AvailableProbes(r.countProbes(now)) {
		s := r.nextProbeSession(now)
		if s == nil {
			return
		}
		r.offerProbe(now, s)
	}
}

// nextProbeSession returns the session that gets the next probe, or nil if none may.
func (r *Runner) nextProbeSession(now time.Time) *session {
	var best *session
	for _, s := range r.sessionsInOrder() {
		if r.mayOffer(now, s.id) && !r.hasProbe(s.id) && !s.justLeftProbeUnused(now) && (best == nil || s.compareProbeOrder(best, now) < 0) {
			best = s
		}
	}
	return best
}

// hasProbe reports whether a session has an unanswered probe offer.
func (r *Runner) hasProbe(id SessionID) bool {
	for _, o := range r.offers {
		if o.isProbe && o.session == id {
			return true
		}
	}
	return false
}

// compareProbeOrder compares two sessions by the order in which they get probes: first those that have not recently
// left one unused, the latest start first, then the others, the one that left its probe first.
func (s *session) compareProbeOrder(other *session, now time.Time) int {
	if order := trueFirst(!s.leftProbeUnused(now), !other.leftProbeUnused(now)); order != 0 {
		return order
	}
	if s.leftProbeUnused(now) {
		return s.probeUnusedAt.Compare(other.probeUnusedAt)
	}
	return cmp.Or(other.lastStart.Compare(s.lastStart), cmp.Compare(s.id, other.id))
}

// leftProbeUnused reports whether the entry has recently left a probe unused.
func (s *session) leftProbeUnused(now time.Time) bool {
	return !s.probeUnusedAt.IsZero() && now.Sub(s.probeUnusedAt) < unusedProbePenalty
}

// justLeftProbeUnused reports whether the entry has returned its latest probe unused before the time to use it was
// over: it has no task for a probe at present, or runs an older version.
func (s *session) justLeftProbeUnused(now time.Time) bool {
	isLatest := !s.probeUnusedAt.Before(s.probeOfferedAt)
	return s.leftProbeUnused(now) && isLatest && now.Sub(s.probeOfferedAt) < ProbeOfferTime
}

// offerProbe offers a probe to a session. It reserves no resources, because nothing else is started on an ejected
// worker.
func (r *Runner) offerProbe(now time.Time, s *session) {
	s.probeOfferedAt = now
	r.lastOffer++
	r.offers[r.lastOffer] = &offer{session: s.id, isProbe: true, expires: now.Add(ProbeOfferTime + probeMargin)}
	r.emit(SendOffer{Session: s.id, Offer: Offer{ID: r.lastOffer, Resources: r.free(), IsProbe: true}})
}

// recordUnusedProbe records that a session has left a probe unused.
func (r *Runner) recordUnusedProbe(now time.Time, o *offer) {
	if s, ok := r.sessions[o.session]; ok && o.isProbe {
		s.probeUnusedAt = now
	}
}

// expireProbes ends the probe offers that were not answered in time.
func (r *Runner) expireProbes(now time.Time) {
	for id, o := range r.offers {
		if o.isProbe && now.After(o.expires) {
			r.recordUnusedProbe(now, o)
			r.endOffer(id)
		}
	}
}
