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
	// Peers accepts connections for exchanges and requests of other entries and for announcements of agents.
	Peers net.Listener
	// Seeds are addresses of entries to exchange with in addition to the known members.
	Seeds []string
	// StopTimeout is the longest duration of a graceful shutdown.
	StopTimeout time.Duration
	// EventQueueSize is the capacity of each of the event loop's two queues.
	EventQueueSize int
	// Jobs is the largest number of open jobs. Durable jobs have a limit of the same size of their own.
	Jobs int
	// ContainKinds confines kinds whose jobs crash workers to a few workers.
	ContainKinds bool
	// CrossRackFactor is how many times longer a task takes on a worker outside the rack of its data.
	CrossRackFactor float64
	// HandOver hands jobs over to other entries when this one is overloaded or shutting down.
	HandOver bool
	// ShareLearned shares what an entry has learned about kinds with other entries.
	ShareLearned bool
	// EjectWorkers stops sending tasks other than probes to ejected workers.
	EjectWorkers bool
	// ForecastAdmission refuses jobs on arrival if they are forecast to wait too long for a worker.
	ForecastAdmission bool
	// Shares divides workers between kinds of jobs and availability zones. ShareWeights holds the weights of some kinds.
	Shares       bool
	ShareWeights map[string]float64
	// Durable is the store of durable jobs. StoreWrites is the store's capacity in writes per second for all entries.
	Durable     DurableStore
	StoreWrites int
}

// Configurations validates the operators' configuration and holds the active one.
type Configurations interface {
	// Accept parses a document and activates it if it is newer than the active one. It returns the document's version.
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
	// successLogger and limitedLogger are the rate-limited loggers for successful jobs and for all other decisions.
	successLogger log.Logger
	limitedLogger log.Logger
	metrics       *metric.Set
	answerTimes   *metric.Times
	queueTimes    *metric.Times
	// forecastErrors records by how much the waits of jobs differ from their forecasts.
	forecastErrors *metric.Times

	// The event loop alone uses decider, learnedPublished, ejectedAgents and accepted. learnedPublished is when
	// publishLearned last published, ejectedAgents the exported number of agents with ejected workers.
	decider          *decider
	learnedPublished time.Time
	ejectedAgents    int
	accepted         acceptedJobs
	events           chan dispatch.Event
	durableEvents    chan durable.Event

	context      context.Context
	goroutines   sync.WaitGroup
	shuttingDown atomic.Bool
	seeds        atomic.Pointer[[]string]

	// Requests that wait for an answer from the event loop, by type of answer.
	jobWaiters       *waiters[dispatch.Waiter, dispatch.Answer]
	stateWaiters     *waiters[dispatch.Waiter, dispatch.JobState]
	cancelWaiters    *waiters[dispatch.Waiter, bool]
	durableWaiters   *waiters[durable.Waiter, durable.Answer]
	pendingWaiters   *waiters[durable.Waiter, durable.PendingReply]
	surrenderWaiters *waiters[durable.Waiter, durable.SurrenderReply]

	sessions *sessionTable
	// handOvers hands jobs over to other entries.
	handOvers *handover.Sender
	// traffic counts the messages of all sessions.
	traffic *session.Traffic
	choice  *agentChoice
	// membersRead is closed once the members have been read from the store.
	membersRead chan struct{}
	// registered are the names of the agents last reported to the dispatcher; only the connect goroutine uses them.
	registered []string
	// evacuations are those already logged; the directory has the current ones.
	evacuations loggedEvacuations
	// idleAgents passes agents whose sessions may be closed from the event loop to the connect goroutine.
	idleAgents chan dispatch.AgentID
	// recordShares passes requests to tell other entries of records from the event loop to the goroutine that calls them.
	recordShares chan dispatch.ShareRecords
	shards       shardView
	// The event loop's latest counts of open jobs, of agents with a session and of shards owned here.
	jobs        atomic.Int64
	agents      atomic.Int64
	ownedShards atomic.Int64
}

// New starts an entry. The returned function stops it immediately and drops its jobs; call Shutdown first for a graceful
// shutdown.
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
		successLogger:  logging.NewLimited(level.Info(logger), maxSuccessLinesPerSecond),
		limitedLogger:  logging.NewLimited(level.Info(logger), maxOtherLinesPerSecond),
		metrics:        metrics,
		answerTimes:    metrics.Times("answer_time"),
		queueTimes:     metrics.Times("queue_time"),
		forecastErrors: metrics.Times("forecast_error"),

		events:        make(chan dispatch.Event, settings.EventQueueSize),
		durableEvents: make(chan durable.Event, settings.EventQueueSize),

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
		idleAgents:       make(chan dispatch.AgentID, idleAgentsQueueSize),
		recordShares:     make(chan dispatch.ShareRecords, recordShareQueueSize),
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
	for _, loop := range []func(){e.run, e.connect, e.watchLiveness, e.followStore, e.register, e.exchange, e.shareRecords} {
		e.goroutines.Go(loop)
	}
	_ = level.Info(logger).Log("msg", "serving peers", "address", e.self.Address)
	return e, func() {
		cancel()
		stopServing()
		closeExchanger()
		closePeers()
		closeHandOvers()
		e.goroutines.Wait()
	}
}

// newDispatcher returns the dispatcher of an entry.
func newDispatcher(settings Settings) *dispatch.Dispatcher {
	limits := dispatch.Limits{
		Jobs: settings.Jobs, NoContainment: !settings.ContainKinds, NoEjection: !settings.EjectWorkers,
		CrossRackFactor: settings.CrossRackFactor, HandOver: settings.HandOver,
		NoForecast: !settings.ForecastAdmission,
		NoShares:   !settings.Shares, Weights: settings.ShareWeights,
	}
	return dispatch.New(limits, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}
