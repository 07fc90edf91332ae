// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ejection

import (
	"fmt"
	"testing"
	"time"
)

// runOf tells the detector of a run of a job and kind of its own, some time after the one before.
func (w *watch) runOf(kind string, end End, kindFailureRate float64) {
	w.now = w.now.Add(20 * time.Millisecond)
	w.jobs++
	w.Observe(w.now, Run{Job: fmt.Sprintf("j%d", w.jobs), Kind: kind, End: end, KindFailureRate: kindFailureRate, Epoch: w.Epoch()})
}

// serve tells it of runs of two kinds that are done.
func (w *watch) serve() {
	for range 10 {
		w.runOf("short", EndDone, 0)
		w.runOf("long", EndDone, 0)
	}
}

// TestAKindThatIsOverdueAloneEjectsNoWorker plays a kind whose runs all take longer from one moment on, while those of another one are done. The
// entries tell of it after a while. It does so again after an ejection for another cause.
func TestAKindThatIsOverdueAloneEjectsNoWorker(t *testing.T) {
	for _, isRestored := range []bool{false, true} {
		w := newWatch()
		if isRestored {
			w.fail()
			w.wait(minBackoff)
			w.wait(maxSilence + time.Millisecond)
		}
		w.serve()
		for began := w.now; w.now.Sub(began) < 2*kindTime; {
			rate := 0.0
			if w.now.Sub(began) > kindTime/2 {
				rate = 0.8
			}
			for range 4 {
				w.runOf("long", EndOverdue, rate)
			}
			w.runOf("short", EndDone, 0)
		}
		if w.IsEjected() {
			t.Errorf("restored before %t: the worker is ejected", isRestored)
		}
	}
}

// TestOverdueRunsOfSeveralKindsEjectTheWorker plays workers on which the runs of one kind are overdue, and something else says that the worker is
// faulty. They are ejected after as many runs as without other kinds, or a few more.
func TestOverdueRunsOfSeveralKindsEjectTheWorker(t *testing.T) {
	for _, c := range []struct {
		name   string
		runs   func(w *watch)
		within time.Duration
	}{
		{"runs of the other kind are overdue too", func(w *watch) {
			w.runOf("long", EndOverdue, 0)
			w.runOf("short", EndOverdue, 0)
		}, 4 * 20 * time.Millisecond},
		{"half of the runs of both are done", func(w *watch) {
			w.runOf("long", EndOverdue, 0)
			w.runOf("short", EndOverdue, 0)
			w.runOf("long", EndDone, 0)
			w.runOf("short", EndDone, 0)
		}, 10 * 20 * time.Millisecond},
		{"runs of the other kind fail", func(w *watch) {
			w.runOf("long", EndOverdue, 0)
			w.runOf("short", EndFailed, 0)
		}, 4 * 20 * time.Millisecond},
		{"no run of the other kind is done any more", func(w *watch) { w.runOf("long", EndOverdue, 0) }, doneTime + 40*time.Millisecond},
		{"it is so for long, and entries do not tell of it", func(w *watch) {
			w.runOf("long", EndOverdue, 0)
			w.runOf("short", EndDone, 0)
		}, kindTime + 200*time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWatch()
			w.serve()
			began := w.now
			for w.now.Sub(began) < c.within {
				c.runs(w)
			}
			if !w.IsEjected() {
				t.Errorf("the worker is not ejected after %s", c.within)
			}
		})
	}
}

// TestAWorkerOfOneKindIsEjected plays a worker that runs one kind only: nothing shows that the worker is well.
func TestAWorkerOfOneKindIsEjected(t *testing.T) {
	w := newWatch()
	for range 20 {
		w.runOf("long", EndDone, 0)
	}
	for range 4 {
		w.runOf("long", EndOverdue, 0)
	}
	if !w.IsEjected() {
		t.Error("the worker is not ejected after four runs that are overdue")
	}
}
