// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"maps"
	"slices"
	"time"

	"sailhead/internal/shares"
	"sailhead/internal/worker"
)

// Reservations and offers
//
// Inputs: the reservations of all entries, the free resources of the worker, the answers of entries to offers.
// Rule: an entry that finds no free resources for a job reserves them at several agents. When resources become free,
// the agent offers them to the first reservation that fits, over all entries (shares.go, Urgency.Compare). The entry
// answers with starts that use the offer, of the same job or another job of the kind; the unused part of the offer is
// free again. A task that was sent without an offer is rejected while a reservation waits that precedes it.
// Reason: reservations are served in one order over all entries; without them the entry that asks most often would be
// served first. A task is assigned to a worker only when the worker has room, as it is not known which worker has room
// next. An offer costs a round trip to the entry, about 1 ms in which the resources are idle.

const (
	// minOfferTimeout and maxOfferTimeout bound the time for which offered resources are kept for an entry that does not answer. After that
	// the reservations of the session are skipped until the entry sends something.
	minOfferTimeout = 20 * time.Millisecond
	maxOfferTimeout = 100 * time.Millisecond
	// offerRoundTrips is the number of round trips of its session that an entry has to answer an offer. An offer that expires before its
	// answer arrives is worse than none: the start that uses it is rejected.
	offerRoundTrips = 2
	// maxReservations is the largest number of reservations of one session.
	maxReservations = 1024
)

// Reservation is a request for resources for the tasks of one job.
type Reservation struct {
	// Job is the ID of the job. A later reservation of the same session for the job replaces an earlier one.
	Job string
	// Needs are the resources of one task.
	Needs worker.Resources
	// Count is the number of tasks. Zero cancels the reservation.
	Count   int
	Urgency Urgency
	// Kind is the kind of the job, Estimate the estimated run time of a task, and Weight the weight of the kind in the shares of the worker,
	// where zero means 1.
	Kind     string
	Estimate time.Duration
	Weight   float64
}

// OfferID identifies an offer within one process of the agent. Zero means no offer.
type OfferID uint64

// Offer offers resources to an entry. They are kept for the entry until it answers or the offer expires.
type Offer struct {
	ID OfferID
	// Job is the job whose reservation the offer serves.
	Job string
	// Resources are the offered resources.
	Resources worker.Resources
	// Remaining is the number of tasks that remain in the reservation. If it is zero, the reservation has been removed.
	Remaining int
	// Kind is the kind of the reservation. Only jobs of this kind may use the offer. If it is empty, any job may.
	Kind string
	// IsProbe is set if the offer is for one task that shows whether an ejected worker has recovered. Such an offer serves no reservation.
	IsProbe bool
}

// reservation is a reservation of a session.
type reservation struct {
	Reservation
	session    SessionID
	competitor shares.Competitor
}

// offer is an offer without an answer.
type offer struct {
	session SessionID
	// unused are the offered resources that no start has used.
	unused worker.Resources
	// reservation is a copy of the reservation that the offer serves, made with the offer, or nil for a probe.
	reservation *reservation
	expires     time.Time
	// isProbe is set for a probe, which holds no resources.
	isProbe bool
}

// reserve adds, replaces or cancels a reservation.
func (r *Runner) reserve(e ReservationRequested) {
	s, ok := r.sessions[e.Session]
	if !ok {
		return
	}
	s.missedOffer = false
	s.ownLoadDue = true
	isSame := func(other *reservation) bool { return other.session == e.Session && other.Job == e.Reservation.Job }
	at := slices.IndexFunc(r.reservations, isSame)
	switch {
	case e.Reservation.Count <= 0 && at >= 0:
		r.reservations = slices.Delete(r.reservations, at, at+1)
		r.markLoadDue()
	case e.Reservation.Count <= 0:
	case at >= 0:
		r.reservations[at].Reservation = e.Reservation
		r.reservations[at].competitor = s.competitor(e.Reservation.Kind)
	case r.countReservations(e.Session) < maxReservations:
		r.recordArrival(r.now, e.Reservation.Kind, e.Reservation.Needs, e.Reservation.Estimate, e.Reservation.Urgency)
		added := &reservation{Reservation: e.Reservation, session: e.Session, competitor: s.competitor(e.Reservation.Kind)}
		r.reservations = append(r.reservations, added)
		r.markLoadDue()
	}
}

func (r *Runner) countReservations(id SessionID) int {
	count := 0
	for _, other := range r.reservations {
		if other.session == id {
			count++
		}
	}
	return count
}

// dropReservations removes the reservations and offers of a session that has ended.
func (r *Runner) dropReservations(id SessionID) {
	r.reservations = slices.DeleteFunc(r.reservations, func(other *reservation) bool { return other.session == id })
	for _, offerID := range r.offersInOrder() {
		if r.offers[offerID].session == id {
			r.endOffer(offerID)
		}
	}
	r.markLoadDue()
}

// dropAllReservations removes all reservations and offers, for example when the worker's incarnation has ended or the
// agent shuts down. Entries reserve again when they learn of the next incarnation.
func (r *Runner) dropAllReservations() {
	r.reservations = nil
	for _, id := range r.offersInOrder() {
		r.endOffer(id)
	}
	r.markLoadDue()
}

// offersInOrder returns the IDs of the offers in the order in which they were made. The charges for offers are summed as floating-point
// numbers, so the sum is reproducible only in a fixed order.
func (r *Runner) offersInOrder() []OfferID { return slices.Sorted(maps.Keys(r.offers)) }

