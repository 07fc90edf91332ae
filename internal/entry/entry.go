// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package entry runs an entry: it gives the dispatcher its goroutines and connects it with callers, agents,
// other entries and the platform's store.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"sailhead/internal/cluster"
	"sailhead/internal/dispatch"
	"sailhead/internal/durable"
	"sailhead/internal/logging"
	"sailhead/internal/metric"
	"sailhead/internal/session"
)

// Settings are what an entry needs to know.
type Settings struct {
	Name string
	Zone string
	// Peers takes the exchanges of other entries and the announcements of agents.
	Peers net.Listener
	// Seeds are entries to learn from while the store does not answer.
	Seeds []string
	// StopTimeout is the longest time of a planned stop.
	StopTimeout time.Duration
	// Ring is how many events may wait.
	Ring int
	// Jobs is the largest number of jobs under way, and as many again that must be kept.
	Jobs int
	// Durable is where the jobs lie that must be kept, and StoreWrites how many writes a second all entries may make there.
	Durable     DurableStore
	StoreWrites int
}

// Configurations checks the operators' configuration.
type Configurations interface {
	// Accept reads a document, and takes it into use if it is newer than the one in use.
	Accept(document []byte) (version uint64, err error)
}

const (
	tickInterval = 10 * time.Millisecond
	// stopMargin is kept of the time to stop for the end of the process.
	stopMargin = 400 * time.Millisecond
)

// Entry is a running entry.
type Entry struct {
	settings       Settings
	self           cluster.Member
	directory      *cluster.Directory
	exchanger      *cluster.Exchanger
	configurations Configurations
	store          Store
	dependencies   *dependencies
	successes      log.Logger
	others         log.Logger
	answerTimes    *metric.Times
	queueTimes     *metric.Times
	dispatcher     *dispatch.Dispatcher
	coordinator    *durable.Coordinator
	peers          *durable.Client
	logger         log.Logger
	metrics        *metric.Set
	events         chan dispatch.Event
	durableEvents  chan durable.Event
	context        context.Context
	cancel         context.CancelFunc
	duties         sync.WaitGroup
	shuttingDown   atomic.Bool
	seeds          atomic.Pointer[[]string]

	// The requests that wait for an answer of the event loop, by what they wait for.
	jobWaiters       *waiters[dispatch.Waiter, dispatch.Answer]
	stateWaiters     *waiters[dispatch.Waiter, dispatch.JobState]
	cancelWaiters    *waiters[dispatch.Waiter, bool]
	durableWaiters   *waiters[durable.Waiter, durable.Answer]
	pendingWaiters   *waiters[durable.Waiter, durable.PendingReply]
	surrenderWaiters *waiters[durable.Waiter, durable.SurrenderReply]

	mu sync.Mutex
	// durableWaiters are the requests that wait for the keeper; claims and ownerAddresses tell who owns the shards, and
	// keptSeen that jobs that must be kept were ever known.
	claims         [durable.Shards]*durable.Claim
	ownerAddresses []string
	durableSeen    bool
	// lastStoreUpdate is when the store last told its changes.
	lastStoreUpdate time.Time
	sessions        map[dispatch.AgentID]*agentSession
	agents          int
	jobs            int
	shards          int
}

