// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package session

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/runner"
	"sailhead/internal/session/sessionpb"
	"sailhead/internal/worker"
)

// dialTimeout bounds the opening of a connection.
const dialTimeout = 250 * time.Millisecond

// AgentHandler hears what an agent says on a session.
type AgentHandler interface {
	// MessageReceived is called for every message before the others.
	MessageReceived()
	// Incarnation tells which process of the agent the session is with.
	Incarnation(int64)
	Worker(worker.Record)
	Load(handled uint64, load runner.Load)
	Update(runner.Update)
}

// AgentConn is an entry's end of a session.
type AgentConn struct {
	connection *connection
}

// Dial opens a session with an agent in the name of an entry.
func Dial(ctx context.Context, address, entry string) (*AgentConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "session: unable to reach the agent %s", address)
	}
	s := &AgentConn{connection: newConnection(conn)}
	s.connection.send(&sessionpb.FromEntry{Message: &sessionpb.FromEntry_Hello{Hello: &sessionpb.Hello{Entry: entry}}})
	return s, nil
}

// Serve hands what the agent says to the handler until the session ends. Pings are echoed here.
func (s *AgentConn) Serve(handler AgentHandler) error {
	return read(s.connection, func(m *sessionpb.FromAgent) {
		handler.MessageReceived()
		switch message := m.Message.(type) {
		case *sessionpb.FromAgent_Ping:
			handler.Incarnation(message.Ping.Incarnation)
			s.connection.send(&sessionpb.FromEntry{Message: &sessionpb.FromEntry_Pong{Pong: &sessionpb.Pong{Time: message.Ping.Time}}})
		case *sessionpb.FromAgent_Worker:
			handler.Worker(unpackWorker(message.Worker))
		case *sessionpb.FromAgent_Load:
			handler.Load(message.Load.Handled, unpackLoad(message.Load))
		case *sessionpb.FromAgent_Update:
			handler.Update(unpackUpdate(message.Update))
		}
	})
}

// Start asks the agent to run a task; number counts the starts of the session.
func (s *AgentConn) Start(number uint64, task runner.Task) {
	s.connection.send(packStart(number, task))
}

// Stop asks the agent to end a task.
func (s *AgentConn) Stop(name string) {
	s.connection.send(&sessionpb.FromEntry{Message: &sessionpb.FromEntry_Stop{Stop: &sessionpb.Stop{Task: name}}})
}

// AcknowledgeEnd tells the agent that the end of a run is kept.
func (s *AgentConn) AcknowledgeEnd(name string, run uint32) {
	s.connection.send(&sessionpb.FromEntry{Message: &sessionpb.FromEntry_Noted{Noted: &sessionpb.Noted{Task: name, Run: run}}})
}

// Close ends the session at once.
func (s *AgentConn) Close() {
	s.connection.close()
}
