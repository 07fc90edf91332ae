// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/runner"
)

// noEjection turns the ejection of workers off in all tests of the package.
var noEjection = flag.Bool("ejection.off", false, "do not eject workers")

// ejectionSeed is the seed of the tests of ejection.
var ejectionSeed = flag.Uint64("ejection.seed", 1, "seed of the tests of ejection")

// The faults of the tests.
var (
	failsAtOnce  = fault{kind: faultFails, share: 0.44}
	failsHalfway = fault{kind: faultFails, share: 0.44, after: 0.5}
	failsAll     = fault{kind: faultFails, share: 1}
	hangs        = fault{kind: faultHangs, share: 0.45}
	resets       = fault{kind: faultResets, share: 0.44}
	slows        = fault{kind: faultSlows, share: 1, factor: 5}
	drains       = fault{kind: faultDrains}
)

const (
	// faultFrom and faultTo are the time in which workers fail, within the burst of the tests and longer.
	faultFrom, faultTo = 5 * time.Second, 8 * time.Second
	// faultArrivalsEnd is for how long jobs come.
	faultArrivalsEnd = 9 * time.Second
	// faultAttempts is how many runs of a task may fail in the tests.
	faultAttempts = 2
	// faultEntries and faultAgents are the size of the site.
	faultEntries, faultAgents = 8, 48
)

// longKindBurst is a burst with which all workers together are just busy.
var longKindBurst = burst{kind: "confirmation", factor: 2.5, from: burstFrom, to: burstTo}

// newFaultySite returns a site with the burst of a long kind during which a part of the workers has a fault.
func newFaultySite(seed uint64, share float64, f fault) *burstSite {
	s := newBurstSite(seed, faultEntries, faultAgents, baseLoad, longKindBurst)
	s.attempts = faultAttempts
	s.setFault(share, f, faultFrom, faultTo)
	return s
}

// setFault gives a part of the workers a fault for a time.
func (s *burstSite) setFault(share float64, f fault, from, to time.Duration) {
	all := s.agentsInOrder()
	for _, a := range all[:int(share*float64(len(all))+0.5)] {
		s.after(from, func() { a.worker.setFault(f) })
		s.after(to, func() { a.worker.setFault(fault{}) })
	}
}

// outcome is what became of the jobs that came while workers failed.
type outcome struct {
	// served are the parts of the work that were on time, by kind, and that of all kinds under the empty name.
	served map[string]float64
	// jobs and failed are numbers of jobs, failedRuns is that of the runs that failed.
	jobs, failed, failedRuns int
}

// String returns the parts of the work that were on time.
func (o outcome) String() string {
	text := fmt.Sprintf("%.3f", o.served[""])
	for _, k := range variedKinds {
		text += fmt.Sprintf(" %s %.3f", k.Name, o.served[k.Name])
	}
	return text
}

// simulateFaultyWorkers plays a site with failing workers.
func simulateFaultyWorkers(seed uint64, share float64, f fault) outcome {
	s := newFaultySite(seed, share, f)
	s.simulate(faultArrivalsEnd)
	o := outcome{served: make(map[string]float64), failedRuns: s.failedRuns}
	for _, k := range append([]variedKind{{}}, variedKinds...) {
		o.served[k.Name], _ = s.served(during(faultFrom, faultTo, k.Name, ""))
	}
	for _, j := range s.jobs {
		if j.arrived < faultFrom || j.arrived >= faultTo {
			continue
		}
		o.jobs++
		if _, isFailed := j.answer.(dispatch.Failed); isFailed {
			o.failed++
		}
	}
	return o
}

