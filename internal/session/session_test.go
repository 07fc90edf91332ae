// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package session

import (
	"context"
	"net"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sailhead/internal/clock"
	"sailhead/internal/logging"
	"sailhead/internal/runner"
	"sailhead/internal/session/sessionpb"
	"sailhead/internal/shares"
	"sailhead/internal/stream"
	"sailhead/internal/worker"
)

// recorder is an AgentHandler that records the messages of an agent.
type recorder struct {
	messages chan any
	pings    chan Ping
}

func (h recorder) MessageReceived()            {}
func (h recorder) Ping(ping Ping)              { h.pings <- ping }
func (h recorder) Worker(record worker.Record) { h.messages <- record }
func (h recorder) Load(handled uint64, load runner.Load) {
	h.messages <- runner.SendLoad{Handled: handled, Load: load}
}
func (h recorder) Update(update runner.Update) { h.messages <- update }
func (h recorder) Offer(offer runner.Offer)    { h.messages <- offer }
func (h recorder) Crash(crash runner.Crash)    { h.messages <- crash }

func receive[T any](t *testing.T, messages <-chan T) T {
	t.Helper()
	select {
	case message := <-messages:
		return message
	case <-time.After(5 * time.Second):
		t.Fatal("no message within 5 s")
		panic("unreachable")
	}
}

// pair opens a session between an entry and an agent on the loopback interface.
func pair(t *testing.T) (*AgentConn, *Server, recorder, chan runner.Event) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	events := make(chan runner.Event, 100)
	server, closeServer := NewServer(listener, 77, new(Traffic), func(e runner.Event) { events <- e }, logging.Discard())
	t.Cleanup(closeServer)
	entry, err := Dial(context.Background(), listener.Addr().String(), Entry{Name: "entry-1", Zone: "zone-a"}, new(Traffic))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(entry.Close)
	h := recorder{messages: make(chan any, 100), pings: make(chan Ping, 100)}
	go func() { _ = entry.Serve(h) }()
	return entry, server, h, events
}

func TestMessagesArriveUnchanged(t *testing.T) {
	entry, server, h, events := pair(t)
	opened := receive(t, events).(runner.SessionOpened)
	if opened.Entry != "entry-1" || opened.Zone != "zone-a" {
		t.Fatalf("got %+v, want entry-1 of zone-a", opened)
	}
	task := runner.Task{
		Name: "j.0.0.1", Run: 3, Payload: "p", Needs: worker.Resources{CPU: 1, Memory: 2, GPU: 3}, Checkpoint: "c",
		MaxWait: time.Second, Expected: 2 * time.Second, Offer: 5, IsSuspect: true, Kind: "k", IsContained: true,
		Estimate: 3 * time.Second, Weight: 1.5, IgnoresEjection: true, KindFailureRate: 0.03,
		Urgency: runner.Urgency{HasStarted: true, Priority: 4, StartBy: clock.Now().Add(time.Minute)},
	}
	entry.Start(9, task)
	entry.Stop("j.0.0.1")
	started := receive(t, events).(runner.StartRequested)
	checkStartBy(t, &started.Task.Urgency, &task.Urgency)
	if want := (runner.StartRequested{Session: opened.Session, Number: 9, Task: task}); !reflect.DeepEqual(started, want) {
		t.Fatalf("got %+v, want %+v", started, want)
	}
	if got, want := receive(t, events), (runner.StopRequested{Session: opened.Session, Name: "j.0.0.1"}); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	reservation := runner.Reservation{
		Job: "j", Needs: worker.Resources{CPU: 1, Memory: 2, GPU: 3}, Count: 8,
		Urgency: runner.Urgency{Priority: 2, StartBy: clock.Now().Add(-time.Minute)},
		Kind:    "k", Estimate: 3 * time.Second, Weight: 0.5,
	}
	entry.Reserve(reservation)
	entry.AnswerOffer(6)
	reserved := receive(t, events).(runner.ReservationRequested)
	checkStartBy(t, &reserved.Reservation.Urgency, &reservation.Urgency)
	if want := (runner.ReservationRequested{Session: opened.Session, Reservation: reservation}); reserved != want {
		t.Fatalf("got %+v, want %+v", reserved, want)
	}
	if got, want := receive(t, events), (runner.OfferAnswered{Session: opened.Session, Offer: 6}); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	record := worker.Record{ID: "i", Service: "s", Zone: "z", Capacity: worker.Resources{CPU: 1, Memory: 2, GPU: 3}, Labels: []string{"a"}}
	load := runner.Load{Used: worker.Resources{CPU: 7}, Accepts: true, HasReservations: true, KnowsAllEnds: true, ShuttingDown: true, Slowness: 1.5, FailureRate: 0.25}
	load.IsEjected, load.Headroom = true, []shares.HeadroomBound{{LongerThan: time.Second, CPU: 4000}}
	update := runner.Update{Name: "j.0.0.1", Run: 3, Outcome: runner.OutcomeFailed, Reason: "r", Checkpoint: "c"}
	server.Send(runner.SendWorker{Session: opened.Session, Record: record})
	server.Send(runner.SendLoad{Session: opened.Session, Handled: 9, Load: load})
	server.Send(runner.SendUpdate{Session: opened.Session, Update: update})
	offer := runner.Offer{ID: 7, Job: "j", Resources: worker.Resources{CPU: 1, Memory: 2, GPU: 3}, Remaining: 4, Kind: "k", IsProbe: true}
	server.Send(runner.SendOffer{Session: opened.Session, Offer: offer})
	crash := runner.Crash{Incarnation: worker.Incarnation{ID: "i", StartedMillis: 1796280000000}, Runs: []runner.CrashedRun{
		{RunID: runner.RunID{Task: "j.0.0.1", Run: 3}}, {RunID: runner.RunID{Task: "j.0.0.2", Run: 1}, WasRunning: true, IsLatest: true},
	}}
	server.Send(runner.SendCrash{Session: opened.Session, Crash: crash})
	for _, want := range []any{record, runner.SendLoad{Handled: 9, Load: load}, update, offer, crash} {
		if got := receive(t, h.messages); !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	}
}

