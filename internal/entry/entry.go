// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

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

	"sailhead/internal/clock"
	"sailhead/internal/cluster"
	"sailhead/internal/dispatch"
	"sailhead/internal/durable"
	"sailhead/internal/handover"
	"sailhead/internal/logging"
	"sailhead/internal/metric"
	"sailhead/internal/session"
)

// Settings are the options of an entry.
type Settings struct {
	Name string
	// Zone is the availability zone of the entry's VM.
	Zone string
	// Peers listens for the exchanges and requests of other entries and the announcements of agents.
	Peers net.Listener
	// Seeds are addresses of entries to exchange with while the store does not answer.
	Seeds []string
	// StopTimeout is the longest time of a planned stop.
	StopTimeout time.Duration
	// Ring is how many events may wait in each of the event loop's two rings.
	Ring int
	// Jobs is the largest number of jobs under way, and of durable jobs as many again.
	Jobs int
	// ContainKinds is set if kinds of which jobs crash workers are confined to some workers.
	ContainKinds bool
	// CrossRackFactor is by how many times a task takes longer on a worker of another rack than that of its data.
	CrossRackFactor float64
	// HandOver is set if jobs are handed over to other entries when this one does not keep up or stops.
	HandOver bool
	// ShareLearned is set if what entries learn of kinds is shared.
	ShareLearned bool
	// EjectWorkers is set if ejected workers get no tasks but probes.
	EjectWorkers bool
	// ForecastAdmission is set if jobs are refused on arrival that would wait too long for a worker.
	ForecastAdmission bool
	// Shares is set if workers are divided between kinds of jobs and availability zones, and Weights are those of some kinds.
	Shares  bool
	Weights map[string]float64
	// Durable is the store of the durable jobs, StoreWrites the store's rate of writes a second for all entries together.
	Durable     DurableStore
	StoreWrites int
}

// Configurations checks the operators' configuration and holds the one in use.
type Configurations interface {
	// Accept reads a document and takes it into use if it is newer than the one in use. It returns the document's version.
	Accept(document []byte) (version uint64, err error)
}

// Entry is a running entry.
type Entry struct {
	settings       Settings
	self           cluster.Member
	directory      *cluster.Directory
	exchanger      *cluster.Exchanger
	configurations Configurations
	store          Store
	peers          *durable.Client
	dependencies   *dependencies

	logger log.Logger
	// successes and others are the limited logs of decisions that went well and of all others.
	successes   log.Logger
	others      log.Logger
	metrics     *metric.Set
	answerTimes *metric.Times
	queueTimes  *metric.Times
	// forecastErrors shows by how much the waits of jobs differ from their forecasts.
	forecastErrors *metric.Times

	// decider, accepted, learnedPublished and ejectedAgents are used by the event loop only. learnedPublished is when publishLearned did something
	// last, ejectedAgents the number of agents with ejected workers as last shown.
	decider          *decider
	learnedPublished time.Time
	ejectedAgents    int
	accepted         acceptedJobs
	events           chan dispatch.Event
	durableEvents    chan durable.Event

	context      context.Context
	duties       sync.WaitGroup
	shuttingDown atomic.Bool
	seeds        atomic.Pointer[[]string]

	// The requests that wait for an answer of the event loop, by what they wait for.
	jobWaiters       *waiters[dispatch.Waiter, dispatch.Answer]
	stateWaiters     *waiters[dispatch.Waiter, dispatch.JobState]
	cancelWaiters    *waiters[dispatch.Waiter, bool]
	durableWaiters   *waiters[durable.Waiter, durable.Answer]
	pendingWaiters   *waiters[durable.Waiter, durable.PendingReply]
	surrenderWaiters *waiters[durable.Waiter, durable.SurrenderReply]

	sessions *sessionTable
	// handOvers carries jobs to other entries.
	handOvers *handover.Sender
	// traffic counts the messages of all sessions.
	traffic *session.Traffic
	choice  *agentChoice
	// membersRead is closed once the store has told the members.
	membersRead chan struct{}
	// registered are the names of the registered agents that the dispatcher was told of; only the duty connect uses them.
	registered []string
	// evacuations are those that were logged; the directory has those in force.
	evacuations shownEvacuations
	// idleAgents are agents whose sessions may be closed, from the event loop to the duty connect.
	idleAgents chan dispatch.AgentID
	shards     shardView
	// The event loop's latest counts of jobs under way, of agents in session and of shards owned here.
	jobs        atomic.Int64
	agents      atomic.Int64
	ownedShards atomic.Int64
}

