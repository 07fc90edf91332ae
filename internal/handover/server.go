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
	// Path is where a connection is opened, and protocol what it changes to.
	Path     = "/handover"
	protocol = "sailhead-handover"
)

// Local is the entry to which a server submits the jobs of others.
type Local interface {
	// Submit returns the final answer to a job. If the context ends first, the job is dropped.
	Submit(ctx context.Context, job dispatch.Job) dispatch.Answer
}

// Server takes jobs from other entries.
type Server struct {
	local  Local
	logger log.Logger
	duties sync.WaitGroup

	mu       sync.Mutex
	open     map[*receiving]bool
	isClosed bool
}

// answerTimeout is how long the clean-up waits for the local entry to answer: one that has stopped answers at once.
const answerTimeout = 20 * time.Millisecond

// NewServer returns a server that submits jobs to the local entry. It serves Path. The clean-up comes after the local entry has stopped: it
// sends the last answers, closes all connections, drops the jobs that the entry has not answered, and returns when nothing of the server
// runs any more.
func NewServer(local Local, logger log.Logger) (*Server, func()) {
	s := &Server{local: local, logger: logger, open: make(map[*receiving]bool)}
	return s, s.close
}

// close ends all connections.
func (s *Server) close() {
	s.mu.Lock()
	s.isClosed = true
	for r := range s.open {
		s.duties.Go(r.finish)
	}
	s.mu.Unlock()
	s.duties.Wait()
}

// ServeHTTP changes the protocol of a connection and serves it in another goroutine until it ends.
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
		// The peer is gone or the process stops, and the peer learns as much from the end of the connection.
		_ = conn.Close()
	}
}

// add serves a connection in another goroutine, unless the server is closed.
func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &receiving{local: s.local, conn: stream.New(conn, uncounted{}), ctx: ctx, cancel: make(map[uint64]context.CancelFunc)}
	s.open[r] = true
	s.duties.Go(func() {
		defer cancel()
		s.serve(r, conn.RemoteAddr())
	})
	return true
}

// acceptProtocol tells the peer that the protocol changes, and removes the deadlines of the HTTP server.
func acceptProtocol(conn net.Conn) error {
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return err
	}
	_, err := conn.Write([]byte("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n"))
	return err
}

// receiving is a connection on which jobs come.
type receiving struct {
	local Local
	conn  *stream.Connection
	alive liveness
	ctx   context.Context
	// submits are the calls of Submit that have not returned.
	submits sync.WaitGroup
	mu      sync.Mutex
	cancel  map[uint64]context.CancelFunc
	// isStopping is set once no further jobs are taken.
	isStopping bool
	// isBroken is set once a message was invalid. Only the goroutine that reads uses it.
	isBroken bool
}

// serve takes jobs until the connection ends, and drops those that are under way then.
func (s *Server) serve(r *receiving, address net.Addr) {
	s.duties.Go(func() {
		watch(r.conn, &r.alive, &handoverpb.FromReceiver{Message: &handoverpb.FromReceiver_Ping{Ping: &handoverpb.Ping{}}})
	})
	// Other reasons for the end are known to the sender, which logs them.
	if err := stream.Read(r.conn, r.handle); errors.Is(err, errInvalid) {
		_ = level.Error(s.logger).Log("msg", "unable to take jobs of another entry", "address", address, "err", err)
	}
	r.dropAll()
	s.mu.Lock()
	delete(s.open, r)
	s.mu.Unlock()
	r.submits.Wait()
}

// dropAll drops the jobs that are under way.
func (r *receiving) dropAll() {
	r.mu.Lock()
	numbers := slices.Collect(maps.Keys(r.cancel))
	r.mu.Unlock()
	for _, number := range numbers {
		r.end(number)
	}
}

// finish takes no further jobs, sends the answers of those under way that come soon, and ends the connection.
func (r *receiving) finish() {
	r.mu.Lock()
	r.isStopping = true
	r.mu.Unlock()
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

// errInvalid ends a connection whose sender sent what no entry sends.
var errInvalid = errors.New("handover: invalid message")

// handle applies a message of the sender. Messages that this version does not know are ignored; an invalid one ends the connection.
func (r *receiving) handle(m *handoverpb.FromSender) {
	if r.isBroken {
		return
	}
	r.alive.received(clock.Now())
	switch message := m.Message.(type) {
	case *handoverpb.FromSender_Job:
		if err := r.check(message.Job); err != nil {
			r.isBroken = true
			r.conn.Close(errors.Wrap(errInvalid, err.Error()))
			return
		}
		r.take(message.Job)
	case *handoverpb.FromSender_Withdrawal:
		r.end(message.Withdrawal.Number)
	}
}

// check returns an error for a job that cannot be taken.
func (r *receiving) check(packed *handoverpb.Job) error {
	r.mu.Lock()
	_, isKnown := r.cancel[packed.Number]
	r.mu.Unlock()
	if isKnown {
		return errors.Errorf("two jobs have the number %d", packed.Number)
	}
	return checkJob(packed)
}

// take submits a job and sends its answer when there is one.
func (r *receiving) take(packed *handoverpb.Job) {
	ctx, ok := r.begin(packed.Number)
	if !ok {
		r.conn.Send(packAnswer(packed.Number, dispatch.NotRun{Reason: "the entry stops", RetryAfter: dispatch.RetryAfter, IsLocal: true}))
		return
	}
	r.alive.began(clock.Now())
	r.conn.Send(&handoverpb.FromReceiver{Message: &handoverpb.FromReceiver_Taken{Taken: &handoverpb.Taken{Number: packed.Number}}})
	job := unpackJob(clock.Now(), packed)
	go func() {
		defer r.submits.Done()
		answer := r.local.Submit(ctx, job)
		if ctx.Err() == nil {
			r.conn.Send(packAnswer(packed.Number, answer))
		}
		r.end(packed.Number)
	}()
}

// begin records that a job is under way, and one more call of Submit; ok is false if no further jobs are taken.
func (r *receiving) begin(number uint64) (ctx context.Context, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isStopping {
		return nil, false
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.cancel[number] = cancel
	r.submits.Add(1)
	return ctx, true
}

// end ends a job. It does nothing if the job has ended.
func (r *receiving) end(number uint64) {
	r.mu.Lock()
	cancel, ok := r.cancel[number]
	delete(r.cancel, number)
	r.mu.Unlock()
	if ok {
		cancel()
		r.alive.ended()
	}
}

// watch pings while jobs are under way on a connection, closes it if its peer is silent, and returns once it has ended.
func watch(conn *stream.Connection, alive *liveness, ping proto.Message) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-conn.Closed():
			return
		case <-ticker.C:
		}
		isActive, isSilent := alive.check(clock.Now())
		switch {
		case isSilent:
			conn.Close(errSilent)
		case isActive:
			conn.Send(ping)
		}
	}
}

// uncounted is a counter of connections whose messages are not counted.
type uncounted struct{}

func (uncounted) Sent(proto.Message, int)     {}
func (uncounted) Received(proto.Message, int) {}
