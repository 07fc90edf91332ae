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
	// Keep is where the jobs lie that must be kept, and StoreWrites how many writes a second all entries may make there.
	Keep        KeepStore
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

// Frontend is a running entry.
type Frontend struct {
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
	keeper         *durable.Keeper
	owners         *durable.Owners
	logger         log.Logger
	metrics        *metric.Set
	events         chan dispatch.Event
	keepEvents     chan durable.Event
	context        context.Context
	cancel         context.CancelFunc
	duties         sync.WaitGroup
	leaving        atomic.Bool
	seeds          atomic.Pointer[[]string]
	nextWaiter     atomic.Uint64

	mu      sync.Mutex
	waiters map[dispatch.Waiter]chan dispatch.Answer
	// keptWaiters are the requests that wait for the keeper; claims and ownerAddresses tell who owns the shards, and
	// keptSeen that jobs that must be kept were ever known.
	keptWaiters    map[durable.Waiter]chan durable.Answer
	claims         [durable.Shards]*durable.Claim
	ownerAddresses []string
	keptSeen       bool
	// storeHeard is when the store last told its changes.
	storeHeard time.Time
	sessions   map[dispatch.AgentID]*agentSession
	agents     int
	jobs       int
	shards     int
}

// New starts an entry. The clean-up ends it at once; Leave comes before.
func New(settings Settings, configurations Configurations, store Store, logger log.Logger, metrics *metric.Set) (*Frontend, func()) {
	f := &Frontend{
		settings: settings, configurations: configurations, store: store, metrics: metrics,
		logger: logging.Part(logger, "entry"),
		self: cluster.Member{
			Name: settings.Name, Role: cluster.RoleEntry, Zone: settings.Zone,
			Address: settings.Peers.Addr().String(), Incarnation: time.Now().UnixNano(),
		},
		directory:  cluster.NewDirectory(),
		dispatcher: dispatch.New(dispatch.Limits{Jobs: settings.Jobs}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		events:     make(chan dispatch.Event, settings.Ring),
		keepEvents: make(chan durable.Event, settings.Ring),
		waiters:    make(map[dispatch.Waiter]chan dispatch.Answer),
		sessions:   make(map[dispatch.AgentID]*agentSession),

		keptWaiters: make(map[durable.Waiter]chan durable.Answer),
	}
	f.keeper = f.newKeeper()
	owners, closeOwners := durable.NewOwners()
	f.owners = owners
	f.dependencies = newDependencies(f.logger)
	f.successes = logging.NewLimited(level.Info(f.logger), successLines)
	f.others = logging.NewLimited(level.Info(f.logger), otherLines)
	f.answerTimes = metrics.Times("answer_time")
	f.queueTimes = metrics.Times("queue_time")
	f.SetSeeds(settings.Seeds)
	f.context, f.cancel = context.WithCancel(context.Background())
	exchanger, closeExchanger := cluster.NewExchanger(f.directory, configurations.Accept)
	f.exchanger = exchanger
	closePeers := servePeers(settings.Peers, exchanger, f)
	f.directory.AddMember(f.self)
	for _, duty := range []func(){f.run, f.connect, f.watchSilence, f.followStore, f.register, f.exchange} {
		f.duties.Go(duty)
	}
	_ = level.Info(f.logger).Log("msg", "serving peers", "address", f.self.Address)
	return f, func() {
		f.cancel()
		closePeers()
		closeExchanger()
		closeOwners()
		f.duties.Wait()
	}
}

// SetSeeds takes other entries to learn from into use.
func (f *Frontend) SetSeeds(seeds []string) {
	f.seeds.Store(&seeds)
}

// Knows reports whether so many entries are known, this one among them.
func (f *Frontend) Knows(entries int) bool {
	return len(f.directory.Members(cluster.RoleEntry)) >= entries
}

// run is the duty that decides.
func (f *Frontend) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	events := make([]dispatch.Event, 0, batchSize)
	for {
		events = events[:0]
		var kept durable.Event
		select {
		case <-f.context.Done():
			return
		case event := <-f.events:
			events = f.gather(append(events, event))
		case kept = <-f.keepEvents:
		case <-ticker.C:
			events = append(events, dispatch.Ticked{})
			kept = durable.Ticked{KeptRuns: f.dispatcher.KeptRuns(time.Now())}
		}
		// A process that was frozen gives up what it may own no longer before it acts on what waits.
		f.carryKept(f.keeper.Expire(time.Now()))
		if len(events) > 0 {
			f.dispatch(events...)
		}
		if kept != nil {
			f.keep(kept)
		}
		if kept != nil && f.keeper.IsActive() {
			f.publishOwners()
		}
		f.publish()
	}
}

