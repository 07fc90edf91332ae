// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"testing"

	"sailhead/internal/worker"
)

// TestARefusedCallToAnEarlierLifeEndsNoRun guards the runs of a worker's life against the results of refused calls that were meant for the life
// before and are handled late.
func TestARefusedCallToAnEarlierLifeEndsNoRun(t *testing.T) {
	t.Parallel()
	for name, refused := range map[string]func(worker.Incarnation) Event{
		"start": func(i worker.Incarnation) Event {
			return StartAnswered{Incarnation: i, Name: "a", Run: 1, Result: worker.Unreachable{}}
		},
		"stop": func(i worker.Incarnation) Event {
			return StopAnswered{Incarnation: i, Name: "a", Run: 1, Result: worker.Unreachable{}}
		},
		"renewal": func(i worker.Incarnation) Event { return RenewAnswered{Incarnation: i, Result: worker.Unreachable{}} },
		"long poll": func(i worker.Incarnation) Event {
			return RenewAnswered{Incarnation: i, LongPoll: true, Result: worker.Unreachable{}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSelectiveWorker(t, 1)
			s.openSessions()
			earlier := s.worker.incarnation()
			earlier.ID = "earlier"
			s.handle(refused(earlier))
			s.pass(observed)
			if update := s.updates["a"]; !s.runs("a") || update.Outcome != OutcomeStarted {
				t.Errorf("the run is reported as %s (%s), want that it goes on", update.Outcome, update.Reason)
			}
		})
	}
}

// TestARefusedCallFromBeforeAnAnsweredOneEndsNoRun handles the result of a refused call late: the same life of the worker has answered calls that
// were made after it, so it began to listen in between.
//
// The failure: all runs of the life were reported as lost while they went on, so that others might start their tasks beside them.
func TestARefusedCallFromBeforeAnAnsweredOneEndsNoRun(t *testing.T) {
	t.Parallel()
	for name, isLongPoll := range map[string]bool{"renewal": false, "long poll": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSelectiveWorker(t, 1)
			made := s.now
			s.openSessions()
			s.handle(RenewAnswered{
				Incarnation: s.worker.incarnation(), Sent: made, Took: latency, Ended: made.Add(latency), LongPoll: isLongPoll, Result: worker.Unreachable{},
			})
			s.pass(observed)
			if update := s.updates["a"]; !s.runs("a") || update.Outcome != OutcomeStarted {
				t.Errorf("the run is reported as %s (%s), want that it goes on", update.Outcome, update.Reason)
			}
		})
	}
}
