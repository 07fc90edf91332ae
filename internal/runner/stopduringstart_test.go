// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"testing"
	"time"

	"sailhead/internal/worker"
)

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