// New starts an entry. The clean-up ends it at once; Leave comes before.
func New(settings Settings, configurations Configurations, store Store, logger log.Logger, metrics *metric.Set) (*Entry, func()) {
	e := &Entry{
		settings: settings, configurations: configurations, store: store, metrics: metrics,
		logger: logging.Part(logger, "entry"),
		self: cluster.Member{
			Name: settings.Name, Role: cluster.RoleEntry, Zone: settings.Zone,
			Address: settings.Peers.Addr().String(), Incarnation: time.Now().UnixNano(),
		},
		directory:     cluster.NewDirectory(),
		dispatcher:    dispatch.New(dispatch.Limits{Jobs: settings.Jobs}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		events:        make(chan dispatch.Event, settings.Ring),
		durableEvents: make(chan durable.Event, settings.Ring),
		sessions:      make(map[dispatch.AgentID]*agentSession),

		jobWaiters:       newWaiters[dispatch.Waiter, dispatch.Answer](),
		stateWaiters:     newWaiters[dispatch.Waiter, dispatch.JobState](),
		cancelWaiters:    newWaiters[dispatch.Waiter, bool](),
		durableWaiters:   newWaiters[durable.Waiter, durable.Answer](),
		pendingWaiters:   newWaiters[durable.Waiter, durable.PendingReply](),
		surrenderWaiters: newWaiters[durable.Waiter, durable.SurrenderReply](),
	}
	e.coordinator = e.newCoordinator()
	owners, closeOwners := durable.NewClient()
	e.peers = owners
	e.dependencies = newDependencies(e.logger)
	e.successes = logging.NewLimited(level.Info(e.logger), successLines)
	e.others = logging.NewLimited(level.Info(e.logger), otherLines)
	e.answerTimes = metrics.Times("answer_time")
	e.queueTimes = metrics.Times("queue_time")
	e.SetSeeds(settings.Seeds)
	e.context, e.cancel = context.WithCancel(context.Background())
	exchanger, closeExchanger := cluster.NewExchanger(e.directory, configurations.Accept)
	e.exchanger = exchanger
	closePeers := servePeers(settings.Peers, exchanger, e)
	e.directory.AddMember(e.self)
	for _, duty := range []func(){e.run, e.connect, e.watchLiveness, e.followStore, e.register, e.exchange} {
		e.duties.Go(duty)
	}
	_ = level.Info(e.logger).Log("msg", "serving peers", "address", e.self.Address)
	return e, func() {
		e.cancel()
		closePeers()
		closeExchanger()
		closeOwners()
		e.duties.Wait()
	}
}

// SetSeeds takes other entries to learn from into use.
func (e *Entry) SetSeeds(seeds []string) {
	e.seeds.Store(&seeds)
}

// Knows reports whether so many entries are known, this one among them.
func (e *Entry) Knows(entries int) bool {
	return len(e.directory.Members(cluster.RoleEntry)) >= entries
}

// run is the duty that decides.
func (e *Entry) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	events := make([]dispatch.Event, 0, batchSize)
	for {
		events = events[:0]
		var kept durable.Event
		select {
		case <-e.context.Done():
			return
		case event := <-e.events:
			events = e.gather(append(events, event))
		case kept = <-e.durableEvents:
		case <-ticker.C:
			events = append(events, dispatch.Ticked{})
			kept = durable.Ticked{DurableRuns: e.dispatcher.DurableRuns(time.Now())}
		}
		// A process that was frozen gives up what it may own no longer before it acts on what waits.
		e.applyDurable(e.coordinator.Expire(time.Now()))
		if len(events) > 0 {
			e.dispatch(events...)
		}
		if kept != nil {
			e.handleDurable(kept)
		}
		if kept != nil && e.coordinator.IsActive() {
			e.publishOwners()
		}
		e.publish()
	}
}

// dispatch gives the dispatcher events and does what it wants done.
func (e *Entry) dispatch(events ...dispatch.Event) {
	for _, effect := range e.dispatcher.Handle(time.Now(), events...) {
		e.apply(effect)
	}
}

// batchSize is the largest number of events that are handled together.
const batchSize = 64

// gather adds the events that wait in the ring, up to the size of a batch.
func (e *Entry) gather(events []dispatch.Event) []dispatch.Event {
	for len(events) < batchSize {
		select {
		case event := <-e.events:
			events = append(events, event)
		default:
			return events
		}
	}
	return events
}

// publish lets other goroutines see the dispatcher's counts.
func (e *Entry) publish() {
	jobs, _, agents := e.dispatcher.Counts()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.jobs != jobs || e.agents != agents {
		e.metrics.Set(metric.JobsOpen, int64(jobs))
		e.metrics.Set(metric.Agents, int64(agents))
	}
	e.jobs = jobs
	e.agents = agents
	e.shards, _ = e.coordinator.Counts()
}

// apply does what the dispatcher wants done.
func (e *Entry) apply(effect dispatch.Effect) {
	switch ev := effect.(type) {
	case dispatch.Reply:
		for _, waiter := range ev.Waiters {
			e.jobWaiters.answer(waiter, ev.Answer)
		}
	case dispatch.StateReply:
		e.stateWaiters.answer(ev.Waiter, ev.State)
	case dispatch.CancelReply:
		e.cancelWaiters.answer(ev.Waiter, ev.Known)
	case dispatch.StartTask:
		if s := e.session(ev.Agent); s != nil {
			s.Start(ev.Number, ev.Task)
		}
	case dispatch.StopTask:
		if s := e.session(ev.Agent); s != nil {
			s.Stop(ev.Name)
		}
	case dispatch.RecordEnd:
		e.handleDurable(durable.TaskEnded{Agent: ev.Agent, Update: ev.Update})
	case dispatch.DurableBegun:
		e.handleDurable(durable.JobBegun{Job: ev.Job})
	case dispatch.DecisionMade:
		e.log(ev)
	}
}

func (e *Entry) session(id dispatch.AgentID) *session.AgentConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.sessions[id]; ok {
		return s.toAgent
	}
	return nil
}

func (e *Entry) post(event dispatch.Event) {
	select {
	case e.events <- event:
	case <-e.context.Done():
	}
}
