// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"fmt"
	"testing"
	"time"

	"sailhead/internal/timing"
	"sailhead/internal/worker"
)

const (
	// latency is the time that a call to the worker or its answer takes in these tests.
	latency = time.Millisecond
	// tickInterval is the time between two ticks.
	tickInterval = 20 * time.Millisecond
	// neverEnds is a run time beyond the end of each test.
	neverEnds = time.Hour
	// startInterval is the time between two tasks that the other entry starts.
	startInterval = 10 * time.Millisecond
	// observed is how long a test looks at the worker.
	observed = 5 * time.Second
)

// selectiveWorker simulates an agent whose worker carries out and answers renewals and starts, but receives no stop unless acceptsStops is
// set.
type selectiveWorker struct {
	t      *testing.T
	now    time.Time
	runner *Runner
	worker *fakeWorker
	queue  []action
	// process counts the processes of the agent. Answers to an earlier one are dropped.
	process int
	// silent are the sessions whose entries do not echo pings any more.
	silent       map[SessionID]bool
	acceptsStops bool
	// startDelay is how late the worker carries out starts, without an answer. Zero is for a worker that answers them.
	startDelay time.Duration
	// starts is the number of starts requested, and updates are the latest updates by task.
	starts  uint64
	updates map[string]Update
	// load is the latest load that the other entry got.
	load Load
}

func newSelectiveWorker(t *testing.T, clockRate float64) *selectiveWorker {
	s := &selectiveWorker{t: t, now: time.Unix(1_000_000, 0), silent: make(map[SessionID]bool), updates: make(map[string]Update)}
	s.worker = newFakeWorker("worker", s.now, worker.Resources{CPU: 100 * taskCPU}, needs)
	s.worker.clockRate = clockRate
	s.startProcess()
	s.tick()
	return s
}

// startProcess starts the next process of the agent.
func (s *selectiveWorker) startProcess() {
	s.process++
	s.runner = New(DefaultLimits(time.Second, 50*time.Millisecond), uint64(s.process)<<20)
	s.sendHeartbeat()
}

func (s *selectiveWorker) sendHeartbeat() {
	s.handle(HeartbeatReceived{Record: worker.Record{
		ID: s.worker.id, Service: "service", Zone: testZone, Capacity: s.worker.capacity, Sequence: uint64(s.process), Clock: s.worker.clock(s.now),
	}})
}

func (s *selectiveWorker) after(d time.Duration, do func()) {
	s.queue = append(s.queue, action{at: s.now.Add(d), do: do})
}

// pass carries out what is due within the given time.
func (s *selectiveWorker) pass(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(latency) {
		due := s.queue
		s.queue = nil
		for _, a := range due {
			if a.at.After(s.now) {
				s.queue = append(s.queue, a)
				continue
			}
			a.do()
		}
		s.worker.advance(s.now)
	}
}

func (s *selectiveWorker) tick() {
	s.handle(Ticked{})
	s.after(tickInterval, s.tick)
}

func (s *selectiveWorker) handle(event Event) {
	for _, effect := range s.runner.Handle(s.now, event) {
		s.carryOut(effect)
	}
}

