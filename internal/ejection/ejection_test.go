// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ejection

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// testDetector is a detector with a simulated clock that numbers the jobs whose runs it observes.
type testDetector struct {
	Detector
	now  time.Time
	jobs int
}

func newTestDetector() *testDetector { return &testDetector{now: time.Unix(1000, 0)} }

// run reports a run of a new job to the detector.
func (w *testDetector) run(end End, kindFailureRate float64) {
	w.jobs++
	w.Observe(w.now, Run{Job: fmt.Sprintf("j%d", w.jobs), Kind: "kind", End: end, KindFailureRate: kindFailureRate, Epoch: w.Epoch()})
}

// failUntilEjected reports as many failed runs as are needed to eject a worker in service.
func (w *testDetector) failUntilEjected() {
	for range failuresToEject {
		w.run(EndFailed, 0)
	}
}

// wait advances the clock without probes.
func (w *testDetector) wait(d time.Duration) {
	w.now = w.now.Add(d)
	w.Advance(w.now, false)
}

// failuresToEject is the number of jobs failing in a row that eject a worker.
const failuresToEject = 3

// runsUntilEjected returns after how many runs the worker is ejected if the given share of them fails, or most if it is not ejected.
func (w *testDetector) runsUntilEjected(random *rand.Rand, end End, share, kindFailureRate float64, most int) int {
	for i := range most {
		if w.IsEjected() {
			return i
		}
		if random.Float64() < share {
			w.run(end, kindFailureRate)
		} else {
			w.run(EndDone, kindFailureRate)
		}
	}
	return most
}

// TestDetection simulates workers on which a fraction of the runs fails. It bounds the number of runs until a faulty worker is ejected from
// above, and until a healthy one is ejected from below, as means over the seeds. A worker has some 30 runs a second, so 3000 runs take a
// hundred seconds.
func TestDetection(t *testing.T) {
	const most, seeds = 6000, 100
	for _, c := range []struct {
		name                   string
		end                    End
		share, kindFailureRate float64
		atMost, atLeast        float64
	}{
		{"all fail", EndFailed, 1, 0, failuresToEject, failuresToEject},
		{"nearly half fail", EndFailed, 0.44, 0, 10, failuresToEject},
		{"nearly half fail, and a tenth of the kind elsewhere", EndFailed, 0.5, 0.1, 25, failuresToEject},
		{"nearly half hang", EndOverdue, 0.45, 0, 16, failuresToEject},
		{"all starts are rejected", EndRejected, 1, 0, 40, 5},
		{"jobs fail now and then", EndFailed, 0.002, 0, most, most - 200},
		{"estimates are wrong now and then", EndOverdue, 0.03, 0, most, 1500},
		{"half of the starts are lost", EndRejected, 0.5, 0, most, 3000},
		{"the kind fails everywhere", EndFailed, 1, 1, most, most},
		{"half of the kind fails everywhere", EndFailed, 0.5, 0.5, most, 1000},
		{"a tenth of the kind fails everywhere", EndFailed, 0.1, 0.1, most, 500},
	} {
		t.Run(c.name, func(t *testing.T) {
			sum := 0
			for seed := range uint64(seeds) {
				sum += newTestDetector().runsUntilEjected(rand.New(rand.NewPCG(seed, 1)), c.end, c.share, c.kindFailureRate, most)
			}
			if mean := float64(sum) / seeds; mean > c.atMost || mean < c.atLeast {
				t.Errorf("ejected after %.1f runs on average, want %.0f to %.0f", mean, c.atLeast, c.atMost)
			}
		})
	}
}

// TestSingleJobDoesNotEjectWorker simulates a job that fails through its own fault: of its failed runs only one counts.
func TestSingleJobDoesNotEjectWorker(t *testing.T) {
	w := newTestDetector()
	for range 32 {
		w.Observe(w.now, Run{Job: "j", End: EndFailed})
	}
	if w.IsEjected() {
		t.Error("the runs of one job ejected the worker")
	}
}

// TestFailedProbesDoubleBackoff simulates a worker on which all runs fail.
func TestFailedProbesDoubleBackoff(t *testing.T) {
	w := newTestDetector()
	w.failUntilEjected()
	for _, backoff := range []time.Duration{100, 200, 350, 350} {
		backoff *= time.Millisecond
		w.wait(backoff - time.Millisecond)
		if w.AvailableProbes(0) != 0 {
			t.Fatalf("a probe is due before the back-off of %s is over", backoff)
		}
		w.wait(time.Millisecond)
		if w.AvailableProbes(0) != 1 {
			t.Fatalf("got %d probes due after a back-off of %s, want 1", w.AvailableProbes(0), backoff)
		}
		w.run(EndFailed, 0)
	}
}

// TestSuccessfulProbesRestoreWorker simulates a worker that has recovered. Runs that were started before the ejection must not count.
func TestSuccessfulProbesRestoreWorker(t *testing.T) {
	w := newTestDetector()
	w.run(EndFailed, 0)
	early := Run{Job: "early", End: EndFailed, Epoch: w.Epoch()}
	w.failUntilEjected()
	w.wait(minBackoff)
	for done := range requiredProbes {
		if due := w.AvailableProbes(0); due != done+1 {
			t.Fatalf("got %d probes due after %d are done, want one more than done", due, done)
		}
		w.Observe(w.now, early)
		w.run(EndDone, 0)
	}
	if w.IsEjected() {
		t.Fatal("the worker is still ejected although all probes are done")
	}
	w.Observe(w.now, early)
	w.run(EndFailed, 0)
	if w.IsEjected() {
		t.Error("a run from before the ejection was counted after it")
	}
	w.run(EndFailed, 0)
	w.wait(minBackoff)
	if w.AvailableProbes(0) > 0 {
		t.Error("the back-off after a relapse is not longer than the previous one")
	}
}

