// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"sailhead/internal/native/caller"
	"sailhead/internal/native/gossip"
	"sailhead/internal/native/ownership"
	"sailhead/internal/native/peer"
	"sailhead/internal/native/peer/peerpb"
	"sailhead/internal/settings"
)

// Entry accepts jobs from callers and forwards each to its owner.
type Entry struct {
	*node
	// mu guards forwarder.
	mu        sync.Mutex
	forwarder *ownership.Forwarder
	// epochs has the latest epoch that this entry has to acknowledge.
	epochs   chan uint64
	stopping atomic.Bool
	// open counts the submissions and relays that have no answer yet.
	open          atomic.Int64
	callerAddress string
	stopCallers   func(context.Context) error
	stopPeers     func(context.Context) error
}

// expireInterval is the time between two ticks of the ownership tables, which remove what has expired.
const expireInterval = time.Second

// NewEntry starts an entry. The clean-up performs a planned stop (see shutdown.go).
func NewEntry(s settings.Settings, logger log.Logger) (entry *Entry, cleanup func() error, err error) {
	n, err := newNode(s, ownership.RoleEntry, logger)
	if err != nil {
		return nil, nil, err
	}
	e := &Entry{node: n, epochs: make(chan uint64, 1)}
	e.forwarder = ownership.NewForwarder(n.self.ID, n.limits(s.Bindings))
	n.state.Watch(gossip.Watchers{Roster: e.setRoster})
	listener, err := net.Listen("tcp", string(s.CallerAddress))
	if err != nil {
		n.close()
		return nil, nil, errors.Wrapf(err, "daemon: unable to listen for callers at %s", s.CallerAddress)
	}
	e.callerAddress = listener.Addr().String()
	e.stopPeers = peer.NewServer(n.listener, peer.Services{
		Forwarder: &forwarderService{entry: e},
		Gossip:    n.exchanger,
		Inspector: &inspector{node: n, fill: e.inspect},
	})
	e.stopCallers = caller.NewServer(listener, caller.Limits{
		MaxBody: int(s.MaxBody), MaxConnections: s.MaxConnections, ReadTimeout: s.ReadTimeout,
	}, e)
	e.runDuties()
	_ = level.Info(n.part("entry")).Log("msg", "serving callers", "address", e.callerAddress, "peers", n.self.Address)
	return e, e.stop, nil
}

// runDuties starts the goroutines of an entry.
func (e *Entry) runDuties() {
	e.runCommon()
	e.run(e.membership.WatchRoster)
	e.run(e.membership.WatchConfiguration)
	e.run(func(ctx context.Context) { e.membership.Acknowledge(ctx, e.epochs) })
	e.run(func(ctx context.Context) { e.membership.ReadList(ctx, e.settings.ListInterval) })
	e.run(e.expire)
}

// CallerAddress returns the address at which callers reach the entry.
func (e *Entry) CallerAddress() string { return e.callerAddress }

// setRoster routes by a new roster from now on, and requests that its epoch be acknowledged.
func (e *Entry) setRoster(roster ownership.Roster) {
	e.mu.Lock()
	e.forwarder.SetRoster(roster)
	e.mu.Unlock()
	self, ok := roster.MemberByID(e.self.ID)
	if !ok || !self.IsListed() || self.Acked >= roster.Epoch {
		return
	}
	// The ring has one place, and only the latest epoch matters.
	select {
	case <-e.epochs:
	default:
	}
	e.epochs <- roster.Epoch
}

// expire removes old bindings until the context ends.
func (e *Entry) expire(ctx context.Context) {
	serve[struct{}](ctx, nil, expireInterval, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.forwarder.Expire(time.Now())
	}, nil)
}

// inspect adds the entry's numbers to the answer to an operator.
func (e *Entry) inspect(response *peerpb.InspectResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	response.Submissions = uint32(e.forwarder.Len())
	response.RunningSubmissions = uint32(e.open.Load())
}