func (s *selectiveWorker) carryOut(effect Effect) {
	sent := s.now
	switch e := effect.(type) {
	case CallStart:
		if s.startDelay > 0 {
			s.after(s.startDelay, func() { s.worker.start(s.now, e.Incarnation, e.Start, neverEnds, false) })
			s.after(callTimeout, s.answer(StartAnswered{
				Incarnation: e.Incarnation, Name: e.Start.Name, Run: e.Start.Run, Sent: sent, Ended: sent.Add(callTimeout),
				Result: worker.NoResponse{Reason: "timeout"},
			}))
			return
		}
		s.call(func() Event {
			return StartAnswered{
				Incarnation: e.Incarnation, Name: e.Start.Name, Run: e.Start.Run, Sent: sent, Ended: s.now,
				Result: s.worker.start(s.now, e.Incarnation, e.Start, neverEnds, false),
			}
		})
	case CallStop:
		if s.acceptsStops {
			s.call(func() Event {
				return StopAnswered{
					Incarnation: e.Incarnation, Name: e.Stop.Name, Run: e.Stop.Run, Result: s.worker.stop(s.now, e.Incarnation, e.Stop),
				}
			})
			return
		}
		s.after(callTimeout, s.answer(StopAnswered{
			Incarnation: e.Incarnation, Name: e.Stop.Name, Run: e.Stop.Run, Result: worker.NoResponse{Reason: "timeout"},
		}))
	case CallRenew:
		s.call(func() Event {
			return RenewAnswered{
				Incarnation: e.Incarnation, Sent: sent, Ended: s.now, Fence: e.Renew.Fence, LongPoll: e.Renew.Wait > 0,
				Result: s.worker.list(s.now, e.Incarnation, e.Renew),
			}
		})
	case SendPing:
		if !s.silent[e.Session] {
			s.after(latency, s.answer(PongReceived{Session: e.Session, Sent: e.Time}))
		}
	case SendLoad:
		if e.Session == otherEntry {
			s.load = e.Load
		}
	case SendUpdate:
		s.updates[e.Update.Name] = e.Update
	}
}

// call carries out a call and passes its answer to the agent.
func (s *selectiveWorker) call(do func() Event) {
	process := s.process
	s.after(latency, func() {
		event := do()
		if process == s.process {
			s.after(latency, s.answer(event))
		}
	})
}

// answer returns a function that passes an event to the present process of the agent.
func (s *selectiveWorker) answer(event Event) func() {
	process := s.process
	return func() {
		if process == s.process {
			s.handle(event)
		}
	}
}

// request requests the start of a task on a session.
func (s *selectiveWorker) request(id SessionID, name string) {
	s.starts++
	s.handle(StartRequested{Session: id, Number: s.starts, Task: Task{Name: name, Run: 1, Needs: worker.Resources{CPU: taskCPU}}})
}

// lostEntry is the session of the entry whose run must end, and otherEntry that of another one.
const lostEntry, otherEntry = SessionID(1), SessionID(2)

// openSessions opens the sessions of both entries and starts a task of each, some time before the test.
func (s *selectiveWorker) openSessions() {
	s.t.Helper()
	s.pass(200 * time.Millisecond)
	s.handle(SessionOpened{Session: lostEntry, Entry: "lost"})
	s.handle(SessionOpened{Session: otherEntry, Entry: "other"})
	s.start(lostEntry, "a")
	s.start(otherEntry, "b")
	s.pass(700 * time.Millisecond)
}

// start starts a task on a session and waits until its run has begun.
func (s *selectiveWorker) start(id SessionID, name string) {
	s.t.Helper()
	s.request(id, name)
	s.pass(10 * latency)
	if !s.runs(name) {
		s.t.Fatalf("no run of %s has begun", name)
	}
}

func (s *selectiveWorker) runs(name string) bool {
	_, ok := s.worker.runs[name]
	return ok
}

// checkEnds checks that the run of a task ends within a bound, from now on, while the other entry starts further tasks.
func (s *selectiveWorker) checkEnds(name string, bound time.Duration) {
	s.t.Helper()
	begin := s.now
	for s.now.Sub(begin) < observed {
		if !s.runs(name) {
			if took := s.now.Sub(begin); took > bound {
				s.t.Errorf("the run of %s ended after %s, want at most %s", name, took, bound)
			}
			return
		}
		s.pass(startInterval)
		s.request(otherEntry, fmt.Sprintf("c%d", s.starts))
	}
	s.t.Errorf("the run of %s goes on after %s, want its end within %s", name, observed, bound)
}

// The times by which an agent must have ended a run. Others start the task again after them.
const (
	// endAfterLoss is how long a run may continue after its entry received the last message of the session.
	endAfterLoss = timing.RerunDelay
	// endAfterStop is how long a run may continue after its entry requested a stop. An entry that runs a job for another one may hear
	// timing.SessionCloseTimeout and a ping interval late that the caller has left.
	endAfterStop = timing.CallerRetryDelay - timing.SessionCloseTimeout - timing.PingInterval
)

