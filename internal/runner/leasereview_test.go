// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"testing"
	"time"

	"sailhead/internal/worker"
)

// suspend simulates a suspension of the VM: neither the agent nor the worker runs, and the worker's clock stops.
func (s *selectiveWorker) suspend(length time.Duration) {
	s.now = s.now.Add(length)
	s.worker.origin = s.worker.origin.Add(length)
	for _, r := range s.worker.runs {
		r.ends = r.ends.Add(length)
		if !r.stopsAt.IsZero() {
			r.stopsAt = r.stopsAt.Add(length)
		}
	}
}

// requestWaiting requests the start of a task that may wait in the queue.
func (s *selectiveWorker) requestWaiting(id SessionID, name string, wait time.Duration) {
	s.starts++
	s.handle(StartRequested{Session: id, Number: s.starts, Task: Task{Name: name, Run: 1, Needs: worker.Resources{CPU: taskCPU}, MaxWait: wait}})
}

// TestATaskOfAnEndedSessionThatWaitsCanBeSuperseded covers a task that waited for the end of an earlier run of itself, while its session
// ended, and that is requested by a third session while it is queued on a full worker.
//
// The failure: the agent looks up the lease of the ended session and panics.
func TestATaskOfAnEndedSessionThatWaitsCanBeSuperseded(t *testing.T) {
	t.Parallel()
	const second, third = SessionID(3), SessionID(4)
	s := newSelectiveWorker(t, 1)
	s.acceptsStops = true
	s.worker.capacity = worker.Resources{CPU: 2 * taskCPU}
	s.startProcess()
	s.openSessions()
	s.handle(SessionOpened{Session: second, Entry: "second"})
	s.handle(SessionOpened{Session: third, Entry: "third"})
	s.requestWaiting(otherEntry, "c", time.Second)
	s.requestWaiting(second, "a", 0)
	s.handle(SessionClosed{Session: second})
	s.pass(150 * time.Millisecond)
	if !s.runs("c") || s.runs("a") {
		t.Fatal("the waiting task has not got the resources of the stopped run")
	}
	defer func() {
		if cause := recover(); cause != nil {
			t.Fatalf("the agent panics: %v", cause)
		}
	}()
	s.requestWaiting(third, "a", 0)
	s.pass(latency)
}

// TestAQueuedTaskOfAnEndedSessionCanBeStopped covers the same task if the stop of its session is handled after the session's end.
func TestAQueuedTaskOfAnEndedSessionCanBeStopped(t *testing.T) {
	t.Parallel()
	const second = SessionID(3)
	s := newSelectiveWorker(t, 1)
	s.acceptsStops = true
	s.worker.capacity = worker.Resources{CPU: 2 * taskCPU}
	s.startProcess()
	s.openSessions()
	s.handle(SessionOpened{Session: second, Entry: "second"})
	s.requestWaiting(otherEntry, "c", time.Second)
	s.requestWaiting(second, "a", 0)
	s.runner.endSession(s.now, second, "ended by the agent, which has not read all messages of the session yet")
	s.pass(150 * time.Millisecond)
	if !s.runs("c") || s.runs("a") {
		t.Fatal("the waiting task has not got the resources of the stopped run")
	}
	defer func() {
		if cause := recover(); cause != nil {
			t.Fatalf("the agent panics: %v", cause)
		}
	}()
	s.handle(StopRequested{Session: second, Name: "a"})
}

// TestNoRunIsReportedAsLostThatGoesOnAfterAShortSuspension covers a VM that is suspended for less than maxTickGap while the lease is held
// back for a stop that is not accepted.
//
// The failure: the lease is not extended after the suspension, but its expiry is not postponed either, so the run of another entry is
// reported as lost, and run elsewhere, while it goes on.
func TestNoRunIsReportedAsLostThatGoesOnAfterAShortSuspension(t *testing.T) {
	t.Parallel()
	for _, length := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, maxTickGap - 2*tickInterval} {
		t.Run(length.String(), func(t *testing.T) {
			t.Parallel()
			s := newSelectiveWorker(t, 1)
			s.openSessions()
			s.handle(SessionClosed{Session: lostEntry})
			s.pass(50 * time.Millisecond)
			begin := s.now
			s.suspend(length)
			for s.now.Sub(begin) < observed && s.runs("b") {
				s.pass(latency)
				if s.updates["b"].Outcome == OutcomeLost && s.runs("b") {
					at := s.now
					for s.runs("b") {
						s.pass(latency)
					}
					t.Fatalf("the run of b is reported as lost %s after its lease was held back, and goes on for %s", at.Sub(begin), s.now.Sub(at))
				}
			}
		})
	}
}

// TestARunEndsInTimeAfterAShortSuspension covers a VM that is suspended for less than maxClockAge just before the session of a run ends,
// so that the last lease is computed from a reading from before the suspension.
func TestARunEndsInTimeAfterAShortSuspension(t *testing.T) {
	t.Parallel()
	for _, length := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 280 * time.Millisecond} {
		t.Run(length.String(), func(t *testing.T) {
			t.Parallel()
			s := newSelectiveWorker(t, 1)
			s.openSessions()
			s.silent[lostEntry] = true
			begin := s.now
			validUntil := s.runner.sessions[lostEntry].validUntil
			s.pass(validUntil.Sub(s.now) - length - latency)
			s.suspend(length)
			for s.now.Sub(begin) < observed && s.runs("a") {
				s.pass(latency)
			}
			if took := s.now.Sub(begin); took > endAfterLoss {
				t.Errorf("the run ended after %s, want at most %s", took, endAfterLoss)
			}
		})
	}
}

