// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"cmp"
	"time"

	"sailhead/internal/ejection"
	"sailhead/internal/timing"
	"sailhead/internal/worker"
)

// Outlier ejection
//
// Inputs: how the runs and starts of all entries end, which share of the runs of their kinds fails elsewhere, as entries tell it; runs that take
// far longer than expected; when the worker crashes or ceases to answer.
// Rule: package ejection decides when the worker is ejected and when probes are due. A start on an ejected worker is rejected at once, unless it
// uses a probe or says that it ignores the ejection; what waits in the queue goes back, and reservations and offers are dropped. A probe is
// offered to one entry at a time, those first that have sent starts lately; one that leaves it unused has its next turn after the others.
// Runs that were there before go on, but for those that are overdue, which are stopped to run elsewhere unless their kind is so everywhere.
// Reason: the agent sees the starts of all entries. Each of them alone would send its share of tasks to a worker that fails, which is free
// again at once and so gets what waits at all of them.
//
// The state outlives an incarnation of the worker that crashed, so that one that goes down again and again is found. It ends with the
// agent: the next process takes the worker for one in service, and ejects it after three failed jobs.

const (
	// ProbeOfferTime is for how long an entry may use a probe: a busy entry has a job for it in that time.
	ProbeOfferTime = 100 * time.Millisecond
	// probeMargin is how much longer an agent waits for the answer: two round trips over a busy link.
	probeMargin = 50 * time.Millisecond
	// unusedProbeTime is how long an entry that left a probe unused has its turn after those that did not.
	unusedProbeTime = time.Second
)

// ejectionState is what the runner keeps for the ejection of its worker, over all incarnations. The zero value is that of a worker in service.
type ejectionState struct {
	detector ejection.Detector
	// isTold is set while entries were told last that the worker is ejected.
	isTold bool
	// kindRates are the shares of the runs of each kind that fail elsewhere, as entries told them last.
	kindRates map[string]float64
}

// isEjected reports whether the worker gets no tasks but probes.
func (r *Runner) isEjected() bool { return r.ejection.detector.IsEjected() }

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

