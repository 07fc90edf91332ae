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
var noEjection = flag.Bool("ejection.off", false, "turn off the ejection of workers")

var ejectionSeed = flag.Uint64("ejection.seed", 1, "seed of the tests of ejection")

// Faults that the tests inject.
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
	// faultFrom and faultTo delimit the time in which workers are faulty. It starts within longKindBurst and ends
	// with it.
	faultFrom, faultTo = 5 * time.Second, 8 * time.Second
	// Jobs arrive until faultArrivalsEnd.
	faultArrivalsEnd = 9 * time.Second
	// faultAttempts is the number of runs of a task that may fail.
	faultAttempts = 2
	// faultEntries and faultAgents are the size of the site.
	faultEntries, faultAgents = 8, 48
)

// longKindBurst brings the load up to just what all workers together can process.
var longKindBurst = burst{kind: "confirmation", factor: 2.5, from: burstFrom, to: burstTo}

// newFaultySite returns a site with a burst of a long kind, during which a share of the workers has a fault.
func newFaultySite(seed uint64, share float64, f fault) *burstSite {
	s := newBurstSite(seed, faultEntries, faultAgents, baseLoad, longKindBurst)
	s.attempts = faultAttempts
	s.setFault(share, f, faultFrom, faultTo)
	return s
}

// setFault injects a fault into a share of the workers between from and to.
func (s *burstSite) setFault(share float64, f fault, from, to time.Duration) {
	all := s.agentsInOrder()
	for _, a := range all[:int(share*float64(len(all))+0.5)] {
		s.after(from, func() { a.worker.setFault(f) })
		s.after(to, func() { a.worker.setFault(fault{}) })
	}
}

// outcome summarises the jobs that arrived while workers were faulty.
type outcome struct {
	// served holds the share of the work completed on time by kind, and of all kinds under the empty name.
	served map[string]float64
	// jobs and failed count jobs; failedRuns counts failed runs.
	jobs, failed, failedRuns int
}

// String returns the shares of the work that were completed on time.
func (o outcome) String() string {
	text := fmt.Sprintf("%.3f", o.served[""])
	for _, k := range variedKinds {
		text += fmt.Sprintf(" %s %.3f", k.Name, o.served[k.Name])
	}
	return text
}

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

// TestWorkersThatFailInABurst covers a burst of a long kind while many runs on some workers fail, hang or are lost.
// Without ejection a worker whose runs fail at once has free capacity again at once, so it attracts waiting tasks of
// all entries and fails them, too.
//
// The jobs must be served as if the workers were not there (drains), less the cost of detecting them: of five jobs
// that run on each worker at first and nine probes in three seconds, most end late if the worker hangs. That is 100
// of 1,900 jobs for seven workers, and more of them are of the short kind. The bound of 20 failed runs for each
// worker has two parts: six until the worker is ejected, including those that run concurrently, and nine probes with
// 1.5 failed runs each, as a few retries reach the next faulty worker. Hardly any job fails, as both of its attempts
// would have to reach workers that are not ejected yet, and ejection takes a tenth of a second. If half of the
// workers are faulty, which is more than may be ejected, their capacity is used, and three times as many jobs may
// fail.
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

// checkFaultOutcome compares the results with faulty workers with those of the same jobs while these workers drain.
func checkFaultOutcome(t *testing.T, share float64, failing, without outcome) {
	const cost, kindCost, maxRunsEach, maxEjectedShare = 0.04, 0.08, 20, 0.3
	t.Logf("%d jobs, %d failed, %d failed runs; completed on time %s; with these workers draining %s", failing.jobs, failing.failed, failing.failedRuns, failing, without)
	for kind, served := range failing.served {
		least := without.served[kind] - kindCost
		if kind == "" {
			least = without.served[kind] - cost
		}
		if served < least {
			t.Errorf("%.3f of the work of kind %q completed on time, want at least %.3f", served, kind, least)
		}
	}
	mayFail := failing.jobs * 3 / 100
	if share < maxEjectedShare {
		mayFail = failing.jobs / 100
		if workers := share * faultAgents; float64(failing.failedRuns) > maxRunsEach*workers {
			t.Errorf("%d runs failed on %.0f workers, want at most %d per worker", failing.failedRuns, workers, maxRunsEach)
		}
	}
	if failing.failed > mayFail {
		t.Errorf("%d of %d jobs failed, want at most %d", failing.failed, failing.jobs, mayFail)
	}
}

// ejectedWorkers returns the number of workers that are currently ejected.
func (s *site) ejectedWorkers() int {
	count := 0
	for _, a := range s.agents {
		if a.isEjected {
			count++
		}
	}
	return count
}

// failingKind is a kind of which a share of the runs fails on any worker; the runs of the kind take slowdown times as
// long as their callers estimate.
type failingKind struct{ load, share, slowdown float64 }

// kindOutcome summarises a simulation with a failing kind.
type kindOutcome struct {
	// maxEjected is the maximum number of workers ejected at the same time; maxAfter1s and maxAfter4s are this
	// maximum from one and from four seconds after the change on.
	maxEjected, maxAfter1s, maxAfter4s int
	// served holds the share of the work completed on time by kind, and of all kinds under the empty name.
	served map[string]float64
}

