// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ejection

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// watch is a detector with its time, and counts the jobs of which it was told.
type watch struct {
	Detector
	now  time.Time
	jobs int
}

func newWatch() *watch { return &watch{now: time.Unix(1000, 0)} }

// run tells the detector of a run of a job of its own.
func (w *watch) run(end End, kindFailureRate float64) {
	w.jobs++
	w.Observe(w.now, Run{Job: fmt.Sprintf("j%d", w.jobs), Kind: "kind", End: end, KindFailureRate: kindFailureRate, Epoch: w.Epoch()})
}

// fail tells it of as many failed runs as eject a worker in service.
func (w *watch) fail() {
	for range failures {
		w.run(EndFailed, 0)
	}
}

// wait lets time pass without probes.
func (w *watch) wait(d time.Duration) {
	w.now = w.now.Add(d)
	w.Advance(w.now, false)
}

// failures is how many jobs that fail in a row eject a worker.
const failures = 3

// until returns after how many runs the worker is ejected if a share of them fails, or most if it is not.
func (w *watch) until(random *rand.Rand, end End, share, kindFailureRate float64, most int) int {
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

// TestDetection plays workers on which a part of the runs goes wrong. The most runs until a faulty worker is ejected, and the fewest until
// one without a fault is, are means over seeds: a worker has some 30 runs a second, so 3000 are a hundred seconds.
func TestDetection(t *testing.T) {
	const most, seeds = 6000, 100
	for _, c := range []struct {
		name                   string
		end                    End
		share, kindFailureRate float64
		atMost, atLeast        float64
	}{
		{"all fail", EndFailed, 1, 0, failures, failures},
		{"nearly half fail", EndFailed, 0.44, 0, 10, failures},
		{"nearly half fail, and a tenth of the kind elsewhere", EndFailed, 0.5, 0.1, 25, failures},
		{"nearly half hang", EndOverdue, 0.45, 0, 16, failures},
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
				sum += newWatch().until(rand.New(rand.NewPCG(seed, 1)), c.end, c.share, c.kindFailureRate, most)
			}
			if mean := float64(sum) / seeds; mean > c.atMost || mean < c.atLeast {
				t.Errorf("ejected after %.1f runs on average, want %.0f to %.0f", mean, c.atLeast, c.atMost)
			}
		})
	}
}

// TestOneJobEjectsNoWorker plays a job that fails by its own fault: of all its tasks only one counts.
func TestOneJobEjectsNoWorker(t *testing.T) {
	w := newWatch()
	for range 32 {
		w.Observe(w.now, Run{Job: "j", End: EndFailed})
	}
	if w.IsEjected() {
		t.Error("the runs of one job have ejected the worker")
	}
}

// TestFailedProbesDoubleTheBackoff plays a worker that fails everything.
func TestFailedProbesDoubleTheBackoff(t *testing.T) {
	w := newWatch()
	w.fail()
	for _, backoff := range []time.Duration{100, 200, 350, 350} {
		backoff *= time.Millisecond
		w.wait(backoff - time.Millisecond)
		if w.MissingProbes(0) != 0 {
			t.Fatalf("a probe is due before %s are over", backoff)
		}
		w.wait(time.Millisecond)
		if w.MissingProbes(0) != 1 {
			t.Fatalf("%d probes are due after %s, want 1", w.MissingProbes(0), backoff)
		}
		w.run(EndFailed, 0)
	}
}

// TestDoneProbesPutTheWorkerInService plays a worker that is well again. The runs that were started before the failed probe do not count.
func TestDoneProbesPutTheWorkerInService(t *testing.T) {
	w := newWatch()
	w.run(EndFailed, 0)
	early := Run{Job: "early", End: EndFailed, Epoch: w.Epoch()}
	w.fail()
	w.wait(minBackoff)
	for done := range neededProbes {
		if due := w.MissingProbes(0); due != done+1 {
			t.Fatalf("%d probes are due after %d are done, want one more", due, done)
		}
		w.Observe(w.now, early)
		w.run(EndDone, 0)
	}
	if w.IsEjected() {
		t.Fatal("the worker is ejected although all probes are done")
	}
	w.Observe(w.now, early)
	w.run(EndFailed, 0)
	if w.IsEjected() {
		t.Error("a run from before the ejection counts after it")
	}
	w.run(EndFailed, 0)
	w.wait(minBackoff)
	if w.MissingProbes(0) > 0 {
		t.Error("the back-off of a relapse is no longer than the one before")
	}
}

