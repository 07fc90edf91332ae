// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"time"

	"sailhead/internal/metric"
	"sailhead/internal/native/configuration"
	"sailhead/internal/native/model"
	"sailhead/internal/native/ownership"
	"sailhead/internal/timeline"
)

const (
	// stateTimeout is the longest time that a query of a submission's state takes, over all agents that are asked.
	stateTimeout = time.Second
	// maxOtherCandidates is how many agents are asked besides the one to which the key is bound: the first choice and the next one, to
	// which a leaving first choice hands its records.
	maxOtherCandidates = 2
)

// Submit forwards a caller's job to its owner and returns the final answer.
func (e *Entry) Submit(job model.Job) model.Answer {
	e.open.Add(1)
	defer e.open.Add(-1)
	e.metrics.Add(metric.JobsReceived, 1)
	if job.Deadline.IsZero() {
		job.Deadline = time.Now().Add(e.defaultDeadline(job))
	}
	e.record(timeline.JobReceived, job, "")
	received := time.Now()
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
	switch limits.AgeOf(job.Key, time.Now()) {
	case ownership.AgeExpired:
		return model.Failed{Reason: "the submission key is older than the window", MayHaveRun: true}
	case ownership.AgeFuture:
		return model.Rejected{Field: "submission", Reason: "the key was issued in the future"}
	case ownership.AgeAccepted:
	}
	ctx, cancel := context.WithDeadline(e.context, waitUntil(job))
	defer cancel()
	forwarding := &forwarding{entry: e, job: job, mayRelay: mayRelay}
	return forwarding.run(ctx)
}

// State returns the final answer to a submission, or whether it is under way. Agents that do not answer are passed over:
// an unknown state is the answer if none knows the submission.
func (e *Entry) State(key model.Key) (model.Answer, bool) {
	ctx, cancel := context.WithTimeout(e.context, stateTimeout)
	defer cancel()
	e.mu.Lock()
	candidates := e.forwarder.Roster().Choices(key)
	bound, ok := e.forwarder.OwnerOf(key)
	e.mu.Unlock()
	if ok {
		candidates = append([]ownership.Member{bound}, candidates[:min(maxOtherCandidates, len(candidates))]...)
	}
	for _, candidate := range candidates {
		answer, underWay, err := e.client.State(ctx, candidate, key)
		if err == nil && (answer != nil || underWay) {
			return answer, underWay
		}
	}
	return nil, false
}

// IsRepeatable reports whether callers may submit a job of the kind again after an unknown outcome.
func (e *Entry) IsRepeatable(service, kind string) bool {
	s, _ := e.state.Configuration().ServiceByName(service)
	k, _ := s.KindByName(kind)
	return k.Repeatable
}

// IsReady reports whether the entry accepts jobs, and the reason if it does not.
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
