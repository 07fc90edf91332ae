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
	"sailhead/internal/native/ownership"
	"sailhead/internal/native/peer"
	"sailhead/internal/native/peer/peerpb"
	"sailhead/internal/settings"
	"sailhead/internal/timeline"
)

// Entry takes jobs from callers and forwards each to its owner.
type Entry struct {
	*node
	mu        sync.Mutex
	forwarder *ownership.Forwarder
	epochs    chan uint64
	stopping  atomic.Bool
	// open counts the submissions and relays that have no answer yet.
	open          atomic.Int64
	callerAddress string
	stopCallers   func(context.Context) error
	stopPeers     func(context.Context) error
}

// expireInterval is the time between two looks for what may be forgotten.
const expireInterval = time.Second

// NewEntry starts an entry. Its clean-up stops it as planned: nothing in flight is cut off.
func NewEntry(s settings.Settings, logger log.Logger) (entry *Entry, cleanup func() error, err error) {
	n, err := newNode(s, ownership.RoleEntry, logger)
	if err != nil {
		return nil, nil, err
	}
	e := &Entry{node: n, epochs: make(chan uint64, 1)}
	e.forwarder = ownership.NewForwarder(n.self.ID, n.limits(s.Bindings))
	n.state.Watch(watchRoster(e.useRoster))
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

// PeerAddress returns the address at which other processes reach the entry.
func (e *Entry) PeerAddress() string { return e.self.Address }

// Removed is closed when the roster lists the entry no longer.
func (e *Entry) Removed() <-chan struct{} { return e.removed }

// useRoster takes a roster into use and has its epoch acknowledged.
func (e *Entry) useRoster(roster ownership.Roster) {
	e.mu.Lock()
	e.forwarder.SetRoster(roster)
	e.mu.Unlock()
	self, ok := roster.MemberByID(e.self.ID)
	if !ok || !self.IsListed() || self.Acked >= roster.Epoch {
		return
	}
	select {
	case <-e.epochs:
	default:
	}
	e.epochs <- roster.Epoch
}

// expire forgets old bindings until the context ends.
func (e *Entry) expire(ctx context.Context) {
	serve[struct{}](ctx, nil, expireInterval, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.forwarder.Expire(clock())
	}, nil)
}

func (e *Entry) inspect(response *peerpb.InspectResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	response.Submissions = uint32(e.forwarder.Len())
	response.RunningSubmissions = uint32(e.open.Load())
}

// stop finishes what is in flight, hands the bindings to another entry and leaves the roster.
func (e *Entry) stop() error {
	defer e.close()
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.StopTimeout)
	defer cancel()
	e.stopping.Store(true)
	err := e.stopCallers(ctx)
	err = errors.Join(err, waitFor(ctx, "open submissions", func() bool { return e.open.Load() == 0 }))
	err = errors.Join(err, e.leave(ctx, e.handOver, e.reopen))
	err = errors.Join(err, e.stopPeers(ctx))
	e.timeline.Add(timeline.Event{Kind: timeline.ProcessStopped, Task: timeline.NoTask})
	_ = level.Info(e.part("entry")).Log("msg", "stopped", "err", err)
	return err
}

// handOver gives the bindings to the entry that joined first among the others; without another
// entry there is no heir, and what was bound here is lost.
func (e *Entry) handOver(ctx context.Context) (ownership.MemberID, uint64, error) {
	e.mu.Lock()
	bindings := e.forwarder.Close()
	roster := e.forwarder.Roster()
	e.mu.Unlock()
	var failure error
	for _, heir := range roster.Listed(ownership.RoleEntry) {
		if heir.ID == e.self.ID {
			continue
		}
		failure = e.client.HandBindings(ctx, heir, e.self.ID, bindings)
		if failure == nil {
			return heir.ID, roster.Epoch, nil
		}
	}
	return "", roster.Epoch, failure
}

// reopen lets the entry inherit from others after a hand-over that failed.
func (e *Entry) reopen() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forwarder.Reopen()
}

// waitFor looks at a condition until it holds or the context ends.
func waitFor(ctx context.Context, what string, isDone func() bool) error {
	for !isDone() {
		if err := sleep(ctx, 5*time.Millisecond); err != nil {
			return errors.Wrapf(err, "daemon: unable to wait for %s", what)
		}
	}
	return nil
}