// TestWorkersThatFailInABurst plays the pattern of a burst of a long kind beside workers of which many runs fail, hang or are lost. Without ejection
// a worker that fails at once is free again at once, so it draws what waits at all entries and fails that too.
//
// Grounds for its figures: the jobs are served as if the workers were not there (drains), less what finding them costs: of five jobs that run on each
// at first and nine probes in three seconds most end late if the worker hangs, 100 of 1,900 jobs for seven workers, more of them of the short kind.
// The failed runs are six until a worker is ejected, with those that run beside, and those of nine probes with one and a half failed runs each, as a
// few get on to the next ones: 20 for each worker. Hardly any job fails: its two attempts would have to fall on workers that are not found yet, which
// takes a tenth of a second. Half of the workers are more than may be ejected: their room is used, and three times as many jobs fail.
func TestWorkersThatFailInABurst(t *testing.T) {
	for _, group := range []struct {
		share  float64
		faults map[string]fault
	}{
		{0.05, map[string]fault{"fail at once": failsAtOnce}},
		{0.15, map[string]fault{"fail at once": failsAtOnce, "fail everything": failsAll, "fail half-way": failsHalfway}},
		{0.15, map[string]fault{"hang": hangs, "are slow": slows, "lose starts": resets}},
		{0.5, map[string]fault{"fail at once": failsAtOnce}},
	} {
		without := sync.OnceValue(func() outcome { return simulateFaultyWorkers(*ejectionSeed, group.share, drains) })
		for name, f := range group.faults {
			t.Run(fmt.Sprintf("%.2f of the workers %s", group.share, name), func(t *testing.T) {
				t.Parallel()
				checkFaultOutcome(t, group.share, simulateFaultyWorkers(*ejectionSeed, group.share, f), without())
			})
		}
	}
}

// checkFaultOutcome checks what became of the jobs beside failing workers, compared with the same jobs without these workers.
func checkFaultOutcome(t *testing.T, share float64, failing, without outcome) {
	const cost, kindCost, runsEach, mostEjected = 0.04, 0.08, 20, 0.3
	t.Logf("%d jobs, %d failed, %d failed runs, served %s; without the workers %s", failing.jobs, failing.failed, failing.failedRuns, failing, without)
	for kind, served := range failing.served {
		least := without.served[kind] - kindCost
		if kind == "" {
			least = without.served[kind] - cost
		}
		if served < least {
			t.Errorf("%.3f of the work of kind %q is on time, want %.3f", served, kind, least)
		}
	}
	mayFail := failing.jobs * 3 / 100
	if share < mostEjected {
		mayFail = failing.jobs / 100
		if workers := share * faultAgents; float64(failing.failedRuns) > runsEach*workers {
			t.Errorf("%d runs fail on %.0f workers, want %d for each at most", failing.failedRuns, workers, runsEach)
		}
	}
	if failing.failed > mayFail {
		t.Errorf("%d of %d jobs fail, want %d at most", failing.failed, failing.jobs, mayFail)
	}
}

// ejectedWorkers returns how many workers are ejectedWorkers now.
func (s *site) ejectedWorkers() int {
	count := 0
	for _, a := range s.agents {
		if a.isEjected {
			count++
		}
	}
	return count
}

// failingKind is a kind of which a share of the runs fails on whatever worker, and the others take some times as long as before.
type failingKind struct{ load, share, slowdown float64 }

// kindOutcome is what happened on a site with a failing kind.
type kindOutcome struct {
	// maxEjected is how many workers were ejected at a time, maxAfter1s and maxAfter4s how many from one and from four seconds on.
	maxEjected, maxAfter1s, maxAfter4s int
	// served are the parts of the work that were on time, by kind, and that of all kinds under the empty name.
	served map[string]float64
}

// simulate lets the reminders of a site be the failing kind from one moment on.
func (f failingKind) simulate(withoutEjection bool) kindOutcome {
	option := func(s *site) { s.limits.NoEjection = s.limits.NoEjection || withoutEjection }
	s := newBurstSiteWith(*ejectionSeed, faultEntries, faultAgents, f.load, option)
	s.attempts = faultAttempts
	s.after(faultFrom, func() { s.failingKind, s.failingShare, s.failingSlowdown = "reminder", f.share, f.slowdown })
	o := kindOutcome{served: make(map[string]float64)}
	s.every(10*time.Millisecond, func() {
		ejected, since := s.ejectedWorkers(), s.now.Sub(s.started)-faultFrom
		o.maxEjected = max(o.maxEjected, ejected)
		if since > time.Second {
			o.maxAfter1s = max(o.maxAfter1s, ejected)
		}
		if since > 4*time.Second {
			o.maxAfter4s = max(o.maxAfter4s, ejected)
		}
	})
	// Probes need jobs: these come until well after the last check.
	s.simulate(faultTo + 2*time.Second)
	for _, kind := range []string{"", "lookup", "reminder", "confirmation"} {
		o.served[kind], _ = s.served(during(faultFrom, faultTo, kind, ""))
	}
	return o
}