// offerFreeResources offers the free resources to the reservations in their order of precedence.
func (r *Runner) offerFreeResources(now time.Time) {
	if len(r.reservations) == 0 || r.isEjected() || r.rejectionReason(now) != "" || now.Before(r.worker.fullUntil) {
		return
	}
	for {
		best := r.nextReservation(now)
		if best == nil {
			return
		}
		r.offer(now, best)
	}
}

// nextReservation returns the first reservation, in order of precedence, with a task that fits into the resources that are free for it, or
// nil.
func (r *Runner) nextReservation(now time.Time) *reservation {
	var best *reservation
	var first precedence
	free := r.free()
	for _, other := range r.reservations {
		if !other.Needs.Fits(free) || !r.fitsBesideHeadroom(now, free, other) || !r.mayOffer(now, other.session) {
			continue
		}
		if best != nil && first.isBelowShare && other.Urgency.Compare(first.urgency) >= 0 {
			// It cannot precede the best one, whatever its share is; this saves computing its precedence.
			continue
		}
		if p := r.precedenceOf(now, other.competitor, other.Urgency); best == nil || p.compare(first) < 0 {
			best, first = other, p
		}
	}
	return best
}

// mayOffer reports whether a session is valid and its entry has not left an offer unanswered since it last sent something.
func (r *Runner) mayOffer(now time.Time, id SessionID) bool {
	return r.isSessionValid(now, id) && !r.sessions[id].missedOffer
}

// offer offers resources for as many tasks of a reservation as fit.
func (r *Runner) offer(now time.Time, best *reservation) {
	count := best.Needs.Count(r.freeFor(now, best.Estimate), best.Count)
	best.Count -= count
	if best.Count == 0 {
		r.reservations = slices.DeleteFunc(r.reservations, func(other *reservation) bool { return other == best })
	}
	resources := best.Needs.Times(count)
	r.lastOffer++
	offered, expires := *best, now.Add(r.sessions[best.session].offerTimeout())
	r.offers[r.lastOffer] = &offer{session: best.session, unused: resources, reservation: &offered, expires: expires}
	r.offered = r.offered.Plus(resources)
	r.chargeOffer(now, best, resources, 1)
	r.markLoadDue()
	r.emit(SendOffer{Session: best.session, Offer: r.newOffer(best, resources)})
}

// newOffer returns the latest offer in the form in which it is sent to the entry. It names no kind if shares are disabled: any job may then
// use it.
func (r *Runner) newOffer(best *reservation, resources worker.Resources) Offer {
	o := Offer{ID: r.lastOffer, Job: best.Job, Resources: resources, Remaining: best.Count}
	if !r.limits.NoShares {
		o.Kind = best.Kind
	}
	return o
}

// offerTimeout returns how long resources are kept for the session's entry.
func (s *session) offerTimeout() time.Duration {
	return min(max(offerRoundTrips*s.roundTrip, minOfferTimeout), maxOfferTimeout)
}

// answerOffer releases the part of an offer that the starts of the session have not used.
func (r *Runner) answerOffer(now time.Time, e OfferAnswered) {
	if s, ok := r.sessions[e.Session]; ok {
		s.missedOffer = false
	}
	if o, ok := r.offers[e.Offer]; ok && o.session == e.Session {
		r.recordUnusedProbe(now, o)
		r.endOffer(e.Offer)
	}
}

// endOffer removes an offer and releases the unused part of it.
func (r *Runner) endOffer(id OfferID) {
	o := r.offers[id]
	r.offered = r.offered.Minus(o.unused)
	r.chargeOffer(r.now, o.reservation, o.unused, -1)
	delete(r.offers, id)
	r.markLoadDue()
}

// expireOffers ends the offers that were not answered in time.
func (r *Runner) expireOffers(now time.Time) {
	for _, id := range r.offersInOrder() {
		if o := r.offers[id]; !o.isProbe && now.After(o.expires) {
			r.sessions[o.session].missedOffer = true
			r.endOffer(id)
		}
	}
}

// useOffer takes the resources of a task from the offer that it was sent for. If the offer has ended or has too little
// left, it does nothing, and the task is treated like one without an offer.
func (r *Runner) useOffer(t *task) {
	o, ok := r.offers[t.Offer]
	if !ok || o.session != t.session || !t.Needs.Fits(o.unused) {
		return
	}
	o.unused = o.unused.Minus(t.Needs)
	r.offered = r.offered.Minus(t.Needs)
	r.chargeOffer(r.now, o.reservation, t.Needs, -1)
	t.hasOffer = true
}

// mustYield reports whether a task has to leave the free resources to a reservation that precedes it. A task with an offer, a repeated
// start and a probe never have to.
func (r *Runner) mustYield(now time.Time, t *task) bool {
	if t.hasOffer || t.isRequeued || t.isProbe {
		return false
	}
	best := r.nextReservation(now)
	return best != nil && r.precedenceOf(now, best.competitor, best.Urgency).compare(r.precedenceOf(now, t.competitor, t.Urgency)) < 0
}

// free returns the resources of the worker that are neither used nor offered. Its components can be negative after the
// worker has reduced its capacity.
func (r *Runner) free() worker.Resources {
	return r.worker.record.Capacity.Minus(r.worker.unavailable()).Minus(r.offered)
}
