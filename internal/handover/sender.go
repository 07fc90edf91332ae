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

	"sailhead/internal/clock"
	"sailhead/internal/dispatch"
	"sailhead/internal/handover/handoverpb"
	"sailhead/internal/stream"
)

const (
	// maxLinks is the number of entries to which connections are open while jobs are handed over, and standbyLinks that at other times: an entry
	// that is late already opens connections late.
	maxLinks     = 8
	standbyLinks = 2
	// dialTimeout bounds the opening of a connection: a hundred round trips between availability zones.
	dialTimeout = 250 * time.Millisecond
	// standbyInterval is the time between two looks whether standbyLinks are open.
	standbyInterval = time.Second
	// idleTimeout is how long a connection without jobs stays open.
	idleTimeout = 10 * time.Second
)

// Handler is told what becomes of the jobs that were handed over. Its methods are called from goroutines of the sender.
type Handler interface {
	// HandOverAccepted is called when another entry, of the name given, has taken a job.
	HandOverAccepted(job string, number uint64, entry string)
	// HandOverEnded is called with the result of a job. No call with its number comes after it.
	HandOverEnded(job string, number uint64, result dispatch.HandOverResult)
}

// Peer is another entry.
type Peer struct {
	Name string
	// Address is HOST:PORT.
	Address string
}

// Sender hands jobs over to other entries. It is safe for concurrent use.
type Sender struct {
	zone    string
	handler Handler
	peers   func() []Peer
	ctx     context.Context
	duties  sync.WaitGroup

	mu    sync.Mutex
	links []*link
	// jobs has where each job is, by the numbers of the hand-overs.
	jobs map[uint64]*link
	// redials has the pauses before the next connections, by the names of the entries; see redial.go.
	redials map[string]redial
}

// link is the connection to one entry, or the attempt to open it.
type link struct {
	peer Peer
	// conn is nil until the connection is open.
	conn  *stream.Connection
	alive liveness
	// jobs are the IDs of those under way, by the numbers of the hand-overs.
	jobs map[uint64]string
	// refused is when the entry refused a job last or had too many messages to read, and used when one was handed over last.
	refused, used time.Time
}

// NewSender returns a sender of an entry in an availability zone. peers returns the entries that may get jobs. The clean-up closes all
// connections; jobs under way are lost then.
func NewSender(zone string, peers func() []Peer, handler Handler) (*Sender, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Sender{zone: zone, peers: peers, handler: handler, ctx: ctx, jobs: make(map[uint64]*link), redials: make(map[string]redial)}
	s.duties.Go(s.keepStandby)
	return s, func() {
		cancel()
		s.closeAll()
		s.duties.Wait()
	}
}

// HandOver sends a job to another entry. Each hand-over has a number of its own. HandOver does not block. It returns false if no entry may
// get the job now. It opens further connections for later jobs.
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
	// The answer is handled after this, as it needs the lock.
	l.jobs[number] = job.ID
	l.used = now
	l.alive.began(now)
	s.jobs[number] = l
	return true
}

// Withdraw ends a hand-over whose result is not needed any more.
func (s *Sender) Withdraw(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.jobs[number]
	if !ok {
		return
	}
	s.forget(l, number)
	withdrawal := &handoverpb.Withdrawal{Number: number}
	l.conn.Send(&handoverpb.FromSender{Message: &handoverpb.FromSender_Withdrawal{Withdrawal: withdrawal}})
}

// choose returns the link on which the next job goes, or nil if there is none.
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

// keepStandby keeps standbyLinks connections open until the sender is closed.
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

// openLinks opens connections to further entries, at random, up to a number of links in all.
func (s *Sender) openLinks(most int) {
	if len(s.links) >= most {
		return
	}
	now := clock.Now()
	peers := s.peers()
	rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	for _, peer := range peers {
		isLinked := slices.ContainsFunc(s.links, func(l *link) bool { return l.peer.Name == peer.Name })
		if len(s.links) >= most || isLinked || now.Before(s.redials[peer.Name].at) || s.ctx.Err() != nil {
			continue
		}
		l := &link{peer: peer, jobs: make(map[uint64]string), used: now}
		s.links = append(s.links, l)
		s.duties.Go(func() { s.serve(l) })
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
	s.duties.Go(func() {
		watch(c, &l.alive, &handoverpb.FromSender{Message: &handoverpb.FromSender_Ping{Ping: &handoverpb.Ping{}}})
	})
	s.duties.Go(func() { s.closeIdle(l, c) })
	err = stream.Read(c, func(m *handoverpb.FromReceiver) { s.handle(l, m) })
	s.lose(l, err)
}

// handle applies a message of the entry at the other end. Messages that this version does not know are ignored.
func (s *Sender) handle(l *link, m *handoverpb.FromReceiver) {
	l.alive.received(clock.Now())
	switch message := m.Message.(type) {
	case *handoverpb.FromReceiver_Taken:
		if job, ok := s.find(l, message.Taken.Number); ok {
			s.handler.HandOverAccepted(job, message.Taken.Number, l.peer.Name)
		}
	case *handoverpb.FromReceiver_Answer:
		s.answered(l, message.Answer)
	}
}

// answered passes the result of a job on.
func (s *Sender) answered(l *link, answer *handoverpb.Answer) {
	result := unpackAnswer(answer)
	s.mu.Lock()
	job, ok := l.jobs[answer.Number]
	if ok {
		s.forget(l, answer.Number)
	}
	if _, isRefused := result.(dispatch.HandOverRefused); isRefused {
		l.refused = clock.Now()
	}
	s.mu.Unlock()
	if ok {
		s.handler.HandOverEnded(job, answer.Number, result)
	}
}

// find returns the job of a number that is under way on a link.
func (s *Sender) find(l *link, number uint64) (job string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	job, ok = l.jobs[number]
	return job, ok
}

// forget removes a job that is not under way any more.
func (s *Sender) forget(l *link, number uint64) {
	delete(s.jobs, number)
	delete(l.jobs, number)
	l.alive.ended()
}

// lose reports the jobs as lost that were under way on a link whose connection has ended.
func (s *Sender) lose(l *link, cause error) {
	s.mu.Lock()
	lost := maps.Clone(l.jobs)
	for number := range lost {
		s.forget(l, number)
	}
	l.conn = nil
	s.mu.Unlock()
	for number, job := range lost {
		s.handler.HandOverEnded(job, number, dispatch.HandOverLost{Reason: fmt.Sprintf("the entry %s was lost: %s", l.peer.Name, cause)})
	}
}

// remove removes a link.
func (s *Sender) remove(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended(clock.Now(), l.peer.Name)
	s.links = slices.DeleteFunc(s.links, func(other *link) bool { return other == l })
}

// closeIdle closes the connection of a link once no job was handed over for idleTimeout, and returns when it has ended.
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
			// No further job is sent on it.
			l.conn = nil
		}
		s.mu.Unlock()
		if isIdle {
			c.Close(stream.ErrClosed)
		}
	}
}

// closeAll closes all connections.
func (s *Sender) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		if l.conn != nil {
			l.conn.Close(stream.ErrClosed)
		}
	}
}

// dial opens a connection to the server at an address.
func dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "handover: unable to reach the entry %s", address)
	}
	if err := changeProtocol(ctx, conn, address); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "handover: unable to open a connection with the entry %s", address)
	}
	return conn, nil
}

// changeProtocol asks the server to change the protocol of a connection, before the deadline of the context. The buffered reader takes no
// messages with the answer, as the server sends none before it has got a job.
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
