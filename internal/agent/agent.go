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
	Start(life string, start worker.Start) worker.StartResult
	Stop(life string, stop worker.Stop) worker.StopResult
	Hold(life string, hold worker.Hold) worker.HoldResult
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

// Sidecar is a running agent.
type Sidecar struct {
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
func New(settings Settings, w Worker, store Store, logger log.Logger, metrics *metric.Set) (*Sidecar, func() error) {
	now := time.Now()
	s := &Sidecar{
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
	s.runTimes = metrics.Times("run_time")
	s.startTimes = metrics.Times("start_time")
	s.SetSeeds(settings.Seeds)
	s.context, s.cancel = context.WithCancel(context.Background())
	exchanger, closeExchanger := cluster.NewExchanger(cluster.NewDirectory(), refuseDocument)
	s.exchanger = exchanger
	sessions, closeSessions := session.NewServer(settings.Sessions, s.self.Incarnation, s.post)
	s.sessions = sessions
	s.duties.Go(s.run)
	s.duties.Go(s.announce)
	s.duties.Go(s.register)
	_ = level.Info(s.logger).Log("msg", "serving entries", "address", s.self.Address)
	return s, func() error {
		err := s.stop()
		s.cancel()
		closeSessions()
		closeExchanger()
		s.duties.Wait()
		return err
	}
}

// SetSeeds takes other entries to announce this agent to into use.
func (s *Sidecar) SetSeeds(seeds []string) {
	s.seeds.Store(&seeds)
}

// refuseDocument takes no configuration: agents need none.
func refuseDocument([]byte) (uint64, error) {
	return 0, errors.New("agent: agents take no configuration")
}

func (s *Sidecar) post(event runner.Event) {
	select {
	case s.events <- event:
	case <-s.context.Done():
	}
}

// WorkerSeen takes in a heartbeat of the worker.
func (s *Sidecar) WorkerSeen(record worker.Record) {
	s.post(runner.WorkerSeen{Record: record})
}

// WorkerLeft takes in the end of a life of the worker.
func (s *Sidecar) WorkerLeft(id string) {
	s.post(runner.WorkerLeft{ID: id})
}

// run is the duty that decides.
func (s *Sidecar) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var event runner.Event
		select {
		case <-s.context.Done():
			return
		case event = <-s.events:
		case <-ticker.C:
			event = runner.Ticked{}
		}
		s.logEvent(event)
		for _, effect := range s.runner.Handle(time.Now(), event) {
			s.carry(effect)
		}
		s.publish()
	}
}

// publish lets other goroutines see the runner's counts.
func (s *Sidecar) publish() {
	sessions, _, _ := s.runner.Counts()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries != sessions {
		s.metrics.Set(metric.Sessions, int64(sessions))
	}
	s.idle = s.runner.IsIdle()
	if s.idle {
		// Runs whose entry has gone are never told of.
		clear(s.began)
	}
	s.entries = sessions
	s.noteWorker()
}

func (s *Sidecar) counts() (idle bool, entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idle, s.entries
}

// carry does what the runner wants done.
func (s *Sidecar) carry(effect runner.Effect) {
	switch e := effect.(type) {
	case runner.CallStart:
		s.metrics.Add(metric.TasksStarted, 1)
		s.began[e.Start.Name] = time.Now()
		go s.callStart(e)
	case runner.CallStop:
		go func() {
			result := s.worker.Stop(e.Life, e.Stop)
			s.post(runner.StopAnswered{Life: e.Life, Name: e.Stop.Name, Run: e.Stop.Run, Result: result})
		}()
	case runner.CallHold:
		asked := time.Now()
		go func() {
			result := s.worker.Hold(e.Life, e.Hold)
			s.post(runner.HoldAnswered{Life: e.Life, Asked: asked, Waited: e.Hold.Wait > 0, Result: result})
		}()
	default:
		s.record(effect)
		s.logEffect(effect)
		s.sessions.Carry(effect)
	}
}

// record counts what became of a run.
func (s *Sidecar) record(effect runner.Effect) {
	e, ok := effect.(runner.SendUpdate)
	if !ok || !e.Update.Outcome.IsEnd() {
		return
	}
	outcome := e.Update.Outcome.String()
	s.metrics.Add(metric.RunsPrefix+outcome, 1)
	if began, ok := s.began[e.Update.Name]; ok {
		s.runTimes.Record(outcome, time.Since(began))
	}
	delete(s.began, e.Update.Name)
}

