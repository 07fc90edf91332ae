// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"sailhead/internal/metric"
	"sailhead/internal/native/configuration"
	"sailhead/internal/native/model"
	"sailhead/internal/native/owner"
	"sailhead/internal/native/ownership"
	"sailhead/internal/native/peer"
	"sailhead/internal/native/peer/peerpb"
	"sailhead/internal/timeline"
)

const (
	// answerGrace is how long after the deadline an entry waits for the owner's last word.
	answerGrace = 300 * time.Millisecond
	// retryPause lies between two forwards of one submission.
	retryPause = 20 * time.Millisecond
	// maxForwards bounds the forwards of one submission by one request.
	maxForwards = 12
)

// errStopping refuses a relay that arrives while the entry stops.
var errStopping = twirp.NewError(twirp.Unavailable, "the entry is stopping")

// Submit forwards a caller's job to its owner and returns the final answer.
func (e *Entry) Submit(job model.Job) model.Answer {
	e.open.Add(1)
	defer e.open.Add(-1)
	e.metrics.Add(metric.JobsReceived, 1)
	if job.Deadline.IsZero() {
		job.Deadline = clock().Add(e.defaultDeadline(job))
	}
	e.record(timeline.JobReceived, job, "")
	received := clock()
	answer := e.answer(job, true)
	if rejected, ok := answer.(model.Rejected); ok && rejected.Field == ownership.FieldDeadline && job.Deadline.After(received) {
		// The deadline lay ahead when the caller sent the job, so the request was not wrong.
		answer = model.Failed{Reason: "the deadline passed before the owner took the job", MayHaveRun: true, TimedOut: true}
	}
	e.metrics.Add(metric.JobsPrefix+model.Status(answer), 1)
	e.record(timeline.JobAnswered, job, model.Status(answer))
	return answer
}

// defaultDeadline is the deadline of the job's kind; the owner rejects a kind that is unknown.
func (e *Entry) defaultDeadline(job model.Job) time.Duration {
	if kind, _, ok := e.state.Configuration().Check(job); ok {
		return kind.Deadline
	}
	return configuration.DefaultDeadline
}

// answer checks the key's age and forwards the job until there is an answer.
func (e *Entry) answer(job model.Job, mayRelay bool) model.Answer {
	limits := e.limits(0)
	switch limits.AgeOf(job.Key, clock()) {
	case ownership.AgeExpired:
		return model.Failed{Reason: "the submission key is older than the window", MayHaveRun: true}
	case ownership.AgeFuture:
		return model.Rejected{Field: "submission", Reason: "the key was issued in the future"}
	case ownership.AgeAccepted:
	}
	ctx, cancel := context.WithDeadline(e.context, waitUntil(job))
	defer cancel()
	attempt := &attempt{entry: e, job: job, mayRelay: mayRelay}
	return attempt.run(ctx)
}

// waitUntil is when an entry stops waiting; a job that is late already may still have an answer to fetch.
func waitUntil(job model.Job) time.Time {
	until := job.Deadline
	if now := clock(); until.Before(now) {
		until = now
	}
	return until.Add(answerGrace)
}

// attempt is one request's way to an answer.
type attempt struct {
	entry    *Entry
	job      model.Job
	mayRelay bool
	avoid    []ownership.MemberID
	answer   model.Answer
	reason   string
}

func (a *attempt) run(ctx context.Context) model.Answer {
	for range maxForwards {
		a.step(ctx)
		if a.answer != nil {
			return a.answer
		}
		if sleep(ctx, retryPause) != nil {
			return model.Failed{Reason: "the deadline passed without an answer of the owner", MayHaveRun: true, TimedOut: true}
		}
	}
	return model.Failed{Reason: a.reason, MayHaveRun: true}
}

// step routes the job once; without an answer it is to be routed again.
func (a *attempt) step(ctx context.Context) {
	e := a.entry
	e.mu.Lock()
	route := e.forwarder.Route(clock(), a.job.Key, a.avoid, e.liveness.Suspects())
	epoch := e.forwarder.Roster().Epoch
	e.mu.Unlock()
	switch r := route.(type) {
	case ownership.ForwardTo:
		a.forward(ctx, r.Owner, epoch)
	case ownership.RelayThrough:
		a.relay(ctx, r.Entry)
	case ownership.NoRoute:
		a.answer = model.Failed{Reason: r.Reason, MayHaveRun: true}
	}
}

// forward hands the job to an owner and takes in what became of it.
func (a *attempt) forward(ctx context.Context, to ownership.Member, epoch uint64) {
	e := a.entry
	e.record(timeline.JobForwarded, a.job, to.Name)
	e.metrics.Add(metric.MessagesNeeded, 2)
	stopWatching := e.watch(ctx, to, func() {
		e.record(timeline.OwnerSilent, a.job, to.Name)
	})
	under := peer.Versions{Epoch: epoch, Configuration: e.state.Configuration().Version}
	response, err := e.client.Submit(ctx, e.self, to, under, a.job)
	stopWatching()
	if err != nil {
		a.forwardFailed(to, err)
		return
	}
	e.liveness.Heard(to.ID)
	switch r := response.(type) {
	case owner.Answered:
		e.settle(a.job.Key, to.ID, ownership.Taken{})
		a.answer = r.Answer
	case owner.Declined:
		e.settle(a.job.Key, to.ID, ownership.Declined{BoundTo: r.BoundTo})
		a.reason = r.Reason
		if r.BoundTo == "" {
			a.avoid = append(a.avoid, to.ID)
		}
	case owner.Refused:
		e.settle(a.job.Key, to.ID, ownership.Refused{})
		a.reason = r.Reason
		e.metrics.Add(metric.MessagesWasted, 2)
		_ = e.exchanger.ExchangeWith(ctx, to.Address)
	}
}