// dispatch gives the dispatcher events and does what it wants done.
func (f *Frontend) dispatch(events ...dispatch.Event) {
	for _, effect := range f.dispatcher.Handle(time.Now(), events...) {
		f.carry(effect)
	}
}

// batchSize is the largest number of events that are handled together.
const batchSize = 64

// gather adds the events that wait in the ring, up to the size of a batch.
func (f *Frontend) gather(events []dispatch.Event) []dispatch.Event {
	for len(events) < batchSize {
		select {
		case event := <-f.events:
			events = append(events, event)
		default:
			return events
		}
	}
	return events
}

// publish lets other goroutines see the dispatcher's counts.
func (f *Frontend) publish() {
	jobs, _, agents := f.dispatcher.Counts()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.jobs != jobs || f.agents != agents {
		f.metrics.Set(metric.JobsOpen, int64(jobs))
		f.metrics.Set(metric.Agents, int64(agents))
	}
	f.jobs = jobs
	f.agents = agents
	f.shards, _ = f.keeper.Counts()
}

// carry does what the dispatcher wants done.
func (f *Frontend) carry(effect dispatch.Effect) {
	switch e := effect.(type) {
	case dispatch.Reply:
		f.reply(e)
	case dispatch.StartTask:
		if s := f.session(e.Agent); s != nil {
			s.Start(e.Number, e.Task)
		}
	case dispatch.StopTask:
		if s := f.session(e.Agent); s != nil {
			s.Stop(e.Name)
		}
	case dispatch.KeepEnd:
		f.keep(durable.TaskEnded{Agent: e.Agent, Update: e.Update})
	case dispatch.TellBegun:
		f.keep(durable.JobBegun{Job: e.Job})
	case dispatch.Note:
		f.log(e)
	}
}

func (f *Frontend) session(id dispatch.AgentID) *session.ToAgent {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.sessions[id]; ok {
		return s.toAgent
	}
	return nil
}

func (f *Frontend) post(event dispatch.Event) {
	select {
	case f.events <- event:
	case <-f.context.Done():
	}
}

// The most lines a second for decisions that went well, and for all others.
const (
	successLines = 20
	otherLines   = 200
)

// record counts a decision.
func (f *Frontend) record(n dispatch.Note) {
	switch n.Decision {
	case dispatch.DecisionAnswered:
		f.metrics.Add(metric.JobsPrefix+string(n.Outcome), 1)
		f.answerTimes.Record(n.Kind+" "+string(n.Outcome), n.Age)
	case dispatch.DecisionPlaced:
		f.metrics.Add(metric.TasksStarted, 1)
		if n.Run == 1 {
			f.queueTimes.Record(n.Kind, n.Age)
		}
	case dispatch.DecisionEnded:
		f.metrics.Add(metric.TasksEnded, 1)
	}
}

// loggerFor returns the logger of a decision: those that went well are sampled, placements are for debugging.
func (f *Frontend) loggerFor(n dispatch.Note) log.Logger {
	switch {
	case n.Decision == dispatch.DecisionPlaced, n.Decision == dispatch.DecisionTaken,
		n.Decision == dispatch.DecisionEnded && n.Detail == "done ":
		return level.Debug(f.logger)
	case n.Outcome == dispatch.OutcomeCompleted && n.Detail == string(n.Outcome):
		// Completed within its objective: others tell why not.
		return f.successes
	default:
		return f.others
	}
}

// log logs a decision.
func (f *Frontend) log(n dispatch.Note) {
	f.record(n)
	logger := f.loggerFor(n)
	fields := []any{"msg", string(n.Decision)}
	if n.Job != "" {
		fields = append(fields, "job", n.Job, "kind", n.Kind, "age", n.Age.Round(time.Millisecond/10))
	}
	if n.Task != "" {
		fields = append(fields, "task", n.Task, "run", n.Run)
	}
	if n.Agent != "" {
		fields = append(fields, "agent", string(n.Agent))
	}
	_ = logger.Log(append(fields, "detail", n.Detail)...)
}
