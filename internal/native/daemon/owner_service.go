// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package daemon

import (
	"context"

	"github.com/go-faster/errors"

	"sailhead/internal/native/model"
	"sailhead/internal/native/owner"
	"sailhead/internal/native/ownership"
	"sailhead/internal/native/peer"
	"sailhead/internal/native/peer/peerpb"
	"sailhead/internal/timeline"
)

// ownerService serves the entries and the owners that leave.
type ownerService struct{ duty *ownerDuty }

// Submit offers a submission to the owner and waits for its response.
func (s *ownerService) Submit(ctx context.Context, request *peerpb.SubmitRequest) (*peerpb.SubmitResponse, error) {
	d := s.duty
	d.node.catchUp(ctx, peer.Versions{Epoch: request.GetEpoch(), Configuration: request.GetConfigurationVersion()}, request.GetForwarderAddress())
	offer := ownership.Offer{
		Job:       peer.JobFromWire(request.GetJob()),
		Forwarder: ownership.MemberID(request.GetForwarder()),
		Owner:     ownership.MemberID(request.GetOwner()),
		Epoch:     request.GetEpoch(),
	}
	d.node.record(timeline.JobOffered, offer.Job, request.GetForwarder())
	response, err := d.offer(ctx, offer)
	if err != nil {
		return nil, err
	}
	d.node.record(timeline.JobResponded, offer.Job, describeResponse(response))
	return peer.ResponseToWire(response), nil
}

// State returns the answer to a submission, or whether the owner knows it.
func (s *ownerService) State(_ context.Context, request *peerpb.StateRequest) (*peerpb.StateResponse, error) {
	response := &peerpb.StateResponse{State: peer.StateUnknown}
	s.duty.runInLoop(func(o *owner.Owner) {
		answer, underWay := o.Table().Lookup(model.Key(request.GetKey()))
		response.Answer = peer.AnswerToWire(answer)
		if underWay {
			response.State = peer.StateRunning
		}
	})
	return response, nil
}

// TakeRecords accepts the submission table of a leaving owner.
func (s *ownerService) TakeRecords(ctx context.Context, request *peerpb.TakeRecordsRequest) (*peerpb.Empty, error) {
	taken := make(chan bool, 1)
	s.duty.post(owner.Inherited{
		Records: peer.RecordsFromWire(request.GetRecords()),
		Done:    func(ok bool) { taken <- ok },
	})
	select {
	case ok := <-taken:
		if !ok {
			return nil, errors.New("daemon: no room for the records")
		}
		return &peerpb.Empty{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
