// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"testing"
	"time"

	"sailhead/internal/clock"
	"sailhead/internal/dispatch"
	"sailhead/internal/runner"
	"sailhead/internal/timing"
	"sailhead/internal/worker"
)

// TestTheSilenceOfAnEndedSessionDoesNotConcernTheNextOne lets an agent redial while watchLiveness, which has read the open sessions, waits for
// the event loop with an event about another agent.
//
// The failure: the silence of the earlier session was reported after the start of the new one, whose own messages never revoke it. The
// dispatcher sent the agent no more tasks until the new session ended.
func TestTheSilenceOfAnEndedSessionDoesNotConcernTheNextOne(t *testing.T) {
	const silence = (timing.SuspectAfter + timing.SessionCloseTimeout) / 2
	d := newDeciderTest()
	e := &Entry{context: t.Context(), sessions: newSessionTable(), events: make(chan dispatch.Event, 16)}
	earlier := &agentSession{entry: e, id: testAgent}
	earlier.lastMessage.Store(int64(clock.Since(epoch) - silence))
	e.sessions.add(earlier)
	e.post(dispatch.AgentUp{Agent: testAgent})
	watched := e.sessions.all()

	// The steps of serveSession at the end of the earlier session and the start of the new one.
	e.sessions.remove(testAgent)
	e.post(dispatch.AgentDown{Agent: testAgent})
	next := &agentSession{entry: e, id: testAgent}
	next.MessageReceived()
	e.sessions.add(next)
	e.post(dispatch.AgentUp{Agent: testAgent})
	next.Worker(worker.Record{ID: "w", Service: "svc", Capacity: worker.Resources{CPU: 1000}})
	next.Load(0, runner.Load{Accepts: true})

	// watchLiveness goes on with what it has read, and then checks the sessions that are open, as it does every livenessInterval.
	for _, s := range watched {
		e.checkLiveness(s)
	}
	for range 3 {
		next.MessageReceived()
		for _, s := range e.sessions.all() {
			e.checkLiveness(s)
		}
	}
	for len(e.events) > 0 {
		d.decider.handleDispatch(<-e.events)
	}
	d.decider.handleDispatch(dispatch.Submitted{Waiter: 1, Job: dispatch.Job{
		ID: testJob, Kind: dispatch.Kind{Name: "k", Service: "svc", Attempts: 2, Stretch: 100}, RemainingTime: time.Minute,
		Steps: []dispatch.Step{{Count: 1, Needs: worker.Resources{CPU: 1000}, Expected: 500 * time.Millisecond}},
	}})
	isStart := func(e dispatch.Effect) bool { _, ok := e.(dispatch.StartTask); return ok }
	if d.indexOf(isStart) < 0 {
		t.Errorf("the agent, whose session is open and not silent, got no task: %v", d.performed)
	}
}
