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

// overloadRetryAfter is when a caller should come back that met a full ring.
const overloadRetryAfter = time.Second

// Submit returns the final answer to a job; the end of the context says that the caller has left.
func (e *Entry) Submit(ctx context.Context, job dispatch.Job) dispatch.Answer {
	e.metrics.Add(metric.JobsReceived, 1)
	waiter := dispatch.Waiter(e.nextWaiter.Add(1))
	answered := make(chan dispatch.Answer, 1)
	e.mu.Lock()
	e.waiters[waiter] = answered
	e.mu.Unlock()
	select {
	case e.events <- dispatch.Submitted{Job: job, Waiter: waiter}:
	default:
		e.forget(waiter)
		return dispatch.NotRun{Reason: "the entry is overloaded", RetryAfter: overloadRetryAfter}
	}
	select {
	case answer := <-answered:
		return answer
	case <-ctx.Done():
		e.forget(waiter)
		e.post(dispatch.CallerLeft{Job: job.ID, Waiter: waiter})
		return dispatch.Interrupted{Reason: "the caller has left"}
	case <-e.context.Done():
		return dispatch.Interrupted{Reason: "the entry has stopped"}
	}
}

func (e *Entry) forget(waiter dispatch.Waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.waiters, waiter)
}

// reply hands an answer to those who wait for it.
func (e *Entry) reply(ev dispatch.Reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, waiter := range ev.Waiters {
		if answered, ok := e.waiters[waiter]; ok {
			answered <- ev.Answer
			delete(e.waiters, waiter)
		}
	}
}

// ask posts an event that answers on a channel, and waits for it.
func ask[T any](ctx context.Context, e *Entry, event func(done func(T)) dispatch.Event) (answer T) {
	answered := make(chan T, 1)
	e.post(event(func(value T) { answered <- value }))
	select {
	case answer = <-answered:
	case <-ctx.Done():
	case <-e.context.Done():
	}
	return answer
}

// State reports whether a job is under way and whether a task of it may have begun.
func (e *Entry) State(ctx context.Context, id string) (known, begun bool) {
	state := ask(ctx, e, func(done func(dispatch.JobState)) dispatch.Event {
		return dispatch.StateRequested{Job: id, Done: done}
	})
	return state != dispatch.JobUnknown, state == dispatch.JobBegun
}

// Cancel ends a job and reports whether it was under way.
func (e *Entry) Cancel(ctx context.Context, id string) bool {
	return ask(ctx, e, func(done func(bool)) dispatch.Event {
		return dispatch.CancelRequested{Job: id, Done: done}
	})
}

// Rejected logs a request that was answered without being taken.
func (e *Entry) Rejected(path string, status int, reason string) {
	e.metrics.Add(metric.RequestsRejected, 1)
	version, _ := e.directory.Document()
	_ = e.others.Log("msg", "rejected", "path", path, "status", status, "configuration", version, "reason", reason)
}

// IsReady reports whether the entry takes jobs: it has a configuration, an agent, and does not stop.
func (e *Entry) IsReady() bool {
	version, _ := e.directory.Document()
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.shuttingDown.Load() && version > 0 && e.agents > 0
}

// IsShuttingDown reports whether the entry stops.
func (e *Entry) IsShuttingDown() bool {
	return e.shuttingDown.Load()
}

// BeginShutdown begins a planned stop: the balancer hears that the entry is not ready, and jobs that would not end in
// time are refused. It returns when the process must have ended.
func (e *Entry) BeginShutdown() time.Time {
	e.shuttingDown.Store(true)
	until := time.Now().Add(e.settings.StopTimeout - stopMargin)
	e.post(dispatch.ShutdownRequested{Until: until})
	e.postDurable(durable.ShutdownRequested{Until: until.Add(-releaseMargin)})
	_ = level.Info(e.logger).Log("msg", "stopping", "within", e.settings.StopTimeout)
	return until
}

// IsIdle reports whether no job is under way.
func (e *Entry) IsIdle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.jobs == 0 && len(e.waiters) == 0 && e.shards == 0 && len(e.durableWaiters) == 0
}
