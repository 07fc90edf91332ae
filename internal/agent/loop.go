// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package agent

import (
	"context"
	"sync"
	"time"

	"sailhead/internal/clock"
	"sailhead/internal/logging"
	"sailhead/internal/metric"
	"sailhead/internal/runner"
)

// post queues an event for the event loop. It blocks while the queue is full, and drops the event once the agent stops.
func (a *Agent) post(event runner.Event) {
	select {
	case a.events <- event:
	case <-a.context.Done():
	}
}

// run is the event loop: the only goroutine that uses the runner.
func (a *Agent) run() {
	ticker := time.NewTicker(runner.TickInterval)
	defer ticker.Stop()
	lateness := logging.NewLateness(a.logger, runner.TickInterval)
	for {
		select {
		case <-a.context.Done():
			return
		case event := <-a.events:
			a.handle(event)
		case <-ticker.C:
			lateness.Ticked(clock.Now())
			a.handle(runner.Ticked{})
		}
	}
}

// handle passes an event to the runner and executes the resulting effects.
func (a *Agent) handle(event runner.Event) {
	a.logEvent(event)
	for _, effect := range a.runner.Handle(clock.Now(), event) {
		a.apply(effect)
	}
	a.publish()
}

// apply executes an effect. Calls to the worker run in their own goroutines so that they do not block the event loop.
func (a *Agent) apply(effect runner.Effect) {
	switch e := effect.(type) {
	case runner.CallStart:
		a.runs.started(e.Start.Name)
		go a.callStart(e)
	case runner.CallStop:
		go a.callStop(e)
	case runner.CallRenew:
		go a.callRenew(e, clock.Now())
	case runner.SendUpdate:
		a.runs.updated(e.Update)
		a.logUpdate(e.Update)
		a.sessions.Send(effect)
	case runner.CloseSession:
		a.logClose(e)
		a.sessions.Send(effect)
	case runner.EndDropped:
		a.logDropped(e)
	case runner.StoreEnds:
		a.metrics.Set(metric.EndsUnacknowledged, int64(len(e.Ends)))
		a.pendingEnds.set(e.Ends)
	case runner.IncarnationEnded:
		a.logIncarnationEnded(e)
	case runner.StopOverdue:
		a.stopOverdue(e)
	case runner.EvacuationChanged:
		a.evacuationChanged(e)
	case runner.WorkerEjected:
		a.workerEjected(e)
	case runner.ProbeEnded:
		a.probeEnded(e)
	case runner.WorkerRestored:
		a.workerRestored(e)
	case runner.SharesDivided:
		a.sharesDivided(e)
	case runner.SendPing, runner.SendWorker, runner.SendLoad, runner.SendOffer, runner.SendCrash:
		a.sessions.Send(effect)
	}
}

// publish copies the runner's state to where other goroutines and the metrics read it.
func (a *Agent) publish() {
	sessions, _, active := a.runner.Counts()
	idle := a.runner.IsIdle()
	if a.status.set(idle, sessions) {
		a.metrics.Set(metric.Sessions, int64(sessions))
	}
	a.runs.setActive(active)
	if idle {
		a.runs.clearStarts()
	}
	if record, ok := a.runner.Worker(); ok {
		a.registration.setWorker(record)
	}
}

// status is the part of the runner's state that other goroutines read. The zero value has no sessions and is not idle.
type status struct {
	mu       sync.Mutex
	idle     bool
	sessions int
}

// set stores the state and reports whether the number of sessions changed.
func (s *status) set(idle bool, sessions int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.sessions != sessions
	s.idle = idle
	s.sessions = sessions
	return changed
}

// isIdle reports whether no task is queued and none may be running on the worker.
func (s *status) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idle
}

// hasSessions reports whether at least one entry has a session.
func (s *status) hasSessions() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sessions > 0
}

// wait blocks until the signal arrives. It returns false if the context is cancelled first.
func wait[T any](ctx context.Context, signal <-chan T) bool {
	select {
	case <-ctx.Done():
		return false
	case <-signal:
		return true
	}
}
