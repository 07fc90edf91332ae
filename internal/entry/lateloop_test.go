// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"net"
	"testing"
	"time"

	"sailhead/internal/clock"
	"sailhead/internal/cluster"
	"sailhead/internal/dispatch"
	"sailhead/internal/logging"
	"sailhead/internal/runner"
	"sailhead/internal/session"
)

// TestAPingIsEchoedAfterTheEventsBeforeIt lets an agent send a ping while the departure of a caller waits in the queue of the event loop.
//
// The failure: the ping was echoed beside the event loop, however late that was, so the runs of callers that had left kept their leases.
func TestAPingIsEchoedAfterTheEventsBeforeIt(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opened, echoed := make(chan runner.SessionID, 1), make(chan struct{}, 1)
	server, closeServer := session.NewServer(listener, 1, new(session.Traffic), func(event runner.Event) {
		switch e := event.(type) {
		case runner.SessionOpened:
			opened <- e.Session
		case runner.PongReceived:
			echoed <- struct{}{}
		}
	}, logging.Discard())
	defer closeServer()
	e := &Entry{
		context: t.Context(), directory: cluster.NewDirectory(), sessions: newSessionTable(), choice: newAgentChoice(clock.Now()),
		traffic: new(session.Traffic), logger: logging.Discard(), events: make(chan dispatch.Event, 16),
	}
	e.dialMissing(make(agentDialers), map[string]cluster.Member{string(testAgent): {Name: string(testAgent), Address: listener.Addr().String(), Incarnation: 1}})
	id, ok := awaitSession(opened, sessionTestTimeout)
	if !ok {
		t.Fatal("no session was opened")
	}
	e.post(dispatch.CallerLeft{Job: testJob, Waiter: 1})
	server.Send(runner.SendPing{Session: id, Time: clock.Now()})
	select {
	case <-echoed:
		t.Error("the ping was echoed while an event waited for the event loop")
		return
	case <-time.After(earlySessionTime):
	}
	d := newDeciderTest()
	d.decider.perform = func(next effect) {
		if _, isDecision := next.dispatch.(dispatch.DecisionMade); !isDecision {
			e.perform(next)
		}
	}
	for {
		select {
		case event := <-e.events:
			d.decider.handleDispatch(event)
		case <-echoed:
			return
		case <-time.After(sessionTestTimeout):
			t.Fatalf("the ping was not echoed within %s", sessionTestTimeout)
		}
	}
}