// callStart starts a run unless the session's lease has run out meanwhile.
func (s *Sidecar) callStart(e runner.CallStart) {
	var result worker.StartResult = worker.Invalid{Reason: "the session ended before the start"}
	if began := time.Now(); !began.After(e.Before) {
		result = s.worker.Start(e.Life, e.Start)
		s.startTimes.Record(describeKind(result), time.Since(began))
	}
	s.post(runner.StartAnswered{Life: e.Life, Name: e.Start.Name, Run: e.Start.Run, Result: result})
}

// announce tells the seeds of this agent while no entry has a session.
func (s *Sidecar) announce() {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if _, entries := s.counts(); entries == 0 && len(*s.seeds.Load()) > 0 {
			seeds := *s.seeds.Load()
			seed := seeds[rand.IntN(len(seeds))]
			if err := s.exchanger.AnnounceTo(s.context, seed, s.self); err != nil {
				_ = level.Debug(s.logger).Log("msg", "unable to announce", "err", err)
			}
		}
		select {
		case <-s.context.Done():
			return
		case <-ticker.C:
		}
	}
}

// stop takes no new tasks and waits for those that run, as long as the time to stop allows.
func (s *Sidecar) stop() error {
	s.post(runner.LeaveAsked{})
	deadline := time.Now().Add(s.settings.StopTimeout - stopMargin)
	for time.Now().Before(deadline) {
		time.Sleep(tickInterval)
		if idle, _ := s.counts(); idle {
			_ = level.Info(s.logger).Log("msg", "stopped")
			return nil
		}
	}
	_ = level.Warn(s.logger).Log("msg", "stopped with tasks that still run")
	return nil
}

// logEvent logs what changes the agent's belief.
func (s *Sidecar) logEvent(event runner.Event) {
	switch e := event.(type) {
	case runner.SessionOpened:
		_ = level.Info(s.logger).Log("msg", "session opened", "session", e.Session, "entry", e.Entry)
	case runner.SessionClosed:
		_ = level.Info(s.logger).Log("msg", "session closed", "session", e.Session)
	case runner.WorkerSeen:
		if known, ok := s.runner.Life(); !ok || known.ID != e.Record.ID || known.Draining != e.Record.Draining {
			_ = level.Info(s.logger).Log("msg", "worker", "life", e.Record.ID, "draining", e.Record.Draining, "cpu", e.Record.Capacity.CPU)
		}
	case runner.WorkerLeft:
		_ = level.Info(s.logger).Log("msg", "worker left", "life", e.ID)
	case runner.StartAnswered:
		if _, ok := e.Result.(worker.Accepted); !ok {
			_ = level.Info(s.logger).Log("msg", "start not accepted", "task", e.Name, "run", e.Run, "answer", describe(e.Result))
		}
	case runner.StopAnswered:
		if _, ok := e.Result.(worker.Accepted); !ok {
			_ = level.Info(s.logger).Log("msg", "stop not accepted", "task", e.Name, "run", e.Run, "answer", describe(e.Result))
		}
	case runner.HoldAnswered:
		if _, ok := e.Result.(worker.Listing); !ok {
			_ = level.Info(s.logger).Log("msg", "hold not answered", "life", e.Life, "waited", e.Waited, "answer", describe(e.Result))
		}
	}
}

// logEffect logs the ends of runs that are not plain successes, and the ends of sessions.
func (s *Sidecar) logEffect(effect runner.Effect) {
	switch e := effect.(type) {
	case runner.SendUpdate:
		if e.Update.Outcome != runner.OutcomeDone && e.Update.Outcome != runner.OutcomeStarted {
			_ = level.Info(s.logger).Log("msg", "run", "task", e.Update.Name, "run", e.Update.Run, "outcome", e.Update.Outcome, "reason", e.Update.Reason)
		}
	case runner.CloseSession:
		_ = level.Info(s.logger).Log("msg", "closing session", "session", e.Session, "reason", e.Reason)
	}
}
