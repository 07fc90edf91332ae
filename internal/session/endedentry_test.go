// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package session

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"sailhead/internal/clock"
	"sailhead/internal/logging"
	"sailhead/internal/runner"
)

// TestMessagesOfAnEndedEntryComeBeforeTheEndOfItsSession ends an entry that has sent a start, a stop and an echo, while its agent handles nothing and
// then writes to the broken connection.
//
// It guards against a message that counts after the session's end, and an end that is not seen once the writes have failed.
func TestMessagesOfAnEndedEntryComeBeforeTheEndOfItsSession(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	events, opened, handled := make(chan runner.Event, 100), make(chan runner.SessionOpened, 1), make(chan struct{})
	server, closeServer := NewServer(listener, 77, new(Traffic), func(e runner.Event) {
		if o, ok := e.(runner.SessionOpened); ok {
			opened <- o
			<-handled
		}
		events <- e
	}, logging.Discard())
	t.Cleanup(closeServer)
	entry, err := Dial(context.Background(), listener.Addr().String(), Entry{Name: "entry-1", Zone: "zone-a"}, new(Traffic))
	if err != nil {
		t.Fatal(err)
	}
	session := receive(t, opened).Session
	// What the entry does not read resets the connection when it ends.
	server.Send(runner.SendPing{Session: session, Time: clock.Now()})
	entry.Start(1, runner.Task{Name: "t"})
	entry.Stop("t")
	entry.EchoPing(1)
	entry.connection.Finish()
	for range 20 {
		server.Send(runner.SendPing{Session: session, Time: clock.Now()})
		time.Sleep(5 * time.Millisecond)
	}
	close(handled)
	var names []string
	for len(names) == 0 || names[len(names)-1] != "closed" {
		names = append(names, eventName(receive(t, events)))
	}
	if want := []string{"opened", "start", "stop", "pong", "closed"}; !slices.Equal(names, want) {
		t.Errorf("got %q, want %q", names, want)
	}
	time.Sleep(50 * time.Millisecond)
	if len(events) > 0 {
		t.Errorf("%T follows the end of the session", <-events)
	}
}

// eventName returns a short name for an event.
func eventName(e runner.Event) string {
	switch e.(type) {
	case runner.SessionOpened:
		return "opened"
	case runner.StartRequested:
		return "start"
	case runner.StopRequested:
		return "stop"
	case runner.PongReceived:
		return "pong"
	case runner.SessionClosed:
		return "closed"
	default:
		return "other"
	}
}
