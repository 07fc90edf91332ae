// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"slices"
	"time"

	"sailhead/internal/metric"
	"sailhead/internal/native/model"
	"sailhead/internal/native/owner"
	"sailhead/internal/native/ownership"
	"sailhead/internal/native/peer"
	"sailhead/internal/timeline"
)

// How often and how long an entry forwards a submission for one request. The inputs are the job's deadline and the
// result of each forward; where the job goes is decided by ownership.Forwarder.
//
//   - answered: the answer goes to the caller;
//   - no byte was sent, or the owner declined the key for good and names no other owner: again, without this owner. If an
//     earlier forward may have reached it, the answer is failed instead;
//   - the owner declined and names another: again, to that one;
//   - the owner refused, as its roster differs: again, after an exchange of gossip;
//   - the connection broke, so the owner may have the job: again, to the same owner, which knows the key.
//
// It ends after maxForwards, or answerGrace after the deadline. The answer is failed then, may have run.
const (
	// forwardInterval is the time between two forwards of one request.
	forwardInterval = 20 * time.Millisecond
	// maxForwards is the largest number of forwards of one request.
	maxForwards = 12
	// answerGrace is how long after the deadline an entry waits for the owner's answer.
	answerGrace = 300 * time.Millisecond
)

// waitUntil returns when an entry stops waiting for an answer. A job whose deadline has passed may have an answer at its
// owner, so it gets answerGrace too.
func waitUntil(job model.Job) time.Time {
	until := job.Deadline
	if now := time.Now(); until.Before(now) {
		until = now
	}
	return until.Add(answerGrace)
}

// forwarding is one request's way to an answer.
type forwarding struct {
	entry    *Entry
	job      model.Job
	mayRelay bool
	// avoid lists the members that are not tried again.
	avoid []ownership.MemberID
	// answer is nil until the job is answered.
	answer model.Answer
	// reason is why the latest forward brought no answer.
	reason string
}

// run forwards the job until there is an answer.
func (f *forwarding) run(ctx context.Context) model.Answer {
	for range maxForwards {
		f.routeOnce(ctx)
		if f.answer != nil {
			return f.answer
		}
		if sleep(ctx, forwardInterval) != nil {
			return model.Failed{Reason: "the deadline passed without an answer of the owner", MayHaveRun: true, TimedOut: true}
		}
	}
	return model.Failed{Reason: f.reason, MayHaveRun: true}
}

// routeOnce sends the job to where it is routed now. If that brings no answer, the job has to be routed again.
func (f *forwarding) routeOnce(ctx context.Context) {
	e := f.entry
	e.mu.Lock()
	route := e.forwarder.Route(time.Now(), f.job.Key, f.avoid, e.liveness.Suspects())
	epoch := e.forwarder.Roster().Epoch
	e.mu.Unlock()
	switch r := route.(type) {
	case ownership.ForwardTo:
		f.forwardTo(ctx, r.Owner, epoch)
	case ownership.RelayThrough:
		f.relay(ctx, r.Entry)
	case ownership.NoRoute:
		f.answer = model.Failed{Reason: r.Reason, MayHaveRun: true}
	}
}

// forwardTo hands the job to an owner and records the result.
func (f *forwarding) forwardTo(ctx context.Context, to ownership.Member, epoch uint64) {
	e := f.entry
	e.record(timeline.JobForwarded, f.job, to.Name)
	e.metrics.Add(metric.MessagesNeeded, messagesPerCall)
	stopProbing := e.probeWhileUnresponsive(ctx, to, func() {
		e.record(timeline.OwnerSilent, f.job, to.Name)
	})
	under := peer.Versions{Epoch: epoch, Configuration: e.state.Configuration().Version}
	response, err := e.client.Submit(ctx, e.self, to, under, f.job)
	stopProbing()
	if err != nil {
		f.handleError(to, err)
		return
	}
	e.liveness.Heard(to.ID)
	switch r := response.(type) {
	case owner.Answered:
		e.recordForward(f.job.Key, to.ID, ownership.Taken{})
		f.answer = r.Answer
	case owner.Declined:
		e.recordForward(f.job.Key, to.ID, ownership.Declined{BoundTo: r.BoundTo})
		f.reason = r.Reason
		f.declined(to.ID, r.BoundTo)
	case owner.Refused:
		e.recordForward(f.job.Key, to.ID, ownership.Refused{})
		f.reason = r.Reason
		e.metrics.Add(metric.MessagesWasted, messagesPerCall)
		e.exchangeWith(ctx, to.Address)
	}
}

// declined decides whether an owner that declined the key is asked again. boundTo is the owner that may run the key, empty
// if none is known.
//
// Rule: the owner is avoided, unless it names another one that has not declined the key to this request.
//
// Reason: the owner that it names may answer for the key. If that one has declined too, each of them would send the request
// to the other until maxForwards, and the next choice would never be asked.
func (f *forwarding) declined(owner, boundTo ownership.MemberID) {
	if boundTo == "" || slices.Contains(f.avoid, boundTo) {
		f.avoid = append(f.avoid, owner)
	}
}

// handleError records a forward without a response.
func (f *forwarding) handleError(to ownership.Member, err error) {
	f.reason = err.Error()
	if peer.IsNotSent(err) {
		f.entry.recordForward(f.job.Key, to.ID, ownership.NotSent{})
		f.avoid = append(f.avoid, to.ID)
		return
	}
	f.entry.metrics.Add(metric.ForwardsLost, 1)
	f.entry.recordForward(f.job.Key, to.ID, ownership.Unconfirmed{})
}

// recordForward records the result of a forward in the bindings.
func (e *Entry) recordForward(key model.Key, to ownership.MemberID, fate ownership.ForwardResult) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forwarder.Record(key, to, fate)
}

// relay sends the job through another entry, which may forward it where this one may not yet.
func (f *forwarding) relay(ctx context.Context, through ownership.Member) {
	e := f.entry
	if !f.mayRelay {
		f.answer = model.Failed{Reason: "no entry may forward the submission", MayHaveRun: true}
		return
	}
	e.record(timeline.JobRelayed, f.job, through.Name)
	e.metrics.Add(metric.Relays, 1)
	e.metrics.Add(metric.MessagesWasted, messagesPerCall)
	answer, err := e.client.Relay(ctx, e.self.ID, through, f.job)
	if err != nil {
		f.reason = err.Error()
		f.avoid = append(f.avoid, through.ID)
		return
	}
	f.answer = answer
}
