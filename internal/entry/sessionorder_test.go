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

const (
	// sessionTestTimeout is the longest wait for an event of a session.
	sessionTestTimeout = 5 * time.Second
	// earlySessionTime is the time in which a new dialer would open a session without waiting for the earlier one.
	earlySessionTime = 200 * time.Millisecond
)

// awaitSession returns the ID of the next session that an agent accepts, or false if there is none in time.
func awaitSession(opened <-chan runner.SessionID, timeout time.Duration) (id runner.SessionID, ok bool) {
	select {
	case id = <-opened:
		return id, true
	case <-time.After(timeout):
		return 0, false
	}
}

// TestASessionBeginsAfterTheEarlierOneHasEnded redials an agent whose record has changed, while the goroutine of the open session waits for
// the event loop.
//
// The failure: the end of the earlier session was handled after the start of the new one, so the dispatcher lost the agent and started its
// tasks elsewhere, while the new session kept the right of their runs.
func TestASessionBeginsAfterTheEarlierOneHasEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opened := make(chan runner.SessionID, 2)
	server, closeServer := session.NewServer(listener, 1, new(session.Traffic), func(event runner.Event) {
		if e, ok := event.(runner.SessionOpened); ok {
			opened <- e.Session
		}
	}, logging.Discard())
	defer closeServer()
	e := &Entry{
		context: t.Context(), directory: cluster.NewDirectory(), sessions: newSessionTable(), choice: newAgentChoice(clock.Now()),
		traffic: new(session.Traffic), logger: logging.Discard(), events: make(chan dispatch.Event, 1),
	}
	agents := map[string]cluster.Member{"agent-1": {Name: "agent-1", Address: listener.Addr().String(), Incarnation: 1}}
	dials := make(agentDialers)
	e.dialMissing(dials, agents)
	first, ok := awaitSession(opened, sessionTestTimeout)
	if !ok {
		t.Fatal("no session was opened")
	}
	// The queue of the event loop holds one event, so the session's goroutine waits with this one.
	server.Send(runner.SendLoad{Session: first, Handled: 1})
	time.Sleep(earlySessionTime)
	e.stopOutdated(dials, nil)
	e.dialMissing(dials, agents)
	if _, isEarly := awaitSession(opened, earlySessionTime); isEarly {
		time.Sleep(earlySessionTime)
	}
	var kinds []string
	for range 4 {
		select {
		case event := <-e.events:
			kinds = append(kinds, kindOf(event))
			if down, ok := event.(dispatch.AgentDown); ok {
				e.perform(effect{dispatch: dispatch.SessionEnded(down)})
			}
		case <-time.After(sessionTestTimeout):
			t.Fatalf("only %v within %s", kinds, sessionTestTimeout)
		}
	}
	for i, want := range []string{"up", "load", "down", "up"} {
		if kinds[i] != want {
			t.Fatalf("events in the order %v, want the end of the first session before the start of the second one", kinds)
		}
	}
	if _, isOpen := e.sessions.get("agent-1"); !isOpen {
		t.Error("the new session is not in the table")
	}
}

// kindOf returns a name for the events of a session.
func kindOf(event dispatch.Event) string {
	switch event.(type) {
	case dispatch.AgentUp:
		return "up"
	case dispatch.AgentDown:
		return "down"
	default:
		return "load"
	}
}