// simulate makes the kind "reminder" fail or slow down from faultFrom on.
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
	// Probes need jobs, so jobs arrive until well after the last check.
	s.simulate(faultTo + 2*time.Second)
	for _, kind := range []string{"", "lookup", "reminder", "confirmation"} {
		o.served[kind], _ = s.served(during(faultFrom, faultTo, kind, ""))
	}
	return o
}

// TestAKindThatFailsEverywhereEjectsNobody covers a faulty configuration of one kind: from one moment on, all its
// runs or a third of them fail on any worker.
//
// Runs in progress at that moment are judged before any agent can know that the kind fails on other workers, too. The
// share of ejected workers stays below the share from which ejections are ignored, and is close to zero soon after.
// All kinds are served as well as without ejection.
func TestAKindThatFailsEverywhereEjectsNobody(t *testing.T) {
	for _, share := range []float64{1, 0.3} {
		t.Run(fmt.Sprintf("%.1f", share), func(t *testing.T) {
			t.Parallel()
			f := failingKind{load: baseLoad, share: share, slowdown: 1}
			got, want := f.simulate(false), f.simulate(true)
			t.Logf("%+v; without ejection %+v", got, want)
			if got.maxEjected > faultAgents*3/10 || got.maxAfter1s > faultAgents/20 {
				t.Errorf("%d workers were ejected at the same time, and %d after the first second", got.maxEjected, got.maxAfter1s)
			}
			for kind, served := range got.served {
				if least := want.served[kind] - 0.02; served < least {
					t.Errorf("%.3f of the work of kind %q completed on time, want at least %.3f", served, kind, least)
				}
			}
		})
	}
}

// TestAKindThatTakesLongerEjectsFew covers a kind whose tasks take four times as long from one moment on, at a load
// that leaves enough capacity for that.
//
// Until entries have seen such tasks complete, each worker looks faulty to its agent. No more workers are ejected
// than the limit allows, and none once the estimates of all entries have adapted. For a second or two up to three in
// ten workers are missing, so up to a twentieth of the work may be lost.
func TestAKindThatTakesLongerEjectsFew(t *testing.T) {
	t.Parallel()
	f := failingKind{load: baseLoad / 2, slowdown: 4}
	got, want := f.simulate(false), f.simulate(true)
	t.Logf("%+v; without ejection %+v", got, want)
	if got.maxEjected > faultAgents/3 || got.maxAfter4s > 0 {
		t.Errorf("%d workers were ejected at the same time, and %d after four seconds", got.maxEjected, got.maxAfter4s)
	}
	if served, least := got.served[""], want.served[""]-0.05; served < least {
		t.Errorf("%.3f of the work completed on time, want at least %.3f", served, least)
	}
}

// TestAWorkerIsBackInServiceWithinASecond covers workers that recover, some after they failed again while they were
// being probed, and sessions that are lost in the meantime. The time is bounded because callers are refused for lack
// of the capacity of ejected workers.
func TestAWorkerIsBackInServiceWithinASecond(t *testing.T) {
	for _, c := range []struct {
		name string
		// disturb runs while the workers are being probed for the last time.
		disturb func(s *burstSite, faulty []*agent)
	}{
		{"no disturbance", func(*burstSite, []*agent) {}},
		{"sessions close during a probe", func(s *burstSite, faulty []*agent) {
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
				t.Errorf("the last worker was back in service %s after its fault ended, want at most 1s", took)
			}
		})
	}
}

// TestARestartedAgentEjectsItsWorkerAgain covers an agent that restarts next to a faulty worker. The new process
// assumes that the worker is in service. Three failed jobs eject a worker, and a few more run on it concurrently,
// which gives the bound.
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
		t.Error("the worker was not ejected again after the restart of its agent")
	}
	if more := s.failedRuns - before; more > 30 {
		t.Errorf("%d runs failed after the restart, want at most 30", more)
	}
}

// TestFlappingWorkersGetFewTasks covers workers that crash again soon after each restart, in a burst. After each
// restart they are idle and attract waiting tasks.
//
// The first two crashes are not enough evidence for an ejection. After them a worker gets one probe after the
// back-off, and one more task with each that completes, so only a few run when it crashes again. Without ejection it
// is ten.
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
		t.Errorf("%.1f runs lost per crash from the third crash on, want at most 4", mean)
	}
}

// TestAServiceOfOneWorkerIsServedAgain covers a service with one worker, which fails for a short time. Its jobs have
// a single attempt, so none may be a probe. There is no other worker for which jobs could wait, so once runs succeed
// again jobs must be served as well as without ejection.
func TestAServiceOfOneWorkerIsServedAgain(t *testing.T) {
	t.Parallel()
	const entries, agents, cost = 3, 1, 0.05
	const wellAgain, from, to = 3300 * time.Millisecond, 3500 * time.Millisecond, 5500 * time.Millisecond
	simulate := func(withoutEjection bool) (served float64, jobs int) {
		option := func(s *site) { s.limits.NoEjection = s.limits.NoEjection || withoutEjection }
		s := newBurstSiteWith(*ejectionSeed, entries, agents, baseLoad, option)
		s.attempts = 1
		s.setFault(1, failsAll, 3*time.Second, wellAgain)
		s.simulate(to)
		return s.served(during(from, to, "", ""))
	}
	got, jobs := simulate(false)
	want, _ := simulate(true)
	t.Logf("%.3f of the work of %d jobs completed on time; without ejection %.3f", got, jobs, want)
	if got < want-cost {
		t.Errorf("%.3f of the work completed on time, want at least %.3f", got, want-cost)
	}
}