func (a *attempt) forwardFailed(to ownership.Member, err error) {
	a.reason = err.Error()
	if peer.IsNotSent(err) {
		a.entry.settle(a.job.Key, to.ID, ownership.NotSent{})
		a.avoid = append(a.avoid, to.ID)
		return
	}
	a.entry.metrics.Add(metric.ForwardsLost, 1)
	a.entry.settle(a.job.Key, to.ID, ownership.Unconfirmed{})
}

// settle records the fate of a forward.
func (e *Entry) settle(key model.Key, to ownership.MemberID, fate ownership.ForwardResult) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forwarder.Record(key, to, fate)
}

// relay sends the job through an entry that may forward it.
func (a *attempt) relay(ctx context.Context, through ownership.Member) {
	e := a.entry
	if !a.mayRelay {
		a.answer = model.Failed{Reason: "no entry may forward the submission", MayHaveRun: true}
		return
	}
	e.record(timeline.JobRelayed, a.job, through.Name)
	e.metrics.Add(metric.Relays, 1)
	e.metrics.Add(metric.MessagesWasted, 2)
	answer, err := e.client.Relay(ctx, e.self.ID, through, a.job)
	if err != nil {
		a.reason = err.Error()
		a.avoid = append(a.avoid, through.ID)
		return
	}
	a.answer = answer
}

// State returns the final answer to a submission, or whether it is under way.
func (e *Entry) State(key model.Key) (model.Answer, bool) {
	ctx, cancel := context.WithTimeout(e.context, time.Second)
	defer cancel()
	e.mu.Lock()
	candidates := e.forwarder.Roster().Choices(key)
	bound, ok := e.forwarder.OwnerOf(key)
	e.mu.Unlock()
	if ok {
		candidates = append([]ownership.Member{bound}, candidates[:min(2, len(candidates))]...)
	}
	for _, candidate := range candidates {
		answer, underWay, err := e.client.State(ctx, candidate, key)
		if err == nil && (answer != nil || underWay) {
			return answer, underWay
		}
	}
	return nil, false
}

// IsRepeatable reports whether a call of the kind may be submitted anew after an unknown outcome.
func (e *Entry) IsRepeatable(service, kind string) bool {
	s, _ := e.state.Configuration().ServiceByName(service)
	k, _ := s.KindByName(kind)
	return k.Repeatable
}

// IsReady tells why the entry cannot take jobs, if it cannot.
func (e *Entry) IsReady() (string, bool) {
	roster := e.state.Roster()
	switch {
	case e.stopping.Load():
		return "stopping", false
	case len(roster.Listed(ownership.RoleAgent)) == 0:
		return "no agent is known", false
	case len(roster.Listed(ownership.RoleEntry)) == 0:
		return "no entry is listed", false
	default:
		return "", true
	}
}

func (e *Entry) record(kind timeline.Kind, job model.Job, detail string) {
	e.timeline.Add(timeline.Event{Kind: kind, Trace: job.Trace, Submission: string(job.Key), Task: timeline.NoTask, Detail: detail})
}

// forwarderService serves other processes.
type forwarderService struct{ entry *Entry }

// Relay forwards a submission for an entry that may not do so itself.
func (s *forwarderService) Relay(_ context.Context, request *peerpb.RelayRequest) (*peerpb.RelayResponse, error) {
	s.entry.open.Add(1)
	defer s.entry.open.Add(-1)
	if s.entry.stopping.Load() {
		return nil, errStopping
	}
	answer := s.entry.answer(peer.JobFromWire(request.GetJob()), false)
	return &peerpb.RelayResponse{Answer: peer.AnswerToWire(answer)}, nil
}

// Fence answers an owner that wants a key to be sent to no one else.
func (s *forwarderService) Fence(_ context.Context, request *peerpb.FenceRequest) (*peerpb.FenceResponse, error) {
	e := s.entry
	key := model.Key(request.GetKey())
	e.mu.Lock()
	verdict := e.forwarder.Fence(clock(), key, ownership.MemberID(request.GetOwner()))
	epoch := e.forwarder.Roster().Epoch
	e.mu.Unlock()
	response := &peerpb.FenceResponse{Epoch: epoch}
	switch v := verdict.(type) {
	case ownership.Promised:
		response.Promised = true
	case ownership.BoundElsewhere:
		response.BoundTo = string(v.Owner)
	case ownership.CannotTell:
	}
	e.timeline.Add(timeline.Event{Kind: timeline.FenceGiven, Submission: string(key), Task: timeline.NoTask, Detail: request.GetOwner()})
	return response, nil
}

// TakeBindings accepts the bindings of a leaving entry.
func (s *forwarderService) TakeBindings(_ context.Context, request *peerpb.TakeBindingsRequest) (*peerpb.Empty, error) {
	e := s.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.forwarder.Inherit(peer.BindingsFromWire(request.GetBindings())) {
		return nil, errors.New("daemon: no room for the bindings")
	}
	return &peerpb.Empty{}, nil
}
