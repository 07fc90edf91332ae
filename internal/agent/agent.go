// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package agent runs an agent beside a worker: it gives the runner its goroutines and connects it with the
// worker, the entries and the platform's store.
package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"sailhead/internal/cluster"
	"sailhead/internal/logging"
	"sailhead/internal/metric"
	"sailhead/internal/runner"
	"sailhead/internal/session"
	"sailhead/internal/worker"
)

// Worker calls the worker beside the agent.
type Worker interface {
	Start(life string, start worker.StartRequest) worker.StartResult
	Stop(life string, stop worker.StopRequest) worker.StopResult
	Renew(life string, hold worker.RenewRequest) worker.RenewResult
}

// Store keeps the agent's record where entries find it.
type Store interface {
	PutMember(member cluster.Member) error
	// Member returns a member's record; ok is false if there is none.
	Member(name string) (m cluster.Member, ok bool, err error)
}

// Settings are what an agent needs to know.
type Settings struct {
	Name     string
	Zone     string
	Sessions net.Listener
	// Seeds are entries to tell of this agent while none has a session.
	Seeds  []string
	Limits runner.Limits
	// StopTimeout is the longest time of a planned stop.
	StopTimeout time.Duration
	// Ring is how many events may wait.
	Ring int
}

const (
	tickInterval = 20 * time.Millisecond
	// announceInterval is the time between two announcements while no entry has a session.
	announceInterval = 400 * time.Millisecond
	// stopMargin is kept of the time to stop for the end of the process.
	stopMargin = 700 * time.Millisecond
)

// Agent is a running agent.
type Agent struct {
	settings  Settings
	self      cluster.Member
	runner    *runner.Runner
	sessions  *session.Server
	worker    Worker
	store     Store
	exchanger *cluster.Exchanger
	logger    log.Logger
	metrics   *metric.Set
	events    chan runner.Event
	seeds     atomic.Pointer[[]string]
	context   context.Context
	cancel    context.CancelFunc
	duties    sync.WaitGroup
	mu        sync.Mutex
	idle      bool
	entries   int
	// began is when the start of each task was sent; only the deciding duty uses it.
	began      map[string]time.Time
	runTimes   *metric.Times
	startTimes *metric.Times
	// recorded is the worker as the store is to know it, and changed tells that it is another.
	recorded *worker.Record
	changed  chan struct{}
}

// New starts an agent. Its clean-up stops it as planned: no new tasks, and time for those that run.
func New(settings Settings, w Worker, store Store, logger log.Logger, metrics *metric.Set) (*Agent, func() error) {
	now := time.Now()
	a := &Agent{
		settings: settings, worker: w, store: store, metrics: metrics,
		logger: logging.Part(logger, "agent"),
		self: cluster.Member{
			Name: settings.Name, Role: cluster.RoleAgent, Zone: settings.Zone,
			Address: settings.Sessions.Addr().String(), Incarnation: now.UnixNano(),
		},
		runner:  runner.New(settings.Limits, uint64(now.Unix())),
		events:  make(chan runner.Event, settings.Ring),
		changed: make(chan struct{}, 1),
		began:   make(map[string]time.Time),
	}
	a.runTimes = metrics.Times("run_time")
	a.startTimes = metrics.Times("start_time")
	a.SetSeeds(settings.Seeds)
	a.context, a.cancel = context.WithCancel(context.Background())
	exchanger, closeExchanger := cluster.NewExchanger(cluster.NewDirectory(), refuseDocument)
	a.exchanger = exchanger
	sessions, closeSessions := session.NewServer(settings.Sessions, a.self.Incarnation, a.post)
	a.sessions = sessions
	a.duties.Go(a.run)
	a.duties.Go(a.announce)
	a.duties.Go(a.register)
	_ = level.Info(a.logger).Log("msg", "serving entries", "address", a.self.Address)
	return a, func() error {
		err := a.stop()
		a.cancel()
		closeSessions()
		closeExchanger()
		a.duties.Wait()
		return err
	}
}

// SetSeeds takes other entries to announce this agent to into use.
func (a *Agent) SetSeeds(seeds []string) {
	a.seeds.Store(&seeds)
}

// refuseDocument takes no configuration: agents need none.
func refuseDocument([]byte) (uint64, error) {
	return 0, errors.New("agent: agents take no configuration")
}

func (a *Agent) post(event runner.Event) {
	select {
	case a.events <- event:
	case <-a.context.Done():
	}
}

// HeartbeatReceived takes in a heartbeat of the worker.
func (a *Agent) HeartbeatReceived(record worker.Record) {
	a.post(runner.HeartbeatReceived{Record: record})
}

// WorkerLeft takes in the end of a life of the worker.
func (a *Agent) WorkerLeft(id string) {
	a.post(runner.WorkerLeft{ID: id})
}

// run is the duty that decides.
func (a *Agent) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var event runner.Event
		select {
		case <-a.context.Done():
			return
		case event = <-a.events:
		case <-ticker.C:
			event = runner.Ticked{}
		}
		a.logEvent(event)
		for _, effect := range a.runner.Handle(time.Now(), event) {
			a.apply(effect)
		}
		a.publish()
	}
}

// publish lets other goroutines see the runner's counts.
func (a *Agent) publish() {
	sessions, _, _ := a.runner.Counts()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.entries != sessions {
		a.metrics.Set(metric.Sessions, int64(sessions))
	}
	a.idle = a.runner.IsIdle()
	if a.idle {
		// Runs whose entry has gone are never told of.
		clear(a.began)
	}
	a.entries = sessions
	a.publishWorker()
}

