// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"time"

	"sailhead/internal/native/guard"
	"sailhead/internal/native/model"
	"sailhead/internal/native/ownership"
	"sailhead/internal/native/peer"
	"sailhead/internal/native/peer/peerpb"
)

// guardService serves the owners in other processes.
type guardService struct{ duty *guardDuty }

// Start queues a task and waits for its outcome.
func (s *guardService) Start(ctx context.Context, request *peerpb.StartRequest) (*peerpb.TaskResponse, error) {
	if ownership.MemberID(request.GetGuard()) != s.duty.node.self.ID {
		outcome := model.TaskNotStarted{Reason: "the request names another incarnation"}
		return peer.OutcomeToWire(outcome, s.duty.load()), nil
	}
	outcome, err := s.duty.start(ctx, peer.TaskFromWire(request))
	return s.respond(outcome, err)
}

// Report waits for the outcome of a task that has arrived, and refuses one that has not from now on.
func (s *guardService) Report(ctx context.Context, request *peerpb.ReportRequest) (*peerpb.TaskResponse, error) {
	if ownership.MemberID(request.GetGuard()) != s.duty.node.self.ID {
		outcome := model.TaskFailed{Cause: model.CauseUnknown, Reason: "the guard has restarted"}
		return peer.OutcomeToWire(outcome, s.duty.load()), nil
	}
	id := model.TaskID{Key: model.Key(request.GetKey()), Index: request.GetTask()}
	outcome, err := s.duty.postAndWait(ctx, id, guard.ReportAsked{
		ID: id, Deadline: time.Unix(0, request.GetDeadlineUnixNs()), Withdraw: request.GetWithdraw(),
	})
	return s.respond(outcome, err)
}

func (s *guardService) respond(outcome model.Outcome, err error) (*peerpb.TaskResponse, error) {
	if err != nil {
		return nil, err
	}
	return peer.OutcomeToWire(outcome, s.duty.load()), nil
}
