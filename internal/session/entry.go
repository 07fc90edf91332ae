// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package session

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/evacuation"
	"sailhead/internal/runner"
	"sailhead/internal/session/sessionpb"
	"sailhead/internal/stream"
	"sailhead/internal/worker"
)

// dialTimeout bounds the opening of a connection: a hundred round trips between availability zones, and four attempts in the time after
// which an agent counts as lost.
const dialTimeout = 250 * time.Millisecond

// AgentHandler receives the messages of an agent on a session, from one goroutine and in order.
type AgentHandler interface {
	// MessageReceived is called for every message, before the method for its type.
	MessageReceived()
	// Incarnation is called with each ping; the value identifies the agent's process.
	Incarnation(int64)
	// Worker is called with the record of the agent's worker when the session opens and when the record changes.
	Worker(worker.Record)
	// Load is called with the load of the worker. It includes the starts of the session up to the number handled.
	Load(handled uint64, load runner.Load)
	// Update is called with the state of a run.
	Update(runner.Update)
	// Offer is called with resources that the agent keeps for the entry until AnswerOffer.
	Offer(runner.Offer)
	// Crash is called with a crash of the agent's worker, more than once for one crash.
	Crash(runner.Crash)
}

// AgentConn is an entry's end of a session. Its methods do not block, except Serve, and are safe for concurrent use.
// What is sent after the session has ended is dropped.
type AgentConn struct {
	connection *stream.Connection
	// starting orders the starts, as each may refer to the one before. It guards payload but for mayRepeat.
	starting sync.Mutex
	payload  sentPayload
}

// Entry is what an entry tells an agent of itself.
type Entry struct {
	Name string
	// Zone is its availability zone.
	Zone string
}

// Dial opens a session of an entry with the agent at an address, HOST:PORT. traffic counts its messages. It returns an error if the connection
// is not open within 250 ms.
func Dial(ctx context.Context, address string, entry Entry, traffic *Traffic) (*AgentConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "session: unable to reach the agent %s", address)
	}
	s := &AgentConn{connection: stream.New(conn, traffic)}
	s.connection.Send(&sessionpb.FromEntry{Message: &sessionpb.FromEntry_Hello{Hello: &sessionpb.Hello{Entry: entry.Name, Zone: entry.Zone}}})
	return s, nil
}

// Serve passes the agent's messages to the handler and answers its pings until the session ends. It always returns an
// error: the reason for the end.
func (s *AgentConn) Serve(handler AgentHandler) error {
	return stream.Read(s.connection, func(m *sessionpb.FromAgent) {
		handler.MessageReceived()
		s.handle(handler, m)
	})
}

// handle passes a message to the handler. Messages that this version does not know are ignored.
func (s *AgentConn) handle(handler AgentHandler, m *sessionpb.FromAgent) {
	switch message := m.Message.(type) {
	case *sessionpb.FromAgent_Ping:
		handler.Incarnation(message.Ping.Incarnation)
		s.payload.mayRepeat.Store(message.Ping.KnowsRepeats)
		s.connection.Send(&sessionpb.FromEntry{Message: &sessionpb.FromEntry_Pong{Pong: &sessionpb.Pong{Time: message.Ping.Time}}})
	case *sessionpb.FromAgent_Worker:
		handler.Worker(unpackWorker(message.Worker))
	case *sessionpb.FromAgent_Load:
		handler.Load(message.Load.Handled, unpackLoad(message.Load))
	case *sessionpb.FromAgent_Update:
		handler.Update(unpackUpdate(message.Update))
	case *sessionpb.FromAgent_Offer:
		handler.Offer(unpackOffer(message.Offer))
	case *sessionpb.FromAgent_Crash:
		handler.Crash(unpackCrash(message.Crash))
	}
}

// Start requests a run of a task. number counts the starts of the session from one.
func (s *AgentConn) Start(number uint64, task runner.Task) {
	start := packStart(number, task)
	s.starting.Lock()
	defer s.starting.Unlock()
	s.payload.shorten(start)
	s.connection.Send(&sessionpb.FromEntry{Message: &sessionpb.FromEntry_Start{Start: start}})
}

// Stop requests the stop of a task, whether it is queued or running.
func (s *AgentConn) Stop(name string) {
	s.connection.Send(&sessionpb.FromEntry{Message: &sessionpb.FromEntry_Stop{Stop: &sessionpb.Stop{Task: name}}})
}

// Reserve asks for resources for tasks of a job, or cancels an earlier request.
func (s *AgentConn) Reserve(reservation runner.Reservation) {
	s.connection.Send(packReservation(reservation))
}

// AnswerOffer answers an offer, after the starts that use it.
func (s *AgentConn) AnswerOffer(offer runner.OfferID) {
	answer := &sessionpb.OfferAnswer{Offer: uint64(offer)}
	s.connection.Send(&sessionpb.FromEntry{Message: &sessionpb.FromEntry_OfferAnswer{OfferAnswer: answer}})
}

// SendEvacuations tells the agent what the entry knows of the evacuated availability zones.
func (s *AgentConn) SendEvacuations(state evacuation.State) {
	s.connection.Send(packEvacuations(state))
}

// AcknowledgeEnd reports to the agent that the end of a run has been recorded in the store.
func (s *AgentConn) AcknowledgeEnd(name string, run uint32) {
	acknowledgement := &sessionpb.EndAcknowledgement{Task: name, Run: run}
	s.connection.Send(&sessionpb.FromEntry{Message: &sessionpb.FromEntry_Noted{Noted: acknowledgement}})
}

// Close closes the session without sending the messages that wait.
func (s *AgentConn) Close() {
	s.connection.Close(stream.ErrClosed)
}