// observeOverdue tells the detector of the runs that last far longer than expected, and stops those on an ejected worker, so that they run elsewhere.
func (r *Runner) observeOverdue(now time.Time) {
	for _, t := range r.active() {
		if !r.isOverdue(t) {
			continue
		}
		r.observe(now, t, ejection.EndOverdue)
		isOfWorker := r.kindRate(t) < ejection.MaxProbeRate
		if r.isEjected() && isOfWorker && !t.IgnoresEjection && !r.worker.isUnresponsive(now) {
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
	progress := ejection.Progress{Elapsed: t.listedAt - t.acceptedAt, Percent: t.progress, IsKnown: r.worker.tellsProgress}
	return ejection.IsOverdue(progress, time.Duration(r.speed.timeFactor()*float64(usual)), t.isProbe)
}

// observeStop tells the detector of a probe that its entry stops: it has failed if it is overdue, and else tells nothing.
func (r *Runner) observeStop(now time.Time, t *task) {
	if t.isProbe && r.isOverdue(t) {
		r.observe(now, t, ejection.EndOverdue)
	}
}

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

// ejectedReason returns why a start of a session is rejected on an ejected worker, or "" if it is not.
func (r *Runner) ejectedReason(id SessionID, t Task) string {
	if !r.isEjected() || t.IgnoresEjection || r.isProbeOf(id, t.Offer) {
		return ""
	}
	return reasonEjected
}

// isProbeOf reports whether an offer is a probe that was offered to a session.
func (r *Runner) isProbeOf(id SessionID, offer OfferID) bool {
	o, ok := r.offers[offer]
	return ok && o.isProbe && o.session == id
}

// useProbe makes a task a probe if it was sent for one. Another task cannot use it any more.
func (r *Runner) useProbe(t *task) {
	if r.isProbeOf(t.session, t.Offer) {
		t.isProbe = r.isEjected()
		r.endOffer(t.Offer)
	}
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
	is := r.worker.isUnresponsive(now)
	if is && !r.worker.wasUnresponsive {
		r.ejection.detector.WentDown(now)
	}
	r.worker.wasUnresponsive = is
}

// applyEjection applies a change of whether the worker is ejected, and offers the probes that are due.
func (r *Runner) applyEjection(now time.Time) {
	if is := r.isEjected(); is != r.ejection.isTold {
		r.ejection.isTold = is
		r.ejectionChanged(now, is)
	}
	if !r.isEjected() {
		return
	}
	r.rejectQueued(reasonEjected, func(t *task) bool { return !t.IgnoresEjection && !t.isProbe })
	if !r.ejection.detector.IsProbing() {
		r.endProbes()
		return
	}
	r.offerProbes(now)
}

// endProbes takes back the probes that no task has used, as one of them has failed.
func (r *Runner) endProbes() {
	for id, o := range r.offers {
		if o.isProbe {
			r.endOffer(id)
		}
	}
}

// ejectionChanged tells the entries and the log that the worker was ejected or is in service again.
func (r *Runner) ejectionChanged(now time.Time, isEjected bool) {
	for _, s := range r.sessionsInOrder() {
		s.loadDue, s.ownLoadDue = true, true
	}
	at, reason, kinds := r.ejection.detector.Ejection()
	if !isEjected {
		r.emit(WorkerRestored{After: now.Sub(at)})
		return
	}
	r.dropAllReservations()
	r.emit(WorkerEjected{Reason: reason, FailureRate: r.health.failureRate(), Kinds: kinds})
}

// countProbes returns how many probes are offered, wait for their start or have run for less than ejection.ProbeTime.
func (r *Runner) countProbes(now time.Time) int {
	count := 0
	for _, o := range r.offers {
		if o.isProbe {
			count++
		}
	}
	for _, t := range r.tasks {
		isNew := t.state == stateQueued || now.Sub(t.began) < ejection.ProbeTime
		if t.isOpenProbe() && isNew {
			count++
		}
	}
	return count
}

// isOpenProbe reports whether a task is a probe that has not shown how the worker is.
func (t *task) isOpenProbe() bool { return t.isProbe && !t.isJudged }

// hasProbeRun reports whether a probe runs: its progress is to show soon whether it hangs.
func (r *Runner) hasProbeRun() bool {
	if !r.isEjected() {
		return false
	}
	for _, t := range r.tasks {
		if t.isOpenProbe() {
			return true
		}
	}
	return false
}

// offerProbes offers the probes that are due.
func (r *Runner) offerProbes(now time.Time) {
	if r.refusalReason(now) != "" || now.Before(r.worker.fullUntil) || r.free().CPU <= 0 {
		return
	}
	for range r.ejection.detector.MissingProbes(r.countProbes(now)) {
		s := r.nextProbeSession(now)
		if s == nil {
			return
		}
		r.offerProbe(now, s)
	}
}

// nextProbeSession returns the session whose turn it is to get a probe, or nil if none may.
func (r *Runner) nextProbeSession(now time.Time) *session {
	var best *session
	for _, s := range r.sessionsInOrder() {
		if r.mayOffer(now, s.id) && !r.hasProbe(s.id) && (best == nil || s.compareProbe(best, now) < 0) {
			best = s
		}
	}
	return best
}

// hasProbe reports whether a session has a probe that it has not answered.
func (r *Runner) hasProbe(id SessionID) bool {
	for _, o := range r.offers {
		if o.isProbe && o.session == id {
			return true
		}
	}
	return false
}

// compareProbe returns the order in which two sessions get a probe: those first that have not left one unused lately, of these the one with the
// latest start, of the others the one that left it first.
func (s *session) compareProbe(other *session, now time.Time) int {
	if order := trueFirst(!s.hasLeftProbe(now), !other.hasLeftProbe(now)); order != 0 {
		return order
	}
	if s.hasLeftProbe(now) {
		return s.probeUnusedAt.Compare(other.probeUnusedAt)
	}
	return cmp.Or(other.lastStart.Compare(s.lastStart), cmp.Compare(s.id, other.id))
}

// hasLeftProbe reports whether the entry has left a probe unused lately.
func (s *session) hasLeftProbe(now time.Time) bool {
	return !s.probeUnusedAt.IsZero() && now.Sub(s.probeUnusedAt) < unusedProbeTime
}

// offerProbe offers a probe to a session. It keeps no resources, as nothing else is started on an ejected worker.
func (r *Runner) offerProbe(now time.Time, s *session) {
	r.lastOffer++
	r.offers[r.lastOffer] = &offer{session: s.id, isProbe: true, expires: now.Add(ProbeOfferTime + probeMargin)}
	r.emit(SendOffer{Session: s.id, Offer: Offer{ID: r.lastOffer, Resources: r.free(), IsProbe: true}})
}

// noteUnusedProbe notes that a session has left a probe unused.
func (r *Runner) noteUnusedProbe(now time.Time, o *offer) {
	if s, ok := r.sessions[o.session]; ok && o.isProbe {
		s.probeUnusedAt = now
	}
}

// expireProbes ends the probes that were not answered in time.
func (r *Runner) expireProbes(now time.Time) {
	for id, o := range r.offers {
		if o.isProbe && now.After(o.expires) {
			r.noteUnusedProbe(now, o)
			r.endOffer(id)
		}
	}
}
