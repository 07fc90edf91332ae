// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package daemon wires the parts of a process, runs them and stops them in order.
package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"sailhead/internal/logging"
	"sailhead/internal/metric"
	"sailhead/internal/native/configuration"
	"sailhead/internal/native/gossip"
	"sailhead/internal/native/keyvalue"
	"sailhead/internal/native/membership"
	"sailhead/internal/native/ownership"
	"sailhead/internal/native/peer"
	"sailhead/internal/settings"
	"sailhead/internal/timeline"
)

// ErrRemoved says that the roster lists this process no longer, so that it must start anew.
var ErrRemoved = errors.New("daemon: the process was removed from the roster")

// learnPause lies between two readings of a platform that does not answer.
const learnPause = 300 * time.Millisecond

// node is what entries and agents have in common.
type node struct {
	settings   settings.Settings
	self       ownership.Member
	logger     log.Logger
	metrics    *metric.Set
	timeline   *timeline.Ring
	state      *gossip.State
	client     *peer.Client
	exchanger  *gossip.Exchanger
	membership *membership.Membership
	liveness   *membership.Liveness
	// ping exchanges gossip with a process to see whether it answers.
	ping     func(ctx context.Context, address string) error
	listener net.Listener
	removed  chan struct{}
	cleanups []func()
	duties   sync.WaitGroup
	context  context.Context
	cancel   context.CancelFunc
}

// newNode binds the peer address and makes the common parts; nothing runs yet.
func newNode(s settings.Settings, role ownership.Role, logger log.Logger) (*node, error) {
	listener, err := net.Listen("tcp", string(s.PeerAddress))
	if err != nil {
		return nil, errors.Wrapf(err, "daemon: unable to listen for peers at %s", s.PeerAddress)
	}
	address := listener.Addr().String()
	n := &node{
		settings: s,
		self: ownership.Member{
			ID:   ownership.MemberID(fmt.Sprintf("%s#%016x", address, rand.Uint64())),
			Name: s.Name, Address: address, Zone: s.Zone, Role: role,
		},
		logger:   log.With(logger, "node", s.Name),
		metrics:  metric.NewSet(),
		timeline: timeline.NewRing(s.Name, s.TimelineEvents, time.Now),
		state:    gossip.NewState(),
		liveness: membership.NewLiveness(time.Now),
		listener: listener,
		removed:  make(chan struct{}),
	}
	n.metrics.Publish("sailhead")
	n.context, n.cancel = context.WithCancel(context.Background())
	n.connect()
	return n, nil
}

// connect makes the clients of the peers and the platform.
func (n *node) connect() {
	client, closePeers := peer.NewClient()
	store, closePlatform := keyvalue.NewClient(string(n.settings.PlatformAddress), n.settings.PlatformTimeout)
	n.client = client
	n.cleanups = append(n.cleanups, closePlatform, closePeers)
	n.exchanger = gossip.NewExchanger(n.state, client, n.self.ID, n.self.Address, n.settings.SeedAddresses(), n.metrics, n.part("gossip"))
	n.ping = n.exchanger.ExchangeWith
	n.exchanger.Heard = n.liveness.Heard
	times := membership.Times{Retention: 2 * n.limits(0).Retention(), ListLag: n.settings.ListLag}
	n.membership = membership.New(n.self, n.settings.Region, store, n.state, times, n.metrics, n.part("membership"))
	n.state.Watch(gossip.Watchers{Roster: n.seeRoster, Configuration: n.seeConfiguration})
}

// limits returns the bounds of the ownership tables.
func (n *node) limits(entries int) ownership.Limits {
	return ownership.Limits{Window: n.settings.Window, Skew: n.settings.Skew, Entries: entries}
}

func (n *node) part(name string) log.Logger {
	return logging.Part(n.logger, name)
}

// run starts a duty: a goroutine that ends with the node's context.
func (n *node) run(duty func(context.Context)) {
	n.duties.Go(func() { duty(n.context) })
}

// runCommon starts the duties that entries and agents share.
func (n *node) runCommon() {
	n.run(func(ctx context.Context) {
		n.exchanger.Run(ctx, n.settings.GossipInterval, n.settings.GossipFanout)
	})
	n.run(func(ctx context.Context) {
		n.learn(ctx)
		_ = n.membership.Join(ctx)
	})
	n.timeline.Add(timeline.Event{Kind: timeline.ProcessStarted, Task: timeline.NoTask, Detail: string(n.self.ID)})
}

