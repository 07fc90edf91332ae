// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package peer

import (
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/native/model"
	"sailhead/internal/native/peer/peerpb"
)

// jobToWire returns the message for a job.
func jobToWire(j model.Job) *peerpb.Job {
	return &peerpb.Job{
		Key: string(j.Key), Attempt: j.Attempt, Service: j.Service, Kind: j.Kind, Team: j.Team,
		DeadlineUnixNs: j.Deadline.UnixNano(), Tasks: j.Tasks, Trace: j.Trace,
	}
}

// JobFromWire returns the job in a message.
func JobFromWire(m *peerpb.Job) model.Job {
	return model.Job{
		Key: model.Key(m.GetKey()), Attempt: m.GetAttempt(), Service: m.GetService(), Kind: m.GetKind(),
		Team: m.GetTeam(), Deadline: time.Unix(0, m.GetDeadlineUnixNs()), Tasks: m.GetTasks(), Trace: m.GetTrace(),
	}
}

// AnswerToWire returns the message for an answer, or nil for no answer.
func AnswerToWire(answer model.Answer) *peerpb.Answer {
	switch a := answer.(type) {
	case model.Complete:
		return &peerpb.Answer{Answer: &peerpb.Answer_Complete{Complete: &peerpb.Complete{Results: a.Results}}}
	case model.NotRun:
		return &peerpb.Answer{Answer: &peerpb.Answer_NotRun{NotRun: &peerpb.NotRun{
			Reason: a.Reason, RetryAfterNs: int64(a.RetryAfter), OverQuota: a.OverQuota,
		}}}
	case model.Failed:
		return &peerpb.Answer{Answer: &peerpb.Answer_Failed{Failed: &peerpb.Failed{
			Reason: a.Reason, MayHaveRun: a.MayHaveRun, TimedOut: a.TimedOut,
		}}}
	case model.Rejected:
		return &peerpb.Answer{Answer: &peerpb.Answer_Rejected{Rejected: &peerpb.Rejected{Field: a.Field, Reason: a.Reason}}}
	default:
		return nil
	}
}

// AnswerFromWire returns the answer in a message, or an error for one without an answer.
func AnswerFromWire(m *peerpb.Answer) (model.Answer, error) {
	switch a := m.GetAnswer().(type) {
	case *peerpb.Answer_Complete:
		return model.Complete{Results: a.Complete.GetResults()}, nil
	case *peerpb.Answer_NotRun:
		return model.NotRun{
			Reason:     a.NotRun.GetReason(),
			RetryAfter: time.Duration(a.NotRun.GetRetryAfterNs()),
			OverQuota:  a.NotRun.GetOverQuota(),
		}, nil
	case *peerpb.Answer_Failed:
		return model.Failed{
			Reason:     a.Failed.GetReason(),
			MayHaveRun: a.Failed.GetMayHaveRun(),
			TimedOut:   a.Failed.GetTimedOut(),
		}, nil
	case *peerpb.Answer_Rejected:
		return model.Rejected{Field: a.Rejected.GetField(), Reason: a.Rejected.GetReason()}, nil
	default:
		return nil, errors.New("peer: message without an answer")
	}
}
