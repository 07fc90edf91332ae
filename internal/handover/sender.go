// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package handover

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"sailhead/internal/clock"
	"sailhead/internal/dispatch"
	"sailhead/internal/handover/handoverpb"
	"sailhead/internal/stream"
)

const (
	// maxLinks is the maximum number of connections to other entries while jobs are handed over.
	maxLinks = 8
	// standbyLinks is the number of connections kept open at other times, because an overloaded entry is slow to open new ones.
	standbyLinks = 2
	// dialTimeout limits the time to open a connection. It allows for a hundred round trips between availability zones.
	dialTimeout = 250 * time.Millisecond
	// standbyInterval is the time between checks that standbyLinks connections are open.
	standbyInterval = time.Second
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 10 * time.Second
)

// Handler receives the outcomes of hand-overs. Its methods are called from goroutines of the sender.
type Handler interface {
	// HandOverAccepted is called when the named entry has accepted a job.
	HandOverAccepted(job string, number uint64, entry string)
	// HandOverEnded is called with the result of a hand-over. It is the last call with its number.
	HandOverEnded(job string, number uint64, result dispatch.HandOverResult)
	// PingReceived is called with each ping of another entry. Sender.EchoPing must follow with the same values, after the withdrawals that
	// follow from what was known when the ping arrived.
	PingReceived(link LinkID, time int64)
}

// LinkID identifies a connection of a sender to another entry.
type LinkID uint64

// Peer is another entry.
type Peer struct {
	Name string
	// Address is HOST:PORT.
	Address string
}

// Sender hands jobs over to other entries. It is safe for concurrent use.
type Sender struct {
	zone       string
	handler    Handler
	peers      func() []Peer
	ctx        context.Context
	goroutines sync.WaitGroup

	mu    sync.Mutex
	links []*link
	// lastLink is the ID of the most recent link.
	lastLink LinkID
	// jobs maps the numbers of outstanding hand-overs to their links.
	jobs map[uint64]*link
	// redials maps the names of entries to their reconnect backoff; see redial.go.
	redials map[string]redial
}

// link is the connection to one entry, or the attempt to open it.
type link struct {
	id   LinkID
	peer Peer
	// conn is nil until the connection is open.
	conn  *stream.Connection
	alive liveness
	// jobs maps the numbers of outstanding hand-overs to the IDs of their jobs.
	jobs map[uint64]string
	// refused is when the entry last refused a job or the send queue was too full for one. used is when a job was last handed over.
	refused, used time.Time
}

// NewSender returns a sender for an entry in the given availability zone. peers returns the entries to which jobs may be handed over. The
// clean-up closes all connections, and outstanding jobs are reported as lost.
func NewSender(zone string, peers func() []Peer, handler Handler) (*Sender, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Sender{zone: zone, peers: peers, handler: handler, ctx: ctx, jobs: make(map[uint64]*link), redials: make(map[string]redial)}
	s.goroutines.Go(s.keepStandby)
	return s, func() {
		cancel()
		s.closeAll()
		s.goroutines.Wait()
	}
}

// HandOver sends a job to another entry without blocking. The number must be unique for each hand-over. HandOver returns false if no entry is
// available now. It also starts opening further connections for later jobs.
func (s *Sender) HandOver(number uint64, job dispatch.Job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	s.openLinks(maxLinks)
	l := s.choose(now)
	if l == nil {
		return false
	}
	if !l.conn.TrySend(packJob(now, number, s.zone, job)) {
		l.refused = now
		return false
	}
	// The answer cannot be handled before the job is recorded, as handling it needs the lock.
	l.jobs[number] = job.ID
	l.used = now
	l.alive.began(now)
	s.jobs[number] = l
	return true
}

// Withdraw cancels a hand-over whose result is no longer needed.
func (s *Sender) Withdraw(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.jobs[number]
	if !ok {
		return
	}
	s.removeJob(l, number)
	withdrawal := &handoverpb.Withdrawal{Number: number}
	l.conn.Send(&handoverpb.FromSender{Message: &handoverpb.FromSender_Withdrawal{Withdrawal: withdrawal}})
}

// choose returns the link for the next job, or nil if none is available.
func (s *Sender) choose(now time.Time) *link {
	var open []*link
	var candidates []candidate
	for _, l := range s.links {
		if l.conn != nil {
			open = append(open, l)
			candidates = append(candidates, candidate{jobs: len(l.jobs), refused: l.refused})
		}
	}
	if i, ok := choose(now, candidates, rand.IntN); ok {
		return open[i]
	}
	return nil
}

// keepStandby maintains standbyLinks open connections until the sender is closed.
func (s *Sender) keepStandby() {
	ticker := time.NewTicker(standbyInterval)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		s.openLinks(standbyLinks)
		s.mu.Unlock()
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
	}
}

// openLinks starts opening connections to random further entries until there are limit links. The caller holds mu.
func (s *Sender) openLinks(limit int) {
	if len(s.links) >= limit {
		return
	}
	now := clock.Now()
	peers := s.peers()
	rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	for _, peer := range peers {
		isLinked := slices.ContainsFunc(s.links, func(l *link) bool { return l.peer.Name == peer.Name })
		if len(s.links) >= limit || isLinked || now.Before(s.redials[peer.Name].at) || s.ctx.Err() != nil {
			continue
		}
		s.lastLink++
		l := &link{id: s.lastLink, peer: peer, jobs: make(map[uint64]string), used: now}
		s.links = append(s.links, l)
		s.goroutines.Go(func() { s.serve(l) })
	}
}