// TestARunWhoseStopIsNotAcceptedEndsBeforeItsTaskRunsElsewhere covers a worker that answers renewals but no stop, while tasks of another
// entry run there.
//
// The failure: the agent went on extending the worker's lease for the other tasks, so the run went on when its task was started elsewhere.
func TestARunWhoseStopIsNotAcceptedEndsBeforeItsTaskRunsElsewhere(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		clockRate float64
		act       func(s *selectiveWorker)
		bound     time.Duration
	}{
		"the session is closed": {1, func(s *selectiveWorker) { s.handle(SessionClosed{Session: lostEntry}) }, endAfterLoss},
		"the session is closed, slow clock": {
			slowClock, func(s *selectiveWorker) { s.handle(SessionClosed{Session: lostEntry}) }, endAfterLoss,
		},
		"the entry is silent":             {1, func(s *selectiveWorker) { s.silent[lostEntry] = true }, endAfterLoss},
		"the entry is silent, slow clock": {slowClock, func(s *selectiveWorker) { s.silent[lostEntry] = true }, endAfterLoss},
		"the entry opens another session": {1, func(s *selectiveWorker) { s.handle(SessionOpened{Session: 3, Entry: "lost"}) }, endAfterLoss},
		"the entry stops the task":        {1, func(s *selectiveWorker) { s.handle(StopRequested{Session: lostEntry, Name: "a"}) }, endAfterStop},
		"the entry stops the task, slow clock": {
			slowClock, func(s *selectiveWorker) { s.handle(StopRequested{Session: lostEntry, Name: "a"}) }, endAfterStop,
		},
		"the agent restarts": {1, func(s *selectiveWorker) { s.startProcess() }, endAfterLoss},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSelectiveWorker(t, c.clockRate)
			s.openSessions()
			c.act(s)
			s.checkEnds("a", c.bound)
		})
	}
}

// TestOtherRunsGoOnIfAStopIsAcceptedLate covers a stop that the worker accepts within its lease.
//
// The failure: the runs of other entries end with the lease that is held back, or the worker gets no tasks any more.
func TestOtherRunsGoOnIfAStopIsAcceptedLate(t *testing.T) {
	t.Parallel()
	s := newSelectiveWorker(t, 1)
	s.openSessions()
	s.handle(SessionClosed{Session: lostEntry})
	s.pass(timing.WorkerUnresponsiveAfter + 2*tickInterval)
	if s.load.Accepts {
		t.Error("the entry is not told that the worker accepts no tasks")
	}
	s.request(otherEntry, "c")
	if update := s.updates["c"]; update.Outcome != OutcomeNotStarted || update.Reason != reasonLeaseHeldBack {
		t.Errorf("a task that arrives while the lease is held back: %+v, want %s", update, reasonLeaseHeldBack)
	}
	s.acceptsStops = true
	s.pass(200 * time.Millisecond)
	if s.runs("a") {
		t.Error("the stopped run goes on")
	}
	s.start(otherEntry, "d")
	s.pass(observed)
	if !s.runs("b") || !s.runs("d") {
		t.Errorf("the other runs have ended: %+v, %+v", s.updates["b"], s.updates["d"])
	}
}

// TestALateStartOfAStoppedTaskBeginsNoRun covers a start without an answer that the worker carries out late, while no stop reaches the
// worker and its task was stopped before the time-out of the start.
//
// The failure: the fencing token was not raised, so the start began a run of a task that might already run elsewhere.
func TestALateStartOfAStoppedTaskBeginsNoRun(t *testing.T) {
	t.Parallel()
	s := newSelectiveWorker(t, 1)
	s.openSessions()
	s.startDelay = 100 * time.Millisecond
	s.request(lostEntry, "late")
	s.pass(5 * latency)
	s.handle(SessionClosed{Session: lostEntry})
	s.pass(timing.RerunDelay)
	if begun := s.worker.begun["late"]; begun != 0 {
		t.Errorf("%d runs have begun, want 0", begun)
	}
}

// slowClock is the lowest speed of a worker's clock.
const slowClock = 1 - 1/float64(timing.ClockDriftDivisor)