// freeze simulates a frozen agent: the worker goes on, and calls and events are handled late. It returns early if the run of a ends.
func (s *selectiveWorker) freeze(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end) && s.runs("a"); s.now = s.now.Add(latency) {
		s.worker.advance(s.now)
	}
}

// TestARunWhoseStopIsNotAcceptedEndsInTimeBesideAFreeze covers an agent that is frozen at each time around the loss of a session.
func TestARunWhoseStopIsNotAcceptedEndsInTimeBesideAFreeze(t *testing.T) {
	t.Parallel()
	const step = 20 * time.Millisecond
	for name, act := range map[string]func(s *selectiveWorker){
		"closed": func(s *selectiveWorker) { s.after(0, func() { s.handle(SessionClosed{Session: lostEntry}) }) },
		"silent": func(s *selectiveWorker) { s.silent[lostEntry] = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			worst := time.Duration(0)
			for _, length := range []time.Duration{60 * time.Millisecond, 120 * time.Millisecond, 250 * time.Millisecond, 290 * time.Millisecond, 490 * time.Millisecond, 700 * time.Millisecond} {
				for at := time.Duration(0); at < 1200*time.Millisecond; at += step {
					for _, phase := range []time.Duration{0, 7 * time.Millisecond, 13 * time.Millisecond} {
						s := newSelectiveWorker(t, slowClock)
						s.openSessions()
						s.pass(phase)
						act(s)
						begin := s.now
						for s.now.Sub(begin) < at && s.runs("a") {
							s.pass(latency)
						}
						s.freeze(length)
						for s.now.Sub(begin) < observed && s.runs("a") {
							s.pass(latency)
						}
						worst = max(worst, s.now.Sub(begin))
						if took := s.now.Sub(begin); took > endAfterLoss {
							t.Errorf("frozen for %s after %s (phase %s): the run ended after %s, want at most %s", length, at, phase, took, endAfterLoss)
						}
					}
				}
			}
			t.Logf("the latest end: %s", worst)
		})
	}
}

// stopDuringStart requests a start on the other entry's session and, before its answer, the stop.
func (s *selectiveWorker) stopDuringStart(task Task) {
	s.starts++
	s.handle(StartRequested{Session: otherEntry, Number: s.starts, Task: task})
	s.handle(StopRequested{Session: otherEntry, Name: task.Name})
}

// TestRunsGoOnBesideAStopWhoseStartWasRejected covers a task that is stopped before its start is answered, and whose start the worker then
// rejects for lack of resources, while it accepts no stop.
//
// The failure: the lease is held back for a run that never was there, so the runs of all others end.
func TestRunsGoOnBesideAStopWhoseStartWasRejected(t *testing.T) {
	t.Parallel()
	for name, isDurable := range map[string]bool{"best effort": false, "durable": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSelectiveWorker(t, 1)
			s.openSessions()
			s.worker.capacity = worker.Resources{CPU: 2 * taskCPU}
			s.stopDuringStart(Task{Name: "c", Run: 1, Needs: worker.Resources{CPU: taskCPU}, IsDurable: isDurable})
			begin := s.now
			s.checkOthersGoOn(begin)
		})
	}
}

// checkOthersGoOn checks that the runs that nobody stops go on, and that the worker gets tasks again.
func (s *selectiveWorker) checkOthersGoOn(begin time.Time) {
	s.t.Helper()
	for s.now.Sub(begin) < observed && s.runs("a") && s.runs("b") {
		s.pass(latency)
	}
	if took := s.now.Sub(begin); took < observed {
		s.t.Errorf("the runs of others end after %s", took)
	}
	for s.now.Sub(begin) < 2*observed && s.runner.rejectionReason(s.now) != "" {
		s.pass(latency)
	}
	if reason := s.runner.rejectionReason(s.now); reason != "" || s.now.Sub(begin) > observed {
		s.t.Errorf("the worker gets no tasks for %s (%s)", s.now.Sub(begin), reason)
	}
}

// TestRunsGoOnBesideAStopWhoseRunIsNotListed covers a task whose start is lost and that is stopped, while the worker accepts no stop but
// answers renewals that show no run, with a higher fencing token than the start.
func TestRunsGoOnBesideAStopWhoseRunIsNotListed(t *testing.T) {
	t.Parallel()
	for name, isDurable := range map[string]bool{"best effort": false, "durable": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSelectiveWorker(t, 1)
			s.openSessions()
			begin := s.now
			s.starts++
			start := StartRequested{Session: otherEntry, Number: s.starts, Task: Task{Name: "c", Run: 1, Needs: worker.Resources{CPU: taskCPU}, IsDurable: isDurable}}
			for _, effect := range s.runner.Handle(s.now, start) {
				if call, ok := effect.(CallStart); ok {
					sent := s.now
					s.after(callTimeout, s.answer(StartAnswered{
						Incarnation: call.Incarnation, Name: call.Start.Name, Run: call.Start.Run, Sent: sent, Ended: sent.Add(callTimeout),
						Result: worker.NoResponse{Reason: "timeout"},
					}))
					continue
				}
				s.carryOut(effect)
			}
			s.handle(StopRequested{Session: otherEntry, Name: "c"})
			s.checkOthersGoOn(begin)
		})
	}
}