// TestAKindThatFailsEverywhereEjectsNobody plays the pattern of a bad configuration of one kind: all its runs fail, or a third, on whatever worker,
// from one moment on.
//
// Grounds for its figures: what runs at that moment is judged before anybody can know that others fail too. The share of ejected workers stays
// below that from which ejections are ignored, and it is nearly nil soon after. All kinds are served as without ejection.
func TestAKindThatFailsEverywhereEjectsNobody(t *testing.T) {
	for _, share := range []float64{1, 0.3} {
		t.Run(fmt.Sprintf("%.1f", share), func(t *testing.T) {
			t.Parallel()
			f := failingKind{load: baseLoad, share: share, slowdown: 1}
			got, want := f.simulate(false), f.simulate(true)
			t.Logf("%+v; without ejection %+v", got, want)
			if got.maxEjected > faultAgents*3/10 || got.maxAfter1s > faultAgents/20 {
				t.Errorf("%d of the workers were ejected at a time, and %d after the first second", got.maxEjected, got.maxAfter1s)
			}
			for kind, served := range got.served {
				if least := want.served[kind] - 0.02; served < least {
					t.Errorf("%.3f of the work of kind %s is on time, want %.3f", served, kind, least)
				}
			}
		})
	}
}

// TestAKindThatTakesLongerEjectsFew plays the pattern of a kind whose tasks take four times as long as before, from one moment on, at a load that
// bears that.
//
// Grounds for its figures: until entries have seen such tasks end, each worker alone looks faulty. No more are ejected than may be, and none once the
// estimates of all entries have followed. For a second or two up to three in ten workers are missing, so a twentieth of the work may be
// lost.
func TestAKindThatTakesLongerEjectsFew(t *testing.T) {
	t.Parallel()
	f := failingKind{load: baseLoad / 2, slowdown: 4}
	got, want := f.simulate(false), f.simulate(true)
	t.Logf("%+v; without ejection %+v", got, want)
	if got.maxEjected > faultAgents/3 || got.maxAfter4s > 0 {
		t.Errorf("%d of the workers were ejected at a time, and %d after four seconds", got.maxEjected, got.maxAfter4s)
	}
	if served, least := got.served[""], want.served[""]-0.05; served < least {
		t.Errorf("%.3f of the work is on time, want %.3f", served, least)
	}
}

