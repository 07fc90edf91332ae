// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package peer

import (
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/native/guard"
	"sailhead/internal/native/model"
	"sailhead/internal/native/ownership"
	"sailhead/internal/native/peer/peerpb"
)

// TaskFromWire returns the task in a start request.
func TaskFromWire(m *peerpb.StartRequest) guard.Task {
	return guard.Task{
		ID:       model.TaskID{Key: model.Key(m.GetKey()), Index: m.GetTask()},
		Owner:    m.GetOwner(),
		Service:  m.GetService(),
		Kind:     m.GetKind(),
		Urgency:  min(int(m.GetUrgency()), model.MaxUrgency),
		Deadline: time.Unix(0, m.GetDeadlineUnixNs()),
		MaxWait:  time.Duration(m.GetMaxWaitNs()),
		Due:      time.Unix(0, m.GetDueUnixNs()),
		Expected: time.Duration(m.GetExpectedNs()),
		Payload:  m.GetPayload(),
		Trace:    m.GetTrace(),
	}
}

// taskToWire returns the request to start a task at a guard.
func taskToWire(to ownership.MemberID, t guard.Task) *peerpb.StartRequest {
	return &peerpb.StartRequest{
		Key: string(t.ID.Key), Task: t.ID.Index, Owner: t.Owner, Guard: string(to), Service: t.Service, Kind: t.Kind,
		Urgency: uint32(t.Urgency), DeadlineUnixNs: t.Deadline.UnixNano(), ExpectedNs: int64(t.Expected),
		DueUnixNs: t.Due.UnixNano(), MaxWaitNs: int64(t.MaxWait),
		Payload: t.Payload, Trace: t.Trace,
	}
}

// OutcomeToWire returns the message for the outcome of a task, with the guard's load.
func OutcomeToWire(outcome model.Outcome, load model.Load) *peerpb.TaskResponse {
	response := &peerpb.TaskResponse{Load: LoadToWire(load)}
	switch o := outcome.(type) {
	case model.TaskDone:
		response.Outcome = &peerpb.TaskResponse_Done{Done: &peerpb.TaskDone{
			Result: o.Result, ServiceTimeNs: int64(o.ServiceTime),
		}}
	case model.TaskNotStarted:
		response.Outcome = &peerpb.TaskResponse_NotStarted{NotStarted: &peerpb.TaskNotStarted{
			Reason: o.Reason, RetryAfterNs: int64(o.RetryAfter), Leaving: o.Leaving,
		}}
	case model.TaskFailed:
		response.Outcome = &peerpb.TaskResponse_Failed{Failed: &peerpb.TaskFailed{
			Reason: o.Reason, Cause: string(o.Cause),
		}}
	}
	return response
}

// outcomeFromWire returns the outcome in a message, or an error for one without an outcome.
func outcomeFromWire(m *peerpb.TaskResponse) (model.Outcome, error) {
	switch o := m.GetOutcome().(type) {
	case *peerpb.TaskResponse_Done:
		return model.TaskDone{Result: o.Done.GetResult(), ServiceTime: time.Duration(o.Done.GetServiceTimeNs())}, nil
	case *peerpb.TaskResponse_NotStarted:
		return model.TaskNotStarted{
			Reason:     o.NotStarted.GetReason(),
			RetryAfter: time.Duration(o.NotStarted.GetRetryAfterNs()),
			Leaving:    o.NotStarted.GetLeaving(),
		}, nil
	case *peerpb.TaskResponse_Failed:
		return model.TaskFailed{Cause: model.FailureCause(o.Failed.GetCause()), Reason: o.Failed.GetReason()}, nil
	default:
		return nil, errors.New("peer: message without an outcome")
	}
}

// LoadToWire returns the message for a load.
func LoadToWire(l model.Load) *peerpb.Load {
	m := &peerpb.Load{
		Worker: l.Worker, Slots: uint32(l.Slots), Running: uint32(l.Running),
		Leaving: l.Leaving, MeasuredUnixNs: l.Measured.UnixNano(),
	}
	for urgency := range l.Queued {
		m.Queued = append(m.Queued, uint32(l.Queued[urgency]))
		m.WorkMs = append(m.WorkMs, uint32(l.Work[urgency].Milliseconds()))
		m.SharePermille = append(m.SharePermille, uint32(l.Share[urgency]*permille))
	}
	m.Queued = trimZeros(m.Queued)
	m.WorkMs = trimZeros(m.WorkMs)
	m.SharePermille = trimZeros(m.SharePermille)
	m.MeanMs = uint32(l.Mean.Milliseconds())
	m.RestMs = uint32(l.Rest.Milliseconds())
	return m
}

// permille is the number of units of a message in a whole share.
const permille = 1000

// trimZeros removes the zeros at the end. The reader takes a missing number for zero.
func trimZeros(numbers []uint32) []uint32 {
	for len(numbers) > 0 && numbers[len(numbers)-1] == 0 {
		numbers = numbers[:len(numbers)-1]
	}
	return numbers
}

// LoadFromWire returns the load in a message.
func LoadFromWire(m *peerpb.Load) model.Load {
	l := model.Load{
		Worker: m.GetWorker(), Slots: int(m.GetSlots()), Running: int(m.GetRunning()),
		Leaving: m.GetLeaving(), Measured: time.Unix(0, m.GetMeasuredUnixNs()),
	}
	l.Mean = time.Duration(m.GetMeanMs()) * time.Millisecond
	l.Rest = time.Duration(m.GetRestMs()) * time.Millisecond
	for urgency := range l.Queued {
		l.Queued[urgency] = int(numberAt(m.GetQueued(), urgency))
		l.Work[urgency] = time.Duration(numberAt(m.GetWorkMs(), urgency)) * time.Millisecond
		l.Share[urgency] = float64(numberAt(m.GetSharePermille(), urgency)) / permille
	}
	return l
}

// numberAt returns the number at an index, or zero if it is missing.
func numberAt(numbers []uint32, i int) uint32 {
	if i >= len(numbers) {
		return 0
	}
	return numbers[i]
}