// TestFailedProbeOfFailingKindIsIgnored simulates a probe whose kind has started to fail on other workers as well.
func TestFailedProbeOfFailingKindIsIgnored(t *testing.T) {
	w := newTestDetector()
	w.failUntilEjected()
	w.wait(minBackoff)
	w.run(EndFailed, 0.9)
	if w.AvailableProbes(0) != 1 {
		t.Error("no further probe is due")
	}
}

// TestWorkerWithoutProbesIsRestored simulates a site on which no job is suitable as a probe.
func TestWorkerWithoutProbesIsRestored(t *testing.T) {
	w := newTestDetector()
	w.failUntilEjected()
	w.wait(minBackoff)
	w.wait(maxProbeWait + time.Millisecond)
	if w.IsEjected() {
		t.Error("the worker is still ejected after the longest wait for a probe")
	}
}

// TestFlappingWorkersAreEjected simulates workers that go down repeatedly.
func TestFlappingWorkersAreEjected(t *testing.T) {
	for _, c := range []struct {
		every     time.Duration
		isEjected bool
	}{{2 * time.Second, true}, {20 * time.Second, false}} {
		w := newTestDetector()
		for range 3 {
			w.wait(c.every)
			w.WentDown(w.now)
			w.Restarted(w.now)
		}
		if w.IsEjected() != c.isEjected {
			t.Errorf("worker down every %s: got ejected %t, want %t", c.every, w.IsEjected(), c.isEjected)
		}
	}
}

// TestReplacedWorkerStartsInService simulates an ejected worker that announces its end and is replaced.
func TestReplacedWorkerStartsInService(t *testing.T) {
	w := newTestDetector()
	w.failUntilEjected()
	w.Replaced()
	if w.IsEjected() {
		t.Error("the replacement of an ejected worker is ejected")
	}
}

func TestIsOverdue(t *testing.T) {
	const usual = 200 * time.Millisecond
	for _, c := range []struct {
		name     string
		progress Progress
		usual    time.Duration
		isProbe  bool
		want     bool
	}{
		{"far from its data", Progress{Elapsed: 3 * usual}, usual, false, false},
		{"longer than a run far from its data", Progress{Elapsed: 4 * usual}, usual, false, true},
		{"no estimate", Progress{Elapsed: time.Hour}, 0, false, false},
		{"no progress", Progress{Elapsed: usual / 2, IsKnown: true}, usual, false, true},
		{"no progress, just started", Progress{Elapsed: runLimits.minElapsed / 2, IsKnown: true}, usual, false, false},
		{"progress unknown", Progress{Elapsed: usual / 2}, usual, false, false},
		{"a third of the speed", Progress{Elapsed: usual / 2, Percent: 17, IsKnown: true}, usual, false, false},
		{"a fifth of the speed, probe", Progress{Elapsed: usual / 2, Percent: 10, IsKnown: true}, usual, true, true},
		{"half of the speed, probe", Progress{Elapsed: usual, Percent: 50, IsKnown: true}, usual, true, false},
	} {
		if got := IsOverdue(c.progress, c.usual, c.isProbe); got != c.want {
			t.Errorf("%s: got overdue %t, want %t", c.name, got, c.want)
		}
	}
}

// TestFailureRateOfKind simulates runs of one kind on the workers of a site. A worker's own runs do not count towards its rate, those of
// ejected workers count only if there are few others, and only the latest run of each worker counts.
func TestFailureRateOfKind(t *testing.T) {
	name := func(worker int) string { return fmt.Sprintf("w%d", worker) }
	var o Outcomes
	for range 100 {
		o = o.WithRun(name(0), true)
	}
	for i := 1; i <= 8; i++ {
		o = o.WithRun(name(i), i > 6)
	}
	isAnyOf := func(workers ...string) func(string) bool {
		return func(worker string) bool {
			for _, other := range workers {
				if worker == other {
					return true
				}
			}
			return false
		}
	}
	for _, c := range []struct {
		description string
		worker      string
		isEjected   func(string) bool
		want        float64
	}{
		{"all other workers", name(1), isAnyOf(), 3.0 / 8},
		{"own runs excluded", name(0), isAnyOf(), 2.0 / 8},
		{"ejected workers excluded", name(1), isAnyOf(name(0)), 2.0 / 7},
		{"ejected workers included if there are few others", name(1), isAnyOf(name(0), name(2), name(3), name(4), name(5), name(6)), 3.0 / 8},
	} {
		if got := o.FailureRate(c.worker, c.isEjected); got != c.want {
			t.Errorf("%s: got failure rate %.3f, want %.3f", c.description, got, c.want)
		}
	}
	for i := range 100 {
		o = o.WithRun(name(i), false)
	}
	if len(o) != maxOutcomes {
		t.Errorf("got outcomes of %d workers, want %d", len(o), maxOutcomes)
	}
}