// TestAWorkerIsBackInServiceWithinASecond plays the pattern of workers that are well again, some after they failed a second time while they were
// probed, among entries that restart or lose their sessions meanwhile.
//
// Grounds for its figure: callers are refused for want of the room that an ejected worker has.
func TestAWorkerIsBackInServiceWithinASecond(t *testing.T) {
	for _, c := range []struct {
		name string
		// disturb happens while the workers are probed for the last time.
		disturb func(s *burstSite, faulty []*agent)
	}{
		{"nothing else", func(*burstSite, []*agent) {}},
		{"sessions end while a probe is out", func(s *burstSite, faulty []*agent) {
			for _, a := range faulty {
				for id, e := range a.entries {
					if e.isOpen(a.id, id) && s.random.IntN(2) == 0 {
						a.handle(runner.SessionClosed{Session: id})
						e.reopenSession(a, id)
					}
				}
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			const share, relapse = 0.05, 500 * time.Millisecond
			s := newBurstSite(*ejectionSeed, faultEntries, faultAgents, baseLoad)
			s.attempts = faultAttempts
			faulty := s.agentsInOrder()[:3]
			s.setFault(share, failsAll, 3*time.Second, 5*time.Second)
			s.setFault(share, failsAll, 5*time.Second+relapse, 6*time.Second)
			s.after(6*time.Second+100*time.Millisecond, func() { c.disturb(s, faulty) })
			var last time.Duration
			s.every(time.Millisecond, func() {
				if s.ejectedWorkers() > 0 {
					last = s.now.Sub(s.started)
				}
			})
			s.simulate(8 * time.Second)
			if took := last - 6*time.Second; took > time.Second || took < 0 {
				t.Errorf("the last worker was back in service %s after it was well, want a second at most", took)
			}
		})
	}
}

// TestARestartedAgentEjectsItsWorkerAgain plays the pattern of an agent that restarts beside a worker that fails: the new process takes it for one
// in service.
//
// Grounds for its figure: three failed jobs eject a worker, and some more run beside them.
func TestARestartedAgentEjectsItsWorkerAgain(t *testing.T) {
	t.Parallel()
	s := newBurstSite(*ejectionSeed, faultEntries, faultAgents, baseLoad)
	s.attempts = faultAttempts
	faulty := s.agentsInOrder()[0]
	faulty.worker.fault = failsAll
	var before int
	s.after(3*time.Second, func() {
		faulty.restart()
		before = s.failedRuns
	})
	isEjected := false
	s.after(4500*time.Millisecond, func() { isEjected = faulty.isEjected })
	s.simulate(5 * time.Second)
	if !isEjected {
		t.Error("the worker is not ejected after the restart of its agent")
	}
	if more := s.failedRuns - before; more > 30 {
		t.Errorf("%d runs fail after the restart, want 30 at most", more)
	}
}

// TestFlappingWorkersGetFewTasks plays the pattern of workers that crash again soon after they have come back, in a burst: each time they are up
// they are empty and draw what waits.
//
// Grounds for its figures: the first two crashes say nothing yet. After that a worker gets a probe after the back-off and one more with each that is
// done, so a few run when it crashes again, where ten run without ejection.
func TestFlappingWorkersGetFewTasks(t *testing.T) {
	t.Parallel()
	const downTime, upTime, flapping = 700 * time.Millisecond, 300 * time.Millisecond, 4
	s := newBurstSite(*ejectionSeed, faultEntries, faultAgents, baseLoad, longKindBurst)
	s.restartAfter = downTime
	lost, crashes := 0, 0
	for _, a := range s.agentsInOrder()[:flapping] {
		for at := faultFrom; at < faultTo; at += downTime + upTime {
			s.after(at, func() {
				if s.now.Sub(s.started) > faultFrom+2*(downTime+upTime)-time.Millisecond {
					lost, crashes = lost+len(a.worker.running), crashes+1
				}
				a.worker.crash()
			})
		}
	}
	s.simulate(faultTo)
	if mean := float64(lost) / float64(crashes); mean > 4 {
		t.Errorf("%.1f runs are lost with each crash from the third on, want 4 at most", mean)
	}
}

// TestAServiceOfOneWorkerIsServedAgain plays the pattern of a service with one worker, which fails for a moment. Its jobs have no other attempt, so
// none may be a probe.
//
// Grounds for its figure: there is no other worker for which jobs could wait, so they are served as without ejection once runs end well.
func TestAServiceOfOneWorkerIsServedAgain(t *testing.T) {
	t.Parallel()
	const entries, agents, cost = 3, 1, 0.05
	const wellAgain, from, to = 3300 * time.Millisecond, 3500 * time.Millisecond, 5500 * time.Millisecond
	play := func(withoutEjection bool) (served float64, jobs int) {
		option := func(s *site) { s.limits.NoEjection = s.limits.NoEjection || withoutEjection }
		s := newBurstSiteWith(*ejectionSeed, entries, agents, baseLoad, option)
		s.attempts = 1
		s.setFault(1, failsAll, 3*time.Second, wellAgain)
		s.simulate(to)
		return s.served(during(from, to, "", ""))
	}
	got, jobs := play(false)
	want, _ := play(true)
	t.Logf("%.3f of the work of %d jobs is on time; without ejection %.3f", got, jobs, want)
	if got < want-cost {
		t.Errorf("%.3f of the work is on time, want %.3f", got, want-cost)
	}
}