// serve opens the connection of a link and reads from it until it ends.
func (s *Sender) serve(l *link) {
	defer s.remove(l)
	conn, err := dial(s.ctx, l.peer.Address)
	if err != nil {
		return
	}
	c := stream.New(conn, uncounted{})
	s.mu.Lock()
	l.conn = c
	s.mu.Unlock()
	if s.ctx.Err() != nil {
		c.Close(stream.ErrClosed)
	}
	s.goroutines.Go(func() {
		watch(c, &l.alive, func(time.Time) proto.Message {
			return &handoverpb.FromSender{Message: &handoverpb.FromSender_Ping{Ping: &handoverpb.Ping{}}}
		})
	})
	s.goroutines.Go(func() { s.closeIdle(l, c) })
	err = stream.Read(c, func(m *handoverpb.FromReceiver) { s.handle(l, m) })
	s.reportLost(l, err)
}

// handle processes a message from the peer. Messages of types unknown to this version are ignored.
func (s *Sender) handle(l *link, m *handoverpb.FromReceiver) {
	l.alive.received(clock.Now())
	switch message := m.Message.(type) {
	case *handoverpb.FromReceiver_Taken:
		if job, ok := s.find(l, message.Taken.Number); ok {
			s.handler.HandOverAccepted(job, message.Taken.Number, l.peer.Name)
		}
	case *handoverpb.FromReceiver_Answer:
		s.handleAnswer(l, message.Answer)
	case *handoverpb.FromReceiver_Ping:
		if message.Ping.Time != 0 {
			s.handler.PingReceived(l.id, message.Ping.Time)
		}
	}
}

// EchoPing answers a ping of another entry, which extends the lease of the jobs handed over on that link. It does nothing if the link has ended.
func (s *Sender) EchoPing(id LinkID, time int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := slices.IndexFunc(s.links, func(l *link) bool { return l.id == id })
	if at >= 0 && s.links[at].conn != nil {
		s.links[at].conn.Send(&handoverpb.FromSender{Message: &handoverpb.FromSender_Echo{Echo: &handoverpb.Echo{Time: time}}})
	}
}

// handleAnswer reports the result of a hand-over to the handler, unless the job was withdrawn.
func (s *Sender) handleAnswer(l *link, answer *handoverpb.Answer) {
	result := unpackAnswer(answer)
	s.mu.Lock()
	job, ok := l.jobs[answer.Number]
	if ok {
		s.removeJob(l, answer.Number)
	}
	if _, isRefused := result.(dispatch.HandOverRefused); isRefused {
		l.refused = clock.Now()
	}
	s.mu.Unlock()
	if ok {
		s.handler.HandOverEnded(job, answer.Number, result)
	}
}

// find returns the ID of the job with the given hand-over number on a link.
func (s *Sender) find(l *link, number uint64) (job string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	job, ok = l.jobs[number]
	return job, ok
}

// removeJob removes a job that is no longer outstanding. The caller holds mu.
func (s *Sender) removeJob(l *link, number uint64) {
	delete(s.jobs, number)
	delete(l.jobs, number)
	l.alive.ended()
}

// reportLost reports the outstanding jobs of a link whose connection has ended as lost.
func (s *Sender) reportLost(l *link, cause error) {
	s.mu.Lock()
	lost := maps.Clone(l.jobs)
	for number := range lost {
		s.removeJob(l, number)
	}
	l.conn = nil
	s.mu.Unlock()
	for number, job := range lost {
		s.handler.HandOverEnded(job, number, dispatch.HandOverLost{Reason: fmt.Sprintf("the entry %s was lost: %s", l.peer.Name, cause)})
	}
}

// remove removes a link and starts its reconnect backoff.
func (s *Sender) remove(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordDisconnect(clock.Now(), l.peer.Name)
	s.links = slices.DeleteFunc(s.links, func(other *link) bool { return other == l })
}

// closeIdle closes the connection of a link that has no outstanding jobs and no hand-over for idleTimeout, unless it is needed as standby. It
// returns when the connection has ended.
func (s *Sender) closeIdle(l *link, c *stream.Connection) {
	ticker := time.NewTicker(idleTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-c.Closed():
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		isIdle := len(s.links) > standbyLinks && len(l.jobs) == 0 && clock.Now().Sub(l.used) > idleTimeout
		if isIdle {
			// This prevents further hand-overs on the link.
			l.conn = nil
		}
		s.mu.Unlock()
		if isIdle {
			c.Close(stream.ErrClosed)
		}
	}
}

func (s *Sender) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		if l.conn != nil {
			l.conn.Close(stream.ErrClosed)
		}
	}
}

// dial opens a hand-over connection to the server at an address.
func dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "handover: unable to connect to the entry %s", address)
	}
	if err := changeProtocol(ctx, conn, address); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "handover: unable to upgrade the connection to the entry %s", address)
	}
	return conn, nil
}

// changeProtocol requests the upgrade of a connection to the hand-over protocol, within the deadline of the context. The buffered reader can
// be discarded without losing messages, as the server sends none before it has received a job.
func changeProtocol(ctx context.Context, conn net.Conn, address string) error {
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	request := "GET " + Path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n"
	if _, err := conn.Write([]byte(request)); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		return errors.Errorf("status %d", response.StatusCode)
	}
	return conn.SetDeadline(time.Time{})
}
