// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"testing"
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// drainTime is how long a worker serves on after it has said that it drains. Source: drain_ms.
const drainTime = 2 * time.Second

// signOff makes the worker drain, sign off drainTime later, and end some time after that with all its runs.
func (w *leasedWorker) signOff(endsAfter time.Duration) {
	a := w.agent
	w.isDraining = true
	a.sendHeartbeat()
	w.cluster.after(drainTime, func() {
		w.cluster.record("%s signs off, and ends %s later", w.id, endsAfter)
		left := runner.WorkerLeft{Incarnation: worker.Incarnation{ID: w.id}}
		w.cluster.after(workerDelay, func() { a.do(func() { a.handle(left) }) })
		w.cluster.after(endsAfter, func() { w.crash(time.Second) })
	})
}

// TestATaskOfAWorkerThatSignsOffRunsOnceAtATime covers a worker that signs off while a run goes on, and ends a little later: the answer to its
// sign-off takes a time, or is lost. The users' protocol page says that it ends after the sign-off, not when.
//
// The failure: the agent takes the sign-off for the end of all runs, and the entry starts the task on another worker within milliseconds.
func TestATaskOfAWorkerThatSignsOffRunsOnceAtATime(t *testing.T) {
	t.Parallel()
	for _, endsAfter := range []time.Duration{0, 2 * time.Millisecond, 5 * time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond} {
		t.Run(endsAfter.String(), func(t *testing.T) {
			t.Parallel()
			c := newCluster(794000, 2, 3)
			_, a := startLongJob(t, c)
			a.worker.signOff(endsAfter)
			c.run(drainTime + 2*time.Second)
			c.checkNoOverlap(t)
			if c.begun != 2 {
				t.Errorf("%d runs have begun, want 2", c.begun)
			}
		})
	}
}