func (a *Agent) counts() (idle bool, entries int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.idle, a.entries
}

// apply does what the runner wants done.
func (a *Agent) apply(effect runner.Effect) {
	switch e := effect.(type) {
	case runner.CallStart:
		a.metrics.Add(metric.TasksStarted, 1)
		a.began[e.Start.Name] = time.Now()
		go a.callStart(e)
	case runner.CallStop:
		go func() {
			result := a.worker.Stop(e.Incarnation, e.Stop)
			a.post(runner.StopAnswered{Incarnation: e.Incarnation, Name: e.Stop.Name, Run: e.Stop.Run, Result: result})
		}()
	case runner.CallRenew:
		asked := time.Now()
		go func() {
			result := a.worker.Renew(e.Incarnation, e.Renew)
			a.post(runner.RenewAnswered{Incarnation: e.Incarnation, Sent: asked, LongPoll: e.Renew.Wait > 0, Result: result})
		}()
	default:
		a.record(effect)
		a.logEffect(effect)
		a.sessions.Send(effect)
	}
}

// record counts what became of a run.
func (a *Agent) record(effect runner.Effect) {
	e, ok := effect.(runner.SendUpdate)
	if !ok || !e.Update.Outcome.IsEnd() {
		return
	}
	outcome := e.Update.Outcome.String()
	a.metrics.Add(metric.RunsPrefix+outcome, 1)
	if began, ok := a.began[e.Update.Name]; ok {
		a.runTimes.Record(outcome, time.Since(began))
	}
	delete(a.began, e.Update.Name)
}

// callStart starts a run unless the session's lease has run out meanwhile.
func (a *Agent) callStart(e runner.CallStart) {
	var result worker.StartResult = worker.Invalid{Reason: "the session ended before the start"}
	if began := time.Now(); !began.After(e.Before) {
		result = a.worker.Start(e.Incarnation, e.Start)
		a.startTimes.Record(describeKind(result), time.Since(began))
	}
	a.post(runner.StartAnswered{Incarnation: e.Incarnation, Name: e.Start.Name, Run: e.Start.Run, Result: result})
}

// announce tells the seeds of this agent while no entry has a session.
func (a *Agent) announce() {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if _, entries := a.counts(); entries == 0 && len(*a.seeds.Load()) > 0 {
			seeds := *a.seeds.Load()
			seed := seeds[rand.IntN(len(seeds))]
			if err := a.exchanger.AnnounceTo(a.context, seed, a.self); err != nil {
				_ = level.Debug(a.logger).Log("msg", "unable to announce", "err", err)
			}
		}
		select {
		case <-a.context.Done():
			return
		case <-ticker.C:
		}
	}
}

// stop takes no new tasks and waits for those that run, as long as the time to stop allows.
func (a *Agent) stop() error {
	a.post(runner.ShutdownRequested{})
	deadline := time.Now().Add(a.settings.StopTimeout - stopMargin)
	for time.Now().Before(deadline) {
		time.Sleep(tickInterval)
		if idle, _ := a.counts(); idle {
			_ = level.Info(a.logger).Log("msg", "stopped")
			return nil
		}
	}
	_ = level.Warn(a.logger).Log("msg", "stopped with tasks that still run")
	return nil
}

// logEvent logs what changes the agent's belief.
func (a *Agent) logEvent(event runner.Event) {
	switch e := event.(type) {
	case runner.SessionOpened:
		_ = level.Info(a.logger).Log("msg", "session opened", "session", e.Session, "entry", e.Entry)
	case runner.SessionClosed:
		_ = level.Info(a.logger).Log("msg", "session closed", "session", e.Session)
	case runner.HeartbeatReceived:
		if known, ok := a.runner.Worker(); !ok || known.ID != e.Record.ID || known.Draining != e.Record.Draining {
			_ = level.Info(a.logger).Log("msg", "worker", "life", e.Record.ID, "draining", e.Record.Draining, "cpu", e.Record.Capacity.CPU)
		}
	case runner.WorkerLeft:
		_ = level.Info(a.logger).Log("msg", "worker left", "life", e.ID)
	case runner.StartAnswered:
		if _, ok := e.Result.(worker.Accepted); !ok {
			_ = level.Info(a.logger).Log("msg", "start not accepted", "task", e.Name, "run", e.Run, "answer", describe(e.Result))
		}
	case runner.StopAnswered:
		if _, ok := e.Result.(worker.Accepted); !ok {
			_ = level.Info(a.logger).Log("msg", "stop not accepted", "task", e.Name, "run", e.Run, "answer", describe(e.Result))
		}
	case runner.RenewAnswered:
		if _, ok := e.Result.(worker.Listing); !ok {
			_ = level.Info(a.logger).Log("msg", "hold not answered", "life", e.Incarnation, "waited", e.LongPoll, "answer", describe(e.Result))
		}
	}
}

// logEffect logs the ends of runs that are not plain successes, and the ends of sessions.
func (a *Agent) logEffect(effect runner.Effect) {
	switch e := effect.(type) {
	case runner.SendUpdate:
		if e.Update.Outcome != runner.OutcomeDone && e.Update.Outcome != runner.OutcomeStarted {
			_ = level.Info(a.logger).Log("msg", "run", "task", e.Update.Name, "run", e.Update.Run, "outcome", e.Update.Outcome, "reason", e.Update.Reason)
		}
	case runner.CloseSession:
		_ = level.Info(a.logger).Log("msg", "closing session", "session", e.Session, "reason", e.Reason)
	}
}
