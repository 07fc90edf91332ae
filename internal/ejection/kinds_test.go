// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ejection

import (
	"fmt"
	"testing"
	"time"
)

// runOf reports a run of a new job of the given kind, 20 ms after the previous run.
func (w *testDetector) runOf(kind string, end End, kindFailureRate float64) {
	w.now = w.now.Add(20 * time.Millisecond)
	w.jobs++
	w.Observe(w.now, Run{Job: fmt.Sprintf("j%d", w.jobs), Kind: kind, End: end, KindFailureRate: kindFailureRate, Epoch: w.Epoch()})
}

// completeRuns reports completed runs of two kinds.
func (w *testDetector) completeRuns() {
	for range 10 {
		w.runOf("short", EndDone, 0)
		w.runOf("long", EndDone, 0)
	}
}

// TestSingleOverdueKindDoesNotEjectWorker simulates a kind whose runs all start to take longer at some point, while those of another kind are
// done. Entries report the kind's failure rate after a while. The test covers a worker that was never ejected, and one that was ejected
// before for another cause.
func TestSingleOverdueKindDoesNotEjectWorker(t *testing.T) {
	for _, isRestored := range []bool{false, true} {
		w := newTestDetector()
		if isRestored {
			w.failUntilEjected()
			w.wait(minBackoff)
			w.wait(maxProbeWait + time.Millisecond)
		}
		w.completeRuns()
		for began := w.now; w.now.Sub(began) < 2*maxSingleKindTime; {
			rate := 0.0
			if w.now.Sub(began) > maxSingleKindTime/2 {
				rate = 0.8
			}
			for range 4 {
				w.runOf("long", EndOverdue, rate)
			}
			w.runOf("short", EndDone, 0)
		}
		if w.IsEjected() {
			t.Errorf("the worker is ejected for a single overdue kind (restored before: %t)", isRestored)
		}
	}
}

// TestOverdueKindWithOtherEvidenceEjectsWorker simulates workers on which the runs of one kind are overdue and other evidence shows that the
// worker is faulty. They must be ejected after as many runs as without other kinds, or a few more.
func TestOverdueKindWithOtherEvidenceEjectsWorker(t *testing.T) {
	for _, c := range []struct {
		name   string
		runs   func(w *testDetector)
		within time.Duration
	}{
		{"runs of the other kind are overdue too", func(w *testDetector) {
			w.runOf("long", EndOverdue, 0)
			w.runOf("short", EndOverdue, 0)
		}, 4 * 20 * time.Millisecond},
		{"half of the runs of both are done", func(w *testDetector) {
			w.runOf("long", EndOverdue, 0)
			w.runOf("short", EndOverdue, 0)
			w.runOf("long", EndDone, 0)
			w.runOf("short", EndDone, 0)
		}, 10 * 20 * time.Millisecond},
		{"runs of the other kind fail", func(w *testDetector) {
			w.runOf("long", EndOverdue, 0)
			w.runOf("short", EndFailed, 0)
		}, 4 * 20 * time.Millisecond},
		{"runs of the other kind are no longer done", func(w *testDetector) { w.runOf("long", EndOverdue, 0) }, recentlyDoneTime + 40*time.Millisecond},
		{"one kind is overdue for long, and entries report no failure rate", func(w *testDetector) {
			w.runOf("long", EndOverdue, 0)
			w.runOf("short", EndDone, 0)
		}, maxSingleKindTime + 200*time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestDetector()
			w.completeRuns()
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

// TestWorkerOfSingleKindIsEjected simulates a worker that runs one kind only, so that no other kind is evidence of a healthy worker.
func TestWorkerOfSingleKindIsEjected(t *testing.T) {
	w := newTestDetector()
	for range 20 {
		w.runOf("long", EndDone, 0)
	}
	for range 4 {
		w.runOf("long", EndOverdue, 0)
	}
	if !w.IsEjected() {
		t.Error("the worker is not ejected after four overdue runs")
	}
}
