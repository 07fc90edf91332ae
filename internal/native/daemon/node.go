// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

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

	"sailhead/internal/logging"
	"sailhead/internal/metric"
	"sailhead/internal/native/gossip"
	"sailhead/internal/native/keyvalue"
	"sailhead/internal/native/membership"
	"sailhead/internal/native/ownership"
	"sailhead/internal/native/peer"
	"sailhead/internal/settings"
	"sailhead/internal/timeline"
)

// ErrRemoved is the error of a process that the roster lists as dead. It has to restart as a new incarnation.
var ErrRemoved = errors.New("daemon: the process was removed from the roster")

// rosterRetentions is how long the roster keeps a removed member, in retentions of the ownership tables, so that records
// that name the member still lead to its heir. The random schedules of package ownership use the same factor.
const rosterRetentions = 2

// messagesPerCall is what a call to a peer adds to the counts of messages: the request and its answer.
const messagesPerCall = 2

// node is the common part of entries and agents.
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
	// ping exchanges gossip with a process, to check that it answers.
	ping     func(ctx context.Context, address string) error
	listener net.Listener
	// removed is closed when the roster lists the process as dead.
	removed  chan struct{}
	cleanups []func()
	duties   sync.WaitGroup
	context  context.Context
	cancel   context.CancelFunc
}

// newNode binds the peer address and makes the common parts. It starts no goroutine.
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

// connect makes the clients of the peers and the platform, and what uses them.
func (n *node) connect() {
	client, closePeers := peer.NewClient()
	store, closePlatform := keyvalue.NewClient(string(n.settings.PlatformAddress), n.settings.PlatformTimeout)
	n.client = client
	n.cleanups = append(n.cleanups, closePlatform, closePeers)
	n.exchanger = gossip.NewExchanger(n.state, client, n.self.ID, n.self.Address, n.settings.SeedAddresses(), n.metrics, n.part("gossip"))
	n.ping = n.exchanger.ExchangeWith
	n.exchanger.Heard = n.liveness.Heard
	times := membership.Times{Retention: rosterRetentions * n.limits(0).Retention(), ListLag: n.settings.ListLag}
	n.membership = membership.New(n.self, n.settings.Region, store, n.state, times, n.metrics, n.part("membership"))
	n.state.Watch(gossip.Watchers{Roster: n.handleRoster, Configuration: n.handleConfiguration})
}

// limits returns the bounds of the ownership tables.
func (n *node) limits(entries int) ownership.Limits {
	return ownership.Limits{Window: n.settings.Window, Skew: n.settings.Skew, Entries: entries}
}

// part returns the logger of one part of the process.
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
		n.readPlatform(ctx)
		// Join fails only when the context ends, which is when the process stops.
		_ = n.membership.Join(ctx)
	})
	n.timeline.Add(timeline.Event{Kind: timeline.ProcessStarted, Task: timeline.NoTask, Detail: string(n.self.ID)})
}

// close stops the duties, waits for them and runs the clean-ups.
func (n *node) close() {
	n.cancel()
	n.duties.Wait()
	for _, cleanup := range n.cleanups {
		cleanup()
	}
}

// Removed is closed when the roster lists the process as dead.
func (n *node) Removed() <-chan struct{} {
	return n.removed
}

// Metrics returns the counters of the process.
func (n *node) Metrics() *metric.Set {
	return n.metrics
}

// Knows reports whether the process has the configuration in this version or a later one, and a settled roster of at
// least as many listed members.
func (n *node) Knows(version, members int) bool {
	roster := n.state.Roster()
	listed := len(roster.Listed(ownership.RoleEntry)) + len(roster.Listed(ownership.RoleAgent))
	return n.state.Configuration().Version >= uint64(version) && listed >= members && roster.IsSettled()
}
