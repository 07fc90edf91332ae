// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package handover

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"sailhead/internal/clock"
	"sailhead/internal/dispatch"
	"sailhead/internal/handover/handoverpb"
	"sailhead/internal/stream"
)

const (
	// Path is the HTTP path at which connections are opened.
	Path = "/handover"
	// protocol is the value of the Upgrade header.
	protocol = "sailhead-handover"
)

// LocalEntry is the entry to which a server submits jobs from other entries.
type LocalEntry interface {
	// Submit returns the final answer to a job. If the context is cancelled first, the job is cancelled.
	Submit(ctx context.Context, job dispatch.Job) dispatch.Answer
}

// Server accepts jobs from other entries.
type Server struct {
	local      LocalEntry
	logger     log.Logger
	goroutines sync.WaitGroup

	mu       sync.Mutex
	open     map[*inboundConn]bool
	isClosed bool
}

// answerTimeout is how long the clean-up waits for answers of the local entry. It is short because a stopped entry answers at once.
const answerTimeout = 20 * time.Millisecond

// NewServer returns a server that handles requests for Path and submits jobs to the local entry. The clean-up must be called after the local
// entry has stopped. It sends the remaining answers, closes all connections, cancels the unanswered jobs, and returns when all goroutines of
// the server have ended.
func NewServer(local LocalEntry, logger log.Logger) (*Server, func()) {
	s := &Server{local: local, logger: logger, open: make(map[*inboundConn]bool)}
	return s, s.close
}

// close finishes all connections and waits for the server's goroutines.
func (s *Server) close() {
	s.mu.Lock()
	s.isClosed = true
	for r := range s.open {
		s.goroutines.Go(r.finish)
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

// ServeHTTP upgrades a connection to the hand-over protocol and serves it in another goroutine until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") != protocol {
		http.Error(w, "use the protocol "+protocol, http.StatusUpgradeRequired)
		return
	}
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		http.Error(w, "the connection cannot change its protocol", http.StatusInternalServerError)
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		http.Error(w, "the connection cannot change its protocol", http.StatusInternalServerError)
		return
	}
	if err := acceptProtocol(conn); err != nil || !s.add(conn) {
		// Either the peer has disconnected or this process is stopping; closing the connection is sufficient notice for the peer.
		_ = conn.Close()
	}
}

// add starts a goroutine that serves a connection. It returns false if the server is closed.
func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &inboundConn{local: s.local, conn: stream.New(conn, uncounted{}), ctx: ctx, cancel: make(map[uint64]context.CancelFunc)}
	s.open[r] = true
	s.goroutines.Go(func() {
		defer cancel()
		s.serve(r, conn.RemoteAddr())
	})
	return true
}

// acceptProtocol sends the response to the upgrade request, and clears the deadlines set by the HTTP server.
func acceptProtocol(conn net.Conn) error {
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return err
	}
	_, err := conn.Write([]byte("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n"))
	return err
}

// inboundConn is a connection on which another entry hands jobs over.
type inboundConn struct {
	local LocalEntry
	conn  *stream.Connection
	alive liveness
	ctx   context.Context
	// submits counts the calls of Submit that have not returned.
	submits sync.WaitGroup
	mu      sync.Mutex
	cancel  map[uint64]context.CancelFunc
	// unconfirmed are the jobs that are not submitted yet; see confirmation.go.
	unconfirmed []unconfirmedJob
	// pingedAt is when the ping was sent whose echo is to confirm them, zero if none is awaited.
	pingedAt time.Time
	// isStopping is set once no further jobs are accepted.
	isStopping bool
	// The reading goroutine alone uses the fields below. hasInvalidMessage is set once an invalid message was received.
	hasInvalidMessage bool
	// senderEchoes is set if the sender echoes pings, and echoedAt is when the latest ping that it has echoed was sent.
	senderEchoes bool
	echoedAt     time.Time
}

// serve accepts jobs until the connection ends, and then cancels the outstanding ones.
func (s *Server) serve(r *inboundConn, address net.Addr) {
	s.goroutines.Go(func() {
		watch(r.conn, &r.alive, packPing)
	})
	// Connections that ended for other reasons are logged by the sender.
	if err := stream.Read(r.conn, r.handle); errors.Is(err, errInvalid) {
		_ = level.Error(s.logger).Log("msg", "unable to accept jobs from another entry", "address", address, "err", err)
	}
	r.dropAll()
	s.mu.Lock()
	delete(s.open, r)
	s.mu.Unlock()
	r.submits.Wait()
}

// dropAll cancels all outstanding jobs.
func (r *inboundConn) dropAll() {
	r.mu.Lock()
	numbers := slices.Collect(maps.Keys(r.cancel))
	r.mu.Unlock()
	for _, number := range numbers {
		r.end(number)
	}
}

// finish refuses further jobs, waits up to answerTimeout for the answers to the outstanding ones, and ends the connection once these are sent.
func (r *inboundConn) finish() {
	r.mu.Lock()
	r.isStopping = true
	r.mu.Unlock()
	r.refuseUnconfirmed()
	answered := make(chan struct{})
	go func() {
		r.submits.Wait()
		close(answered)
	}()
	select {
	case <-answered:
	case <-time.After(answerTimeout):
	}
	r.conn.Finish()
}