// checkStartBy checks that StartBy arrived within the resolution of the protocol, and then sets it to the expected value for the comparison
// that follows.
func checkStartBy(t *testing.T, got, want *runner.Urgency) {
	t.Helper()
	if off := got.StartBy.Sub(want.StartBy); off < -2*time.Millisecond || off > 5*time.Second {
		t.Errorf("StartBy is off by %s", off)
	}
	got.StartBy = want.StartBy
}

func TestPongCarriesTimeOfPing(t *testing.T) {
	conn, server, entrySide, events := pair(t)
	opened := receive(t, events).(runner.SessionOpened)
	sent := clock.Now().Add(-time.Minute)
	server.Send(runner.SendPing{Session: opened.Session, Time: sent})
	ping := receive(t, entrySide.pings)
	if ping.Incarnation != 77 {
		t.Errorf("incarnation %d, want 77", ping.Incarnation)
	}
	conn.EchoPing(ping.Time)
	pong := receive(t, events).(runner.PongReceived)
	if pong.Session != opened.Session || !pong.Sent.Equal(sent) {
		t.Fatalf("got %+v, want a pong of %s", pong, sent)
	}
}

func TestClosedSessionIsReported(t *testing.T) {
	entry, server, _, events := pair(t)
	opened := receive(t, events).(runner.SessionOpened)
	entry.Close()
	if got := receive(t, events); got != (runner.SessionClosed{Session: opened.Session}) {
		t.Fatalf("%+v", got)
	}
	// Messages on a closed session are dropped.
	server.Send(runner.SendPing{Session: opened.Session, Time: clock.Now()})
}

func TestSessionWithUnreadMessagesIsClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	entry, err := Dial(context.Background(), listener.Addr().String(), Entry{Name: "entry-1", Zone: "zone-a"}, new(Traffic))
	if err != nil {
		t.Fatal(err)
	}
	payload := string(make([]byte, 4000))
	for range 20 * stream.QueueSize {
		entry.Start(1, runner.Task{Name: "t", Payload: payload})
	}
	select {
	case <-entry.connection.Closed():
	case <-time.After(10 * time.Second):
		t.Fatal("the session is still open")
	}
}

func TestMessagesStaySmall(t *testing.T) {
	ping := &sessionpb.FromAgent{Message: &sessionpb.FromAgent_Ping{Ping: &sessionpb.Ping{Time: int64(24 * time.Hour)}}}
	load := packLoad(100_000, runner.Load{Used: worker.Resources{CPU: 32_000, Memory: 1024}, Accepts: true, Slowness: 1, FailureRate: 0.1})
	start := packStart(100_000, runner.Task{
		Name: "5c0e7a21d94b36f8.0.1.17", Run: 1, Payload: string(make([]byte, 100)),
		Needs: worker.Resources{CPU: 3100, Memory: 64}, Expected: 200 * time.Millisecond, Offer: 100_000,
		Urgency: runner.Urgency{Priority: 1, StartBy: clock.Now().Add(100 * time.Millisecond)},
	})
	reserve := packReservation(runner.Reservation{
		Job: "5c0e7a21d94b36f8", Needs: worker.Resources{CPU: 3100, Memory: 64}, Count: 8,
		Urgency: runner.Urgency{Priority: 1, StartBy: clock.Now().Add(100 * time.Millisecond)},
	})
	offer := packOffer(runner.Offer{ID: 100_000, Job: "5c0e7a21d94b36f8", Resources: worker.Resources{CPU: 24_800, Memory: 512}, Remaining: 1})
	update := packUpdate(runner.Update{Name: "5c0e7a21d94b36f8.0.1.17", Run: 1, Outcome: runner.OutcomeDone})
	for name, c := range map[string]struct {
		message proto.Message
		most    int
	}{"ping": {ping, 12}, "load": {load, 26}, "start": {start, 160}, "update": {update, 36}, "reserve": {reserve, 36}, "offer": {offer, 36}} {
		size := proto.Size(c.message)
		t.Logf("%s: %d bytes", name, size)
		if size > c.most {
			t.Errorf("a %s has %d bytes, more than %d", name, size, c.most)
		}
	}
}