// learn reads the platform until it answers, so that no process serves under an older configuration
// than the one that was in force before it started.
func (n *node) learn(ctx context.Context) {
	for !n.refresh(ctx) {
		if sleep(ctx, learnPause) != nil {
			return
		}
	}
}

// refresh reads the platform once and reports whether it answered.
func (n *node) refresh(ctx context.Context) bool {
	if err := n.membership.Refresh(ctx); err != nil {
		n.metrics.Add(metric.PlatformFailures, 1)
		_ = level.Warn(n.logger).Log("msg", "unable to read the platform", "err", err)
		return false
	}
	return true
}

// seeRoster notices the removal of this process.
func (n *node) seeRoster(roster ownership.Roster) {
	n.timeline.Add(timeline.Event{Kind: timeline.RosterChanged, Task: timeline.NoTask, Detail: fmt.Sprintf("epoch %d revision %d", roster.Epoch, roster.Revision)})
	n.metrics.Set(metric.RosterEpoch, int64(roster.Epoch))
	n.liveness.Keep(roster)
	if self, ok := roster.MemberByID(n.self.ID); ok && self.Removal == ownership.RemovalDead {
		select {
		case <-n.removed:
		default:
			close(n.removed)
		}
	}
}

func (n *node) seeConfiguration(c configuration.Configuration) {
	n.metrics.Set(metric.ConfigVersion, int64(c.Version))
	n.timeline.Add(timeline.Event{Kind: timeline.ConfigChanged, Task: timeline.NoTask, Detail: fmt.Sprintf("version %d", c.Version)})
}

// catchUp exchanges with a peer that knows a higher epoch or a higher version of the configuration.
func (n *node) catchUp(ctx context.Context, known peer.Versions, address string) {
	if known.Epoch <= n.state.Roster().Epoch && known.Configuration <= n.state.Configuration().Version {
		return
	}
	if err := n.exchanger.ExchangeWith(ctx, address); err != nil {
		_ = level.Debug(n.logger).Log("msg", "unable to catch up", "peer", address, "err", err)
	}
}

// leavePause bounds the pause between two tries to leave.
const leavePause = 200 * time.Millisecond

// lingerTime is how long a process that has left still answers: what is on the way to it under the old
// roster is told to go elsewhere, where a closed connection would leave the outcome unknown.
const lingerTime = 500 * time.Millisecond

// leave hands the memory over and takes the process off the roster, anew each time the roster moves.
// After a failure it reopens the memory for a random pause: of two processes that leave and would hand
// over to each other, the one that pauses longer inherits.
func (n *node) leave(ctx context.Context, handOver func(context.Context) (ownership.MemberID, uint64, error), reopen func()) error {
	for {
		if !n.membership.IsListed() {
			return nil
		}
		heir, epoch, err := handOver(ctx)
		if err == nil {
			err = n.membership.Leave(ctx, heir, epoch)
		}
		if err == nil {
			_ = sleep(ctx, lingerTime)
			return nil
		}
		reopen()
		_ = level.Info(n.logger).Log("msg", "unable to leave the roster yet", "err", err)
		if sleep(ctx, rand.N(leavePause)) != nil {
			return errors.Wrap(err, "daemon: unable to leave the roster")
		}
		n.refresh(ctx)
	}
}

// close stops the duties and frees what the node holds.
func (n *node) close() {
	n.cancel()
	n.duties.Wait()
	for _, cleanup := range n.cleanups {
		cleanup()
	}
}

// watchRoster returns watchers that hear of rosters only.
func watchRoster(see func(ownership.Roster)) gossip.Watchers {
	return gossip.Watchers{Roster: see}
}

// clock is the time that the state machines are given.
func clock() time.Time {
	return time.Now()
}

// Metrics returns the counters of the process.
func (n *node) Metrics() *metric.Set {
	return n.metrics
}

// Knows reports whether the process has the configuration's version and a settled roster of so many members.
func (n *node) Knows(version, members int) bool {
	roster := n.state.Roster()
	listed := len(roster.Listed(ownership.RoleEntry)) + len(roster.Listed(ownership.RoleAgent))
	return n.state.Configuration().Version >= uint64(version) && listed >= members && roster.IsSettled()
}
