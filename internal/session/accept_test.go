// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package session

import (
	"context"
	"net"
	"syscall"
	"testing"

	"sailhead/internal/evacuation"
	"sailhead/internal/logging"
	"sailhead/internal/runner"
)

// failingListener is a listener whose first calls of Accept fail with EMFILE, as when the process has too many open files.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

func TestSessionsAreAcceptedAfterAFailure(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	events := make(chan runner.Event, 100)
	_, closeServer := NewServer(&failingListener{Listener: listener, failures: 2}, 77, new(Traffic), func(e runner.Event) { events <- e }, logging.Discard())
	defer closeServer()
	entry, err := Dial(context.Background(), listener.Addr().String(), Entry{Name: "entry-1", Zone: "zone-a"}, new(Traffic))
	if err != nil {
		t.Fatal(err)
	}
	defer entry.Close()
	if _, ok := receive(t, events).(runner.SessionOpened); !ok {
		t.Fatal("no session was opened")
	}
}

func TestEvacuationsArriveUnchanged(t *testing.T) {
	entry, _, _, events := pair(t)
	receive(t, events)
	state := evacuation.New(9, []evacuation.Change{{Zone: "a", Revision: 4, IsEvacuated: true}, {Zone: "b", Revision: 12}})
	entry.SendEvacuations(state)
	if got := receive(t, events).(runner.EvacuationsReceived); !got.State.Equal(state) {
		t.Fatalf("got %+v, want %+v", got.State, state)
	}
}
