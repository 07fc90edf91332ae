// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable"
	"sailhead/internal/metric"
)

// fullPause is when a caller should come back that met a full ring.
const fullPause = time.Second

// Submit returns the final answer to a job; the end of the context says that the caller has left.
func (f *Frontend) Submit(ctx context.Context, job dispatch.Job) dispatch.Answer {
	f.metrics.Add(metric.JobsReceived, 1)
	waiter := dispatch.Waiter(f.nextWaiter.Add(1))
	answered := make(chan dispatch.Answer, 1)
	f.mu.Lock()
	f.waiters[waiter] = answered
	f.mu.Unlock()
	select {
	case f.events <- dispatch.Submitted{Job: job, Waiter: waiter}:
	default:
		f.forget(waiter)
		return dispatch.NotRun{Reason: "the entry is overloaded", RetryAfter: fullPause}
	}
	select {
	case answer := <-answered:
		return answer
	case <-ctx.Done():
		f.forget(waiter)
		f.post(dispatch.CallerLeft{Job: job.ID, Waiter: waiter})
		return dispatch.Interrupted{Reason: "the caller has left"}
	case <-f.context.Done():
		return dispatch.Interrupted{Reason: "the entry has stopped"}
	}
}

func (f *Frontend) forget(waiter dispatch.Waiter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiters, waiter)
}

// reply hands an answer to those who wait for it.
func (f *Frontend) reply(e dispatch.Reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, waiter := range e.Waiters {
		if answered, ok := f.waiters[waiter]; ok {
			answered <- e.Answer
			delete(f.waiters, waiter)
		}
	}
}

// ask posts an event that answers on a channel, and waits for it.
func ask[T any](ctx context.Context, f *Frontend, event func(done func(T)) dispatch.Event) (answer T) {
	answered := make(chan T, 1)
	f.post(event(func(value T) { answered <- value }))
	select {
	case answer = <-answered:
	case <-ctx.Done():
	case <-f.context.Done():
	}
	return answer
}

// State reports whether a job is under way and whether a task of it may have begun.
func (f *Frontend) State(ctx context.Context, id string) (known, begun bool) {
	state := ask(ctx, f, func(done func(dispatch.JobState)) dispatch.Event {
		return dispatch.StateAsked{Job: id, Done: done}
	})
	return state != dispatch.JobUnknown, state == dispatch.JobBegun
}

// Cancel ends a job and reports whether it was under way.
func (f *Frontend) Cancel(ctx context.Context, id string) bool {
	return ask(ctx, f, func(done func(bool)) dispatch.Event {
		return dispatch.Cancelled{Job: id, Done: done}
	})
}

// Rejected logs a request that was answered without being taken.
func (f *Frontend) Rejected(path string, status int, reason string) {
	f.metrics.Add(metric.RequestsRejected, 1)
	version, _ := f.directory.Document()
	_ = f.others.Log("msg", "rejected", "path", path, "status", status, "configuration", version, "reason", reason)
}

// IsReady reports whether the entry takes jobs: it has a configuration, an agent, and does not stop.
func (f *Frontend) IsReady() bool {
	version, _ := f.directory.Document()
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.leaving.Load() && version > 0 && f.agents > 0
}

// IsLeaving reports whether the entry stops.
func (f *Frontend) IsLeaving() bool {
	return f.leaving.Load()
}

// Leave begins a planned stop: the balancer hears that the entry is not ready, and jobs that would not end in
// time are refused. It returns when the process must have ended.
func (f *Frontend) Leave() time.Time {
	f.leaving.Store(true)
	until := time.Now().Add(f.settings.StopTimeout - stopMargin)
	f.post(dispatch.LeaveAsked{Until: until})
	f.postKeep(durable.LeaveAsked{Until: until.Add(-leaveMargin)})
	_ = level.Info(f.logger).Log("msg", "stopping", "within", f.settings.StopTimeout)
	return until
}

// IsIdle reports whether no job is under way.
func (f *Frontend) IsIdle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.jobs == 0 && len(f.waiters) == 0 && f.shards == 0 && len(f.keptWaiters) == 0
}
