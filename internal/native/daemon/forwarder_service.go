// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"sailhead/internal/native/model"
	"sailhead/internal/native/ownership"
	"sailhead/internal/native/peer"
	"sailhead/internal/native/peer/peerpb"
	"sailhead/internal/timeline"
)

// errStopping refuses a relay that arrives while the entry stops.
var errStopping = twirp.NewError(twirp.Unavailable, "the entry is stopping")

// forwarderService serves other entries, and the owners that fence keys.
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

const (
	// maxResultWait is how long a fence waits for the result of a request to another owner; see awaitResult: a tenth of
	// ownership.FenceTimeout, more than an owner takes to decline.
	maxResultWait = 100 * time.Millisecond
	// resultPollInterval is the time between two checks for the result.
	resultPollInterval = 2 * time.Millisecond
)

// awaitResult waits until no request for the key is under way from this entry to another owner than the asker, but for no
// longer than maxResultWait.
//
// Reason: with a request under way the fence fails, and the asker may then never run the key. While the first choice of a key
// leaves, two copies of a submission at two entries made each other's fences fail at one owner after the other, until none was
// left: a request to the leaving owner was under way for the millisecond in which the fence came.
func (e *Entry) awaitResult(ctx context.Context, key model.Key, asker ownership.MemberID) {
	ctx, cancel := context.WithTimeout(ctx, maxResultWait)
	defer cancel()
	for e.isRequestUnderWay(key, asker) {
		if sleep(ctx, resultPollInterval) != nil {
			return
		}
	}
}

func (e *Entry) isRequestUnderWay(key model.Key, asker ownership.MemberID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.forwarder.AwaitsResult(key, asker)
}

// Fence promises an owner to send a key to no one else, or names the owner to which the key is bound.
func (s *forwarderService) Fence(ctx context.Context, request *peerpb.FenceRequest) (*peerpb.FenceResponse, error) {
	e := s.entry
	key := model.Key(request.GetKey())
	asker := ownership.MemberID(request.GetOwner())
	e.awaitResult(ctx, key, asker)
	e.mu.Lock()
	verdict := e.forwarder.Fence(time.Now(), key, asker)
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