// TestAProbeOfAKindThatFailsEverywhereTellsNothing plays a probe whose kind has come to fail elsewhere too.
func TestAProbeOfAKindThatFailsEverywhereTellsNothing(t *testing.T) {
	w := newWatch()
	w.fail()
	w.wait(minBackoff)
	w.run(EndFailed, 0.9)
	if w.MissingProbes(0) != 1 {
		t.Error("no other probe is due")
	}
}

// TestAWorkerWithoutProbesReturns plays a site on which no job suits a probe.
func TestAWorkerWithoutProbesReturns(t *testing.T) {
	w := newWatch()
	w.fail()
	w.wait(minBackoff)
	w.wait(maxSilence + time.Millisecond)
	if w.IsEjected() {
		t.Error("the worker is still ejected")
	}
}

// TestFlappingWorkersAreEjected plays workers that go down again and again.
func TestFlappingWorkersAreEjected(t *testing.T) {
	for _, c := range []struct {
		every     time.Duration
		isEjected bool
	}{{2 * time.Second, true}, {20 * time.Second, false}} {
		w := newWatch()
		for range 3 {
			w.wait(c.every)
			w.WentDown(w.now)
			w.Restarted(w.now)
		}
		if w.IsEjected() != c.isEjected {
			t.Errorf("down each %s: ejected %t, want %t", c.every, w.IsEjected(), c.isEjected)
		}
	}
}

// TestAnAnnouncedEndLeavesNoTrace plays an ejected worker that is replaced.
func TestAnAnnouncedEndLeavesNoTrace(t *testing.T) {
	w := newWatch()
	w.fail()
	w.Replaced()
	if w.IsEjected() {
		t.Error("the next worker is ejected")
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
		{"longer than that", Progress{Elapsed: 4 * usual}, usual, false, true},
		{"no estimate", Progress{Elapsed: time.Hour}, 0, false, false},
		{"no progress", Progress{Elapsed: usual / 2, IsKnown: true}, usual, false, true},
		{"no progress, just begun", Progress{Elapsed: runTolerance.minElapsed / 2, IsKnown: true}, usual, false, false},
		{"progress not told", Progress{Elapsed: usual / 2}, usual, false, false},
		{"a third of the speed", Progress{Elapsed: usual / 2, Percent: 17, IsKnown: true}, usual, false, false},
		{"a fifth of the speed, probe", Progress{Elapsed: usual / 2, Percent: 10, IsKnown: true}, usual, true, true},
		{"half of the speed, probe", Progress{Elapsed: usual, Percent: 50, IsKnown: true}, usual, true, false},
	} {
		if got := IsOverdue(c.progress, c.usual, c.isProbe); got != c.want {
			t.Errorf("%s: overdue %t, want %t", c.name, got, c.want)
		}
	}
}

// TestKindsThatFailEverywhereAreTold plays runs of one kind on the workers of a site. Those of a worker do not count for itself, those of ejected
// workers only if there are few others, and of each worker only the latest.
func TestKindsThatFailEverywhereAreTold(t *testing.T) {
	name := func(worker int) string { return fmt.Sprintf("w%d", worker) }
	var o Outcomes
	for range 100 {
		o = o.WithRun(name(0), true)
	}
	for i := 1; i <= 8; i++ {
		o = o.WithRun(name(i), i > 6)
	}
	ejects := func(ejected ...string) func(string) bool {
		return func(worker string) bool {
			for _, other := range ejected {
				if worker == other {
					return true
				}
			}
			return false
		}
	}
	for _, c := range []struct {
		about   string
		worker  string
		ejected func(string) bool
		want    float64
	}{
		{"all others", name(1), ejects(), 3.0 / 8},
		{"not itself", name(0), ejects(), 2.0 / 8},
		{"not ejected ones", name(1), ejects(name(0)), 2.0 / 7},
		{"ejected ones if there are few others", name(1), ejects(name(0), name(2), name(3), name(4), name(5), name(6)), 3.0 / 8},
	} {
		if got := o.FailureRate(c.worker, c.ejected); got != c.want {
			t.Errorf("%s: %.3f, want %.3f", c.about, got, c.want)
		}
	}
	for i := range 100 {
		o = o.WithRun(name(i), false)
	}
	if len(o) != maxOutcomes {
		t.Errorf("%d workers are remembered, want %d", len(o), maxOutcomes)
	}
}
