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

// TestAPingOfAnotherEntryIsEchoedAfterTheEventsBeforeIt is the same for a ping of an entry to which jobs were handed over. An echo beside the
// event loop would need the sender, which the entry of this test does not have.
func TestAPingOfAnotherEntryIsEchoedAfterTheEventsBeforeIt(t *testing.T) {
	e := &Entry{context: t.Context(), events: make(chan dispatch.Event, 16)}
	e.post(dispatch.CallerLeft{Job: testJob, Waiter: 1})
	e.PingReceived(3, 77)
	d := newDeciderTest()
	for range 2 {
		d.decider.handleDispatch(<-e.events)
	}
	want := dispatch.EchoHandOverPing{Link: 3, Time: 77}
	if last := d.performed[len(d.performed)-1].dispatch; last != want {
		t.Errorf("got %+v, want %+v", last, want)
	}
}

func TestAPingTellsTheIncarnationOfTheAgent(t *testing.T) {
	s := &agentSession{entry: &Entry{context: t.Context(), events: make(chan dispatch.Event, 16)}, id: testAgent}
	s.Ping(session.Ping{Time: 77, Incarnation: 5})
	if got := s.incarnation.Load(); got != 5 {
		t.Errorf("got the incarnation %d, want 5", got)
	}
}
