// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package session

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/session/sessionpb"
)

// Server is the agent's end of all its sessions.
type Server struct {
	listener net.Listener
	post     func(runner.Event)
	// incarnation is that of the agent's process, as entries know it.
	incarnation int64
	// started is the origin of the times in pings.
	started time.Time
	next    atomic.Uint64
	mu      sync.Mutex
	open    map[runner.SessionID]*connection
}

// NewServer takes sessions on the listener for a process of an incarnation and posts what entries say as events. The
// clean-up ends all sessions.
func NewServer(listener net.Listener, incarnation int64, post func(runner.Event)) (*Server, func()) {
	s := &Server{listener: listener, post: post, incarnation: incarnation, started: time.Now(), open: make(map[runner.SessionID]*connection)}
	go s.accept()
	return s, s.close
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(newConnection(conn))
	}
}

func (s *Server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.open {
		c.close()
	}
}

func (s *Server) serve(c *connection) {
	id := runner.SessionID(s.next.Add(1))
	s.mu.Lock()
	s.open[id] = c
	s.mu.Unlock()
	_ = read(c, func(m *sessionpb.FromEntry) { s.handle(id, m) })
	s.mu.Lock()
	delete(s.open, id)
	s.mu.Unlock()
	s.post(runner.SessionClosed{Session: id})
}

func (s *Server) handle(id runner.SessionID, m *sessionpb.FromEntry) {
	switch message := m.Message.(type) {
	case *sessionpb.FromEntry_Hello:
		s.post(runner.SessionOpened{Session: id, Entry: message.Hello.Entry})
	case *sessionpb.FromEntry_Pong:
		s.post(runner.PongReceived{Session: id, Sent: s.started.Add(time.Duration(message.Pong.Time))})
	case *sessionpb.FromEntry_Start:
		s.post(runner.StartRequested{Session: id, Number: message.Start.Number, Task: unpackStart(message.Start)})
	case *sessionpb.FromEntry_Noted:
		s.post(runner.EndAcknowledged{Name: message.Noted.Task, Run: message.Noted.Run})
	case *sessionpb.FromEntry_Stop:
		s.post(runner.StopRequested{Session: id, Name: message.Stop.Task})
	}
}

// Send sends an effect to its entry; effects of other kinds are left alone.
func (s *Server) Send(effect runner.Effect) {
	switch e := effect.(type) {
	case runner.SendPing:
		ping := &sessionpb.Ping{Time: int64(e.Time.Sub(s.started)), Incarnation: s.incarnation}
		s.send(e.Session, &sessionpb.FromAgent{Message: &sessionpb.FromAgent_Ping{Ping: ping}})
	case runner.SendWorker:
		s.send(e.Session, packWorker(e.Record))
	case runner.SendLoad:
		s.send(e.Session, packLoad(e.Handled, e.Load))
	case runner.SendUpdate:
		s.send(e.Session, packUpdate(e.Update))
	case runner.CloseSession:
		if c := s.connection(e.Session); c != nil {
			c.close()
		}
	}
}

func (s *Server) send(id runner.SessionID, message *sessionpb.FromAgent) {
	if c := s.connection(id); c != nil {
		c.send(message)
	}
}

func (s *Server) connection(id runner.SessionID) *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open[id]
}