// errInvalid closes a connection on which an invalid message was received.
var errInvalid = errors.New("handover: invalid message")

// handle processes a message from the sender. Messages of types unknown to this version are ignored; an invalid message closes the connection.
func (r *inboundConn) handle(m *handoverpb.FromSender) {
	if r.hasInvalidMessage {
		return
	}
	if !r.senderEchoes {
		r.alive.received(clock.Now())
	}
	switch message := m.Message.(type) {
	case *handoverpb.FromSender_Job:
		if err := r.check(message.Job); err != nil {
			r.hasInvalidMessage = true
			r.conn.Close(errors.Wrap(errInvalid, err.Error()))
			return
		}
		r.take(message.Job)
	case *handoverpb.FromSender_Withdrawal:
		r.end(message.Withdrawal.Number)
	case *handoverpb.FromSender_Echo:
		r.echoed(message.Echo.Time)
	}
}

// check validates a job and returns an error if its number is already in use.
func (r *inboundConn) check(packed *handoverpb.Job) error {
	r.mu.Lock()
	_, isKnown := r.cancel[packed.Number]
	r.mu.Unlock()
	if isKnown {
		return errors.Errorf("two jobs have the number %d", packed.Number)
	}
	return checkJob(packed)
}

// take submits a job, once its sender has confirmed it. A sender of an earlier version cannot do that.
func (r *inboundConn) take(packed *handoverpb.Job) {
	now := clock.Now()
	r.senderEchoes = r.senderEchoes || packed.EchoesPings
	ctx, ok := r.begin(packed.Number)
	if !ok {
		r.refuse(packed.Number)
		return
	}
	j := unconfirmedJob{number: packed.Number, job: unpackJob(now, packed), ctx: ctx}
	switch {
	case !r.senderEchoes:
		r.alive.began(now)
		r.submit(j)
	case r.isConfirmed(now):
		r.alive.began(r.echoedAt)
		r.submit(j)
	default:
		r.alive.began(now)
		r.awaitConfirmation(now, j)
	}
}

// refuse answers that a job was not run as the entry stops.
func (r *inboundConn) refuse(number uint64) {
	r.conn.Send(packAnswer(number, dispatch.NotRun{Reason: "the entry stops", RetryAfter: dispatch.RetryAfter, IsLocal: true}))
}

// submit submits a job and sends its answer, unless the job is cancelled first.
func (r *inboundConn) submit(j unconfirmedJob) {
	if !r.beginSubmit() {
		r.end(j.number)
		r.refuse(j.number)
		return
	}
	r.conn.Send(&handoverpb.FromReceiver{Message: &handoverpb.FromReceiver_Taken{Taken: &handoverpb.Taken{Number: j.number}}})
	go func() {
		defer r.submits.Done()
		answer := r.local.Submit(j.ctx, j.job)
		if j.ctx.Err() == nil {
			r.conn.Send(packAnswer(j.number, answer))
		}
		r.end(j.number)
	}()
}

// begin records an outstanding job; ok is false if no further jobs are accepted.
func (r *inboundConn) begin(number uint64) (ctx context.Context, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isStopping {
		return nil, false
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.cancel[number] = cancel
	return ctx, true
}

// beginSubmit counts a call of Submit, and returns false if no further jobs are accepted.
func (r *inboundConn) beginSubmit() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isStopping {
		return false
	}
	r.submits.Add(1)
	return true
}

// end cancels the context of a job. It does nothing if the job has ended already.
func (r *inboundConn) end(number uint64) {
	r.mu.Lock()
	cancel, ok := r.cancel[number]
	delete(r.cancel, number)
	r.mu.Unlock()
	if ok {
		cancel()
		r.alive.ended()
	}
}

// pingEpoch is the origin of the times in pings.
var pingEpoch = clock.Now()

// packPing returns a ping that is sent at the given time and that the sender of jobs echoes.
func packPing(now time.Time) proto.Message {
	ping := &handoverpb.Ping{Time: int64(now.Sub(pingEpoch))}
	return &handoverpb.FromReceiver{Message: &handoverpb.FromReceiver_Ping{Ping: ping}}
}

// watch sends pings while jobs are outstanding on a connection, closes it if its peer is silent, and returns once it has ended.
func watch(conn *stream.Connection, alive *liveness, ping func(now time.Time) proto.Message) {
	timer := time.NewTimer(pingInterval)
	defer timer.Stop()
	for {
		select {
		case <-conn.Closed():
			return
		case <-timer.C:
		}
		now := clock.Now()
		isActive, isSilent, next := alive.check(now)
		timer.Reset(next)
		switch {
		case isSilent:
			conn.Close(errSilent)
		case isActive:
			conn.Send(ping(now))
		}
	}
}

// uncounted is a stream.Counter that does nothing.
type uncounted struct{}

func (uncounted) Sent(proto.Message, int)     {}
func (uncounted) Received(proto.Message, int) {}
