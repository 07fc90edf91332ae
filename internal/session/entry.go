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

// dialTimeout limits the time to open a connection. It allows for a hundred round trips between availability zones, and for four attempts
// before an agent is considered lost.
const dialTimeout = 250 * time.Millisecond

// AgentHandler receives the messages of an agent on a session, from one goroutine and in order.
type AgentHandler interface {
	// MessageReceived is called for each message, before the method for its type.
	MessageReceived()
	// Ping is called with each ping of the agent. AgentConn.EchoPing must follow.
	Ping(Ping)
	// Worker is called with the record of the agent's worker when the session opens and when the record changes.
	Worker(worker.Record)
	// Load is called with the load of the worker. It includes the starts of the session up to and including number handled.
	Load(handled uint64, load runner.Load)
	// Update is called with the state of a run.
	Update(runner.Update)
	// Offer is called with resources that the agent reserves for the entry until AnswerOffer.
	Offer(runner.Offer)
	// Crash is called with a crash of the agent's worker, possibly more than once per crash.
	Crash(runner.Crash)
}

// Ping is a ping of an agent.
type Ping struct {
	// Time is when the ping was sent, in nanoseconds of the agent's clock.
	Time int64
	// Incarnation identifies the agent's process.
	Incarnation int64
}

// AgentConn is an entry's side of a session. Its methods are safe for concurrent use and, except for Serve, do not block. Messages sent after
// the session has ended are dropped.
type AgentConn struct {
	connection *stream.Connection
	// startMu keeps starts in order, as each may refer to the payload of its predecessor. It guards payload, except for mayRepeat.
	startMu sync.Mutex
	payload sentPayload
}

// Entry identifies an entry to an agent.
type Entry struct {
	Name string
	// Zone is its availability zone.
	Zone string
}

// Dial opens a session of an entry with the agent at an address of the form HOST:PORT. traffic counts its messages. Dial returns an error if the
// connection cannot be opened within 250 ms.
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

// Serve passes the agent's messages to the handler until the session ends. It returns the reason for the end, which is never nil.
func (s *AgentConn) Serve(handler AgentHandler) error {
	return stream.Read(s.connection, func(m *sessionpb.FromAgent) {
		handler.MessageReceived()
		s.handle(handler, m)
	})
}

// handle passes a message to the handler. Messages of types unknown to this version are ignored.
func (s *AgentConn) handle(handler AgentHandler, m *sessionpb.FromAgent) {
	switch message := m.Message.(type) {
	case *sessionpb.FromAgent_Ping:
		s.payload.mayRepeat.Store(message.Ping.KnowsRepeats)
		handler.Ping(Ping{Time: message.Ping.Time, Incarnation: message.Ping.Incarnation})
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

// EchoPing answers the ping that was sent at a time of the agent's clock, which extends the session's lease. It must be called after all stops
// that follow from what the entry knew when the ping arrived.
func (s *AgentConn) EchoPing(time int64) {
	s.connection.Send(&sessionpb.FromEntry{Message: &sessionpb.FromEntry_Pong{Pong: &sessionpb.Pong{Time: time}}})
}

// Start requests a run of a task. Starts are numbered consecutively within a session, from one.
func (s *AgentConn) Start(number uint64, task runner.Task) {
	start := packStart(number, task)
	s.startMu.Lock()
	defer s.startMu.Unlock()
	s.payload.omitRepeated(start)
	s.connection.Send(&sessionpb.FromEntry{Message: &sessionpb.FromEntry_Start{Start: start}})
}

// Stop requests the stop of a task, whether it is queued or running.
func (s *AgentConn) Stop(name string) {
	s.connection.Send(&sessionpb.FromEntry{Message: &sessionpb.FromEntry_Stop{Stop: &sessionpb.Stop{Task: name}}})
}

// Reserve requests resources for tasks of a job, or cancels an earlier request.
func (s *AgentConn) Reserve(reservation runner.Reservation) {
	s.connection.Send(packReservation(reservation))
}

// AnswerOffer answers an offer. It must be called after the starts that use the offer.
func (s *AgentConn) AnswerOffer(offer runner.OfferID) {
	answer := &sessionpb.OfferAnswer{Offer: uint64(offer)}
	s.connection.Send(&sessionpb.FromEntry{Message: &sessionpb.FromEntry_OfferAnswer{OfferAnswer: answer}})
}

// SendEvacuations sends the evacuated availability zones known to the entry.
func (s *AgentConn) SendEvacuations(state evacuation.State) {
	s.connection.Send(packEvacuations(state))
}

// AcknowledgeEnd reports to the agent that the end of a run has been recorded in the store.
func (s *AgentConn) AcknowledgeEnd(name string, run uint32) {
	acknowledgement := &sessionpb.EndAcknowledgement{Task: name, Run: run}
	s.connection.Send(&sessionpb.FromEntry{Message: &sessionpb.FromEntry_Noted{Noted: acknowledgement}})
}

// Close closes the session without sending the queued messages.
func (s *AgentConn) Close() {
	s.connection.Close(stream.ErrClosed)
}