// New starts an entry. The clean-up ends it at once and drops its jobs; a planned stop calls Shutdown before.
func New(settings Settings, configurations Configurations, store Store, logger log.Logger, metrics *metric.Set) (*Entry, func()) {
	logger = logging.Part(logger, "entry")
	ctx, cancel := context.WithCancel(context.Background())
	peers, closePeers := durable.NewClient()
	e := &Entry{
		settings: settings, configurations: configurations, store: store, context: ctx, peers: peers,
		self: cluster.Member{
			Name: settings.Name, Role: cluster.RoleEntry, Zone: settings.Zone,
			Address: settings.Peers.Addr().String(), Incarnation: time.Now().UnixNano(),
		},
		directory:    cluster.NewDirectory(),
		dependencies: newDependencies(logger),

		logger:         logger,
		successes:      logging.NewLimited(level.Info(logger), successLines),
		others:         logging.NewLimited(level.Info(logger), otherLines),
		metrics:        metrics,
		answerTimes:    metrics.Times("answer_time"),
		queueTimes:     metrics.Times("queue_time"),
		forecastErrors: metrics.Times("forecast_error"),

		events:        make(chan dispatch.Event, settings.Ring),
		durableEvents: make(chan durable.Event, settings.Ring),

		jobWaiters:       newWaiters[dispatch.Waiter, dispatch.Answer](),
		stateWaiters:     newWaiters[dispatch.Waiter, dispatch.JobState](),
		cancelWaiters:    newWaiters[dispatch.Waiter, bool](),
		durableWaiters:   newWaiters[durable.Waiter, durable.Answer](),
		pendingWaiters:   newWaiters[durable.Waiter, durable.PendingReply](),
		surrenderWaiters: newWaiters[durable.Waiter, durable.SurrenderReply](),
		sessions:         newSessionTable(),
		traffic:          session.NewTraffic(metrics),
		choice:           newAgentChoice(clock.Now()),
		membersRead:      make(chan struct{}),
		idleAgents:       make(chan dispatch.AgentID, idleAgentsRing),
	}
	e.decider = &decider{
		dispatcher:  newDispatcher(settings),
		coordinator: e.newCoordinator(), now: clock.Now, perform: e.perform,
	}
	handOvers, closeHandOvers := handover.NewSender(settings.Zone, e.handOverPeers, e)
	e.handOvers = handOvers
	e.SetSeeds(settings.Seeds)
	exchanger, closeExchanger := cluster.NewExchanger(e.directory, e)
	e.exchanger = exchanger
	stopServing := servePeers(settings.Peers, exchanger, e)
	e.directory.AddMember(e.self)
	for _, duty := range []func(){e.run, e.connect, e.watchLiveness, e.followStore, e.register, e.exchange} {
		e.duties.Go(duty)
	}
	_ = level.Info(logger).Log("msg", "serving peers", "address", e.self.Address)
	return e, func() {
		cancel()
		stopServing()
		closeExchanger()
		closePeers()
		closeHandOvers()
		e.duties.Wait()
	}
}

// newDispatcher returns the dispatcher of an entry.
func newDispatcher(settings Settings) *dispatch.Dispatcher {
	limits := dispatch.Limits{
		Jobs: settings.Jobs, NoContainment: !settings.ContainKinds, NoEjection: !settings.EjectWorkers,
		CrossRackFactor: settings.CrossRackFactor, HandOver: settings.HandOver,
		NoForecast: !settings.ForecastAdmission,
		NoShares:   !settings.Shares, Weights: settings.Weights,
	}
	return dispatch.New(limits, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}
