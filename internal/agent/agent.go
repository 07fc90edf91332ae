// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package agent

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"sailhead/internal/clock"
	"sailhead/internal/cluster"
	"sailhead/internal/logging"
	"sailhead/internal/metric"
	"sailhead/internal/runner"
	"sailhead/internal/session"
	"sailhead/internal/worker"
)

// Worker is a client of the agent's worker. Each call addresses one incarnation of the worker, and blocks until it is
// answered or times out. Implementations must be safe for concurrent use.
type Worker interface {
	Start(incarnation worker.Incarnation, start worker.StartRequest) worker.StartResult
	Stop(incarnation worker.Incarnation, stop worker.StopRequest) worker.StopResult
	// Renew calls answered with the result. If that was a time-out, it calls answered again when a late answer arrives.
	Renew(incarnation worker.Incarnation, renew worker.RenewRequest, answered func(worker.RenewResult))
}

// Store holds the agent's record, from which entries learn its address and its worker.
type Store interface {
	// PutMember writes a record. After an error the record may or may not have been written.
	PutMember(member cluster.Member) error
	// Member returns the record of a member; ok is false if there is none.
	Member(name string) (m cluster.Member, ok bool, err error)
}

// Settings configures an agent. Seeds may be empty; all other fields are required.
type Settings struct {
	// Name identifies the agent; it stays the same across restarts.
	Name string
	// Zone is the availability zone of the agent's VM.
	Zone string
	// Sessions accepts connections from entries. The agent closes it.
	Sessions net.Listener
	// Seeds are the addresses of the entries to which the agent announces itself while no entry has a session.
	Seeds  []string
	Limits runner.Limits
	// Ends keeps the ends that no entry acknowledges.
	Ends EndStore
	// StopTimeout is the longest time from the shutdown request to the exit of the process.
	StopTimeout time.Duration
	// EventQueueSize is the capacity of the event queue. Posting to a full queue blocks.
	EventQueueSize int
}

// exitMargin is the part of Settings.StopTimeout that is reserved for closing the sessions and exiting once the wait for
// running tasks is over.
const exitMargin = 700 * time.Millisecond

// maxRejectionLinesPerSecond limits the log lines about rejected heartbeats. The agent's worker sends one every 1.5 s.
const maxRejectionLinesPerSecond = 1

// Agent is a running agent. Its methods are safe for concurrent use.
type Agent struct {
	settings Settings
	// self is the agent's record without its worker.
	self      cluster.Member
	worker    Worker
	store     Store
	sessions  *session.Server
	announcer *cluster.Announcer
	logger    log.Logger
	metrics   *metric.Set
	runs      runRecorder
	shares    shareRecorder
	// rejectionLogger is the rate-limited logger for rejected heartbeats.
	rejectionLogger log.Logger
	seeds           atomic.Pointer[[]string]

	// runner is used by the event loop only, which receives from events.
	runner *runner.Runner
	events chan runner.Event
	status status

	registration registration
	pendingEnds  pendingEnds

	context    context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// New starts an agent. The returned function shuts it down: it rejects new tasks, waits for the running ones until only
// exitMargin of Settings.StopTimeout is left, and closes the sessions.
func New(settings Settings, w Worker, store Store, logger log.Logger, metrics *metric.Set) (*Agent, func() error) {
	now := timeOfDay()
	a := &Agent{
		settings: settings,
		self: cluster.Member{
			Name: settings.Name, Role: cluster.RoleAgent, Zone: settings.Zone,
			Address: settings.Sessions.Addr().String(), Incarnation: now.UnixNano(),
		},
		worker:       w,
		store:        store,
		logger:       logging.Part(logger, "agent"),
		metrics:      metrics,
		runs:         newRunRecorder(metrics),
		shares:       newShareRecorder(metrics),
		runner:       runner.New(settings.Limits, newFencingToken(now)),
		events:       make(chan runner.Event, settings.EventQueueSize),
		registration: newRegistration(now.UnixNano()),
		pendingEnds:  newPendingEnds(),
	}
	a.rejectionLogger = logging.NewLimited(a.logger, maxRejectionLinesPerSecond)
	a.SetSeeds(settings.Seeds)
	a.context, a.cancel = context.WithCancel(context.Background())
	announcer, closeAnnouncer := cluster.NewAnnouncer()
	a.announcer = announcer
	sessions, closeSessions := session.NewServer(settings.Sessions, a.self.Incarnation, session.NewTraffic(metrics), a.post, a.logger)
	a.sessions = sessions
	a.goroutines.Go(a.run)
	a.goroutines.Go(a.announce)
	a.goroutines.Go(a.register)
	a.goroutines.Go(a.storeEnds)
	_ = level.Info(a.logger).Log("msg", "serving entries", "address", a.self.Address)
	return a, func() error {
		a.shutDown()
		a.cancel()
		closeSessions()
		closeAnnouncer()
		a.goroutines.Wait()
		return nil
	}
}

// timeOfDay returns the time of which incarnations and fencing tokens are made: the wall clock, by which the processes of an agent are compared.
func timeOfDay() time.Time { return time.Now() }

// newFencingToken returns the fencing token of a process that started at the given time: the Unix time in milliseconds,
// so that a restarted agent has a higher token even if it restarts within a second. The runner handles a clock that was
// set back.
func newFencingToken(started time.Time) uint64 {
	return uint64(started.UnixMilli())
}

// SetSeeds replaces Settings.Seeds.
func (a *Agent) SetSeeds(seeds []string) {
	a.seeds.Store(&seeds)
}

// HeartbeatReceived queues a heartbeat of the worker for the event loop.
func (a *Agent) HeartbeatReceived(record worker.Record) {
	a.post(runner.HeartbeatReceived{Record: record})
}

// HeartbeatRejected logs and counts a heartbeat that describes no usable worker.
func (a *Agent) HeartbeatRejected(id string, err error) {
	a.metrics.Add(metric.UnreadablePrefix+"heartbeat", 1)
	_ = level.Warn(a.rejectionLogger).Log("msg", "heartbeat rejected", "life", id, "err", err)
}

// WorkerLeft queues the worker's notice that it is leaving for the event loop.
func (a *Agent) WorkerLeft(incarnation worker.Incarnation) {
	a.post(runner.WorkerLeft{Incarnation: incarnation})
}

// shutDown rejects new tasks and waits until no task is left, or until only exitMargin of Settings.StopTimeout remains.
func (a *Agent) shutDown() {
	a.post(runner.ShutdownRequested{})
	deadline := clock.Now().Add(a.settings.StopTimeout - exitMargin)
	for clock.Now().Before(deadline) {
		time.Sleep(runner.TickInterval)
		if a.status.isIdle() {
			_ = level.Info(a.logger).Log("msg", "stopped")
			return
		}
	}
	_ = level.Warn(a.logger).Log("msg", "stopped while tasks are still running")
}
