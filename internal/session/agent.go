// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package session

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"sailhead/internal/clock"
	"sailhead/internal/logging"
	"sailhead/internal/runner"
	"sailhead/internal/session/sessionpb"
	"sailhead/internal/stream"
	"sailhead/internal/wire"
)

// failuresPerSecond limits the log lines about failed sessions. It is half the number of sessions of an agent at a large site.
const failuresPerSecond = 5

// Server is the agent's side of its sessions. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	traffic  *Traffic
	post     func(runner.Event)
	logger   log.Logger
	// incarnation identifies the agent's process. It is sent to the entries with each ping.
	incarnation atomic.Int64
	// started is the reference for the times in pings.
	started time.Time
	// lastID is the ID of the most recent session.
	lastID atomic.Uint64
	mu     sync.Mutex
	open   map[runner.SessionID]*stream.Connection
}

// NewServer accepts sessions on the listener and passes the entries' messages to post as events. The events of one session are posted in
// order. incarnation identifies the agent's process, and traffic counts the messages. The clean-up closes the listener and all sessions.
func NewServer(listener net.Listener, incarnation int64, traffic *Traffic, post func(runner.Event), logger log.Logger) (*Server, func()) {
	s := &Server{
		listener: listener, post: post, logger: logging.NewLimited(logger, failuresPerSecond),
		traffic: traffic, started: clock.Now(), open: make(map[runner.SessionID]*stream.Connection),
	}
	s.incarnation.Store(incarnation)
	go s.accept()
	return s, s.close
}

// SetIncarnation replaces the incarnation that is sent to the entries.
func (s *Server) SetIncarnation(incarnation int64) { s.incarnation.Store(incarnation) }

// acceptRetryDelay is the delay after a failed Accept, such as one with too many open files. It is shorter than the redial delay of an
// entry.
const acceptRetryDelay = 50 * time.Millisecond

// accept accepts and serves sessions until the listener is closed.
func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		switch {
		case err == nil:
			go s.serve(stream.New(conn, s.traffic))
		case errors.Is(err, net.ErrClosed):
			return
		default:
			_ = level.Error(s.logger).Log("msg", "unable to accept sessions", "address", s.listener.Addr(), "err", err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

func (s *Server) close() {
	// An error is ignored, as the listener may be closed already and the process is stopping.
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.open {
		c.Close(stream.ErrClosed)
	}
}

// serve posts the messages of a session as events, followed by SessionClosed.
func (s *Server) serve(c *stream.Connection) {
	id := runner.SessionID(s.lastID.Add(1))
	s.add(id, c)
	var payload receivedPayload
	err := stream.Read(c, func(m *sessionpb.FromEntry) { s.handle(id, &payload, m) })
	s.remove(id)
	s.logEnd(id, err)
	s.post(runner.SessionClosed{Session: id})
}

// logEnd logs why a session failed. An orderly close by either end is not a failure.
func (s *Server) logEnd(id runner.SessionID, err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, stream.ErrClosed) {
		return
	}
	_ = level.Info(s.logger).Log("msg", "session failed", "session", id, "err", err)
}

func (s *Server) add(id runner.SessionID, c *stream.Connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[id] = c
}

func (s *Server) remove(id runner.SessionID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, id)
}

// connection returns the connection of a session, or nil if it has ended.
func (s *Server) connection(id runner.SessionID) *stream.Connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open[id]
}

// handle posts a message from an entry as an event. Messages of types unknown to this version are ignored.
func (s *Server) handle(id runner.SessionID, payload *receivedPayload, m *sessionpb.FromEntry) {
	switch message := m.Message.(type) {
	case *sessionpb.FromEntry_Hello:
		s.post(runner.SessionOpened{Session: id, Entry: message.Hello.Entry, Zone: message.Hello.Zone})
	case *sessionpb.FromEntry_Pong:
		s.post(runner.PongReceived{Session: id, Sent: s.started.Add(time.Duration(message.Pong.Time))})
	case *sessionpb.FromEntry_Start:
		payload.restoreRepeated(message.Start)
		s.post(runner.StartRequested{Session: id, Number: message.Start.Number, Task: unpackStart(message.Start)})
	case *sessionpb.FromEntry_Reserve:
		s.post(runner.ReservationRequested{Session: id, Reservation: unpackReservation(message.Reserve)})
	case *sessionpb.FromEntry_OfferAnswer:
		s.post(runner.OfferAnswered{Session: id, Offer: runner.OfferID(message.OfferAnswer.Offer)})
	case *sessionpb.FromEntry_Noted:
		s.post(runner.EndAcknowledged{Name: message.Noted.Task, Run: message.Noted.Run})
	case *sessionpb.FromEntry_Evacuations:
		s.post(runner.EvacuationsReceived{State: wire.UnpackEvacuations(message.Evacuations.AsOf, message.Evacuations.Changes)})
	case *sessionpb.FromEntry_Stop:
		s.post(runner.StopRequested{Session: id, Name: message.Stop.Task})
	}
}

// Send executes an effect that concerns a session: it queues the message or closes the connection. It does not block. Effects on sessions
// that have ended, and those that concern the worker, are ignored.
func (s *Server) Send(effect runner.Effect) {
	switch e := effect.(type) {
	case runner.SendPing:
		s.send(e.Session, s.packPing(e.Time))
	case runner.SendWorker:
		s.send(e.Session, packWorker(e.Record))
	case runner.SendLoad:
		s.send(e.Session, packLoad(e.Handled, e.Load))
	case runner.SendUpdate:
		s.send(e.Session, packUpdate(e.Update))
	case runner.SendOffer:
		s.send(e.Session, packOffer(e.Offer))
	case runner.SendCrash:
		s.send(e.Session, packCrash(e.Crash))
	case runner.CloseSession:
		if c := s.connection(e.Session); c != nil {
			c.Close(stream.ErrClosed)
		}
	}
}

func (s *Server) send(id runner.SessionID, message *sessionpb.FromAgent) {
	if c := s.connection(id); c != nil {
		c.Send(message)
	}
}

func (s *Server) packPing(sent time.Time) *sessionpb.FromAgent {
	ping := &sessionpb.Ping{Time: int64(sent.Sub(s.started)), Incarnation: s.incarnation.Load(), KnowsRepeats: true}
	return &sessionpb.FromAgent{Message: &sessionpb.FromAgent_Ping{Ping: ping}}
}
