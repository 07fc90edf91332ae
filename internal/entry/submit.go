// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"context"

	"sailhead/internal/dispatch"
	"sailhead/internal/metric"
)

// Submit submits a job and returns its final answer. If the context is cancelled first, the caller has left and the job is
// dropped.
func (e *Entry) Submit(ctx context.Context, job dispatch.Job) dispatch.Answer {
	e.metrics.Add(metric.JobsReceived, 1)
	waiter, answered := e.jobWaiters.add()
	select {
	case e.events <- dispatch.Submitted{Job: job, Waiter: waiter}:
	default:
		e.jobWaiters.remove(waiter)
		return dispatch.NotRun{Reason: "the entry is overloaded", RetryAfter: dispatch.RetryAfter, IsLocal: true}
	}
	select {
	case answer := <-answered:
		return answer
	case <-ctx.Done():
		e.jobWaiters.remove(waiter)
		e.post(dispatch.CallerLeft{Job: job.ID, Waiter: waiter})
		return dispatch.Interrupted{Reason: "the caller has left"}
	case <-e.context.Done():
		return answerOr(answered, dispatch.Interrupted{Reason: "the entry has stopped"})
	}
}

// answerOr returns the answer if it has already arrived, and fallback otherwise.
func answerOr(answered <-chan dispatch.Answer, fallback dispatch.Answer) dispatch.Answer {
	select {
	case answer := <-answered:
		return answer
	default:
		return fallback
	}
}

// await waits for the answer to a request that was posted to the event loop. It returns false if the context is cancelled
// or the entry stops first.
func await[ID ~uint64, Answer any](ctx context.Context, e *Entry, w *waiters[ID, Answer], waiter ID, answered <-chan Answer) (answer Answer, ok bool) {
	defer w.remove(waiter)
	select {
	case answer = <-answered:
		return answer, true
	case <-ctx.Done():
	case <-e.context.Done():
	}
	return answer, false
}

// State reports whether a job is open and whether any of its tasks may have started.
func (e *Entry) State(ctx context.Context, id string) (known, started bool) {
	waiter, answered := e.stateWaiters.add()
	e.post(dispatch.StateRequested{Job: id, Waiter: waiter})
	// There is no answer only if the caller has left or the entry is stopping; nobody reads the result then.
	state, _ := await(ctx, e, e.stateWaiters, waiter, answered)
	return state != dispatch.JobUnknown, state == dispatch.JobStarted
}

// Cancel cancels a job and reports whether it was open.
func (e *Entry) Cancel(ctx context.Context, id string) bool {
	waiter, answered := e.cancelWaiters.add()
	e.post(dispatch.CancelRequested{Job: id, Waiter: waiter})
	known, ok := await(ctx, e, e.cancelWaiters, waiter, answered)
	return ok && known
}

// RecordRejection logs and counts a request that the platform's adapter rejected without submitting a job.
func (e *Entry) RecordRejection(path string, status int, reason string) {
	e.metrics.Add(metric.RequestsRejected, 1)
	version, _ := e.directory.Configuration()
	_ = e.limitedLogger.Log("msg", "rejected", "path", path, "status", status, "configuration", version, "reason", reason)
}
