// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sailhead/internal/dispatch"
)

const (
	// overloadFrom and overloadTo are the time in which more work comes than fits, scarceLength until when jobs come.
	overloadFrom, overloadTo = 1 * time.Second, 3 * time.Second
	overloadArrivalsEnd      = 3500 * time.Millisecond
	// overloadEntries and overloadAgents are the size of the site.
	overloadEntries, overloadAgents = 6, 36
)

// refusals is what the entries say of the jobs that they refused.
type refusals struct {
	all, onArrival, late int
	// avoidable counts the jobs that would have had room while the burst lasted, avoidableAfter those that would after its end, which no forecast
	// knows.
	avoidable, avoidableAfter int
}

// countRefusals counts the refusals of a site from now on.
func (s *burstSite) countRefusals() *refusals {
	var r refusals
	s.onDecision = func(m dispatch.DecisionMade) {
		switch decision := m.Decision.(type) {
		case dispatch.DecisionAvoidableRefusal:
			if s.now.Sub(s.started) < overloadTo {
				r.avoidable++
			} else {
				r.avoidableAfter++
			}
		case dispatch.DecisionAnswered:
			r.count(decision)
		}
	}
	return &r
}

func (r *refusals) count(answered dispatch.DecisionAnswered) {
	refusal, isRefusal := answered.Answer.(dispatch.NotRun)
	if !isRefusal {
		return
	}
	r.all++
	if refusal.IsForecast {
		r.onArrival++
	}
	if answered.IsLateRefusal {
		r.late++
	}
}

// check fails unless nearly all refusals came in time and with reason.
//
// Grounds for its figures: a caller that is refused after a quarter of the time within which it wants its answer could have been served
// elsewhere; one in fifty is what a forecast may miss. The few that a short time leaves do not tell.
func (r *refusals) check(t *testing.T) {
	t.Helper()
	t.Logf("%d refused, %d of them on arrival, %d late, %d would have had room in the burst and %d after it", r.all, r.onArrival, r.late, r.avoidable, r.avoidableAfter)
	const fewest = 100
	if r.all < fewest {
		return
	}
	if share := float64(r.late) / float64(r.all); share > 0.02 {
		t.Errorf("%.3f of the refusals came after a quarter of the objective, want 0.02", share)
	}
	if share := float64(r.avoidable) / float64(r.all); share > 0.02 {
		t.Errorf("%.3f of the refused jobs would have had room, want 0.02", share)
	}
	if r.onArrival == 0 {
		t.Error("no job was refused on arrival")
	}
}

// simulateOverload plays a burst on a site of scarceEntries and scarceAgents, with or without forecasts.
func simulateOverload(seed uint64, b burst, noForecast bool) (*burstSite, *refusals) {
	b.from, b.to = overloadFrom, overloadTo
	s := newBurstSiteWith(seed, overloadEntries, overloadAgents, baseLoad, func(s *site) { s.limits.NoForecast = noForecast }, b)
	r := s.countRefusals()
	s.simulate(overloadArrivalsEnd)
	return s, r
}

// goodput returns the work of the jobs on time that was done within a time, as a part of what all workers do. A job is taken to run evenly while its
// longest task does, which ends with it.
func (s *burstSite) goodput(from, to time.Duration) float64 {
	sum := 0.0
	for _, j := range s.jobs {
		if !j.isOnTime() {
			continue
		}
		ended := j.arrived + j.took
		within := min(ended, to) - max(ended-j.longest, from)
		sum += j.work * max(within, 0).Seconds() / j.longest.Seconds()
	}
	return sum / (s.cores() * (to - from).Seconds())
}

func mean(of []float64) float64 {
	sum := 0.0
	for _, value := range of {
		sum += value
	}
	return sum / float64(max(len(of), 1))
}

// overloadPatterns are times in which more work comes than fits: 2 and 5 times as much as all workers do, and burstPatterns, of which "everything
// twice" is 1.24 times.
func overloadPatterns() map[string]burst {
	patterns := make(map[string]burst)
	for _, load := range []float64{2, 5} {
		patterns[fmt.Sprintf("%.1f times all cores", load)] = burst{factor: load / baseLoad}
	}
	for _, p := range burstPatterns {
		patterns[p.name] = p.burst
	}
	return patterns
}

// TestJobsThatCannotBeServedAreRefusedOnArrival plays the patterns of scarcePatterns with forecasts and without.
//
// Grounds for its figures: forecasts choose who is served, they do not make room, so as much has to be served with them. The goodput of
// a second and a half differs by half a hundredth with the jobs that happen to be chosen.
func TestJobsThatCannotBeServedAreRefusedOnArrival(t *testing.T) {
	for name, b := range overloadPatterns() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before, _ := simulateOverload(1, b, true)
			s, r := simulateOverload(1, b, false)
			r.check(t)
			t.Log("with forecasts:\n" + s.table(overloadFrom, overloadTo) + "without:\n" + before.table(overloadFrom, overloadTo))
			measured := overloadFrom + 500*time.Millisecond
			got, want := s.goodput(measured, overloadTo), before.goodput(measured, overloadTo)
			t.Logf("goodput %.3f, without forecasts %.3f", got, want)
			if got < want-0.01 {
				t.Errorf("goodput %.3f, want %.3f as without forecasts", got, want)
			}
		})
	}
}

// TestNoWorkersAreIdleInTurn plays 1.2, 2 and 5 times as much work as all workers do. Entries that all refuse after all have accepted too much
// would leave workers without tasks in turn.
//
// Grounds for its figures: workers have room for ten tasks each, and what tasks of different needs leave free varies by a few of a hundred.
func TestNoWorkersAreIdleInTurn(t *testing.T) {
	for _, load := range []float64{1.2, 2, 5} {
		t.Run(fmt.Sprintf("%.1f times all cores", load), func(t *testing.T) {
			t.Parallel()
			s := newBurstSite(2, overloadEntries, overloadAgents, baseLoad, burst{factor: load / baseLoad, from: overloadFrom, to: overloadTo})
			var running []float64
			for at := overloadFrom + 500*time.Millisecond; at < overloadTo; at += 10 * time.Millisecond {
				s.after(at, func() { running = append(running, float64(s.runningTasks())) })
			}
			s.simulate(overloadArrivalsEnd)
			least := slices.Min(running)
			t.Logf("%.0f tasks run on average, %.0f at least", mean(running), least)
			if least < 0.9*mean(running) {
				t.Errorf("%.0f tasks run at a time, %.0f on average", least, mean(running))
			}
		})
	}
}

// runningTasks returns how many tasks run on all workers.
func (s *site) runningTasks() int {
	count := 0
	for _, a := range s.agents {
		count += len(a.worker.running)
	}
	return count
}

// moderateBurst is half as much work again as all workers do.
var moderateBurst = burst{factor: 1.5 / baseLoad, from: overloadFrom, to: overloadTo}

// newOverload returns the site of playScarce under steadyBurst.
func newOverload(seed uint64) *burstSite {
	return newBurstSite(seed, overloadEntries, overloadAgents, baseLoad, moderateBurst)
}

// atMidBurst calls do when half of the burst is over.
func (s *burstSite) atMidBurst(do func()) {
	s.after((overloadFrom+overloadTo)/2, do)
}

// TestAnEntryThatJoinsInABurstLearns lets an entry join in the burst. It knows no rate, and gets as many jobs as each of the others.
func TestAnEntryThatJoinsInABurstLearns(t *testing.T) {
	t.Parallel()
	s := newOverload(1)
	r := s.countRefusals()
	const joined = overloadEntries
	s.atMidBurst(func() {
		e := s.addEntry(joined)
		e.zone = "joined"
		for _, a := range s.agentsInOrder() {
			e.connect(a)
		}
		for _, k := range variedKinds {
			s.scheduleVariedArrivals(joined, e, k, s.load*s.cores()/meanVariedJobWork()*k.share/overloadEntries, overloadArrivalsEnd)
		}
	})
	s.simulate(overloadArrivalsEnd)
	r.check(t)
	own, jobs := s.served(during((overloadFrom+overloadTo)/2, overloadTo, "", "joined"))
	all, _ := s.served(during((overloadFrom+overloadTo)/2, overloadTo, "", ""))
	t.Logf("%.3f of the work of %d jobs at the entry that joins, %.3f of all", own, jobs, all)
	if own < 0.8*all {
		t.Errorf("%.3f of the work at the entry that joins is on time, and %.3f of all", own, all)
	}
}

// TestForecastsHoldWithLoadsThatAreStale lets the messages to all entries take 5 ms longer than usual, as on VMs that are busy: several times as
// long.
func TestForecastsHoldWithLoadsThatAreStale(t *testing.T) {
	t.Parallel()
	s := newOverload(1)
	for _, e := range s.entries {
		e.in.delay = 5 * time.Millisecond
	}
	r := s.countRefusals()
	s.simulate(overloadArrivalsEnd)
	r.check(t)
}

// TestForecastsHoldWhenHalfOfTheAgentsAreLost crashes every second worker in the burst. None is back before its end.
func TestForecastsHoldWhenHalfOfTheAgentsAreLost(t *testing.T) {
	t.Parallel()
	s := newOverload(1)
	s.atMidBurst(func() {
		for i, a := range s.agentsInOrder() {
			if i%2 == 0 {
				a.worker.crash()
			}
		}
	})
	r := s.countRefusals()
	s.simulate(overloadArrivalsEnd)
	r.check(t)
}

// TestAKindThatWasNeverSeenIsServed lets jobs of a new kind come in the burst, some of them at each entry. As many of them are served as of the
// kind that it is a copy of.
func TestAKindThatWasNeverSeenIsServed(t *testing.T) {
	t.Parallel()
	s := newOverload(1)
	r := s.countRefusals()
	known := variedKinds[1]
	unseen := known
	unseen.Name = "unseen"
	s.atMidBurst(func() {
		for number, e := range s.entries {
			s.scheduleVariedArrivals(number, e, unseen, 0.1*s.cores()/meanVariedJobWork()*known.share/overloadEntries, overloadArrivalsEnd)
		}
	})
	s.simulate(overloadArrivalsEnd)
	r.check(t)
	own, jobs := s.served(during((overloadFrom+overloadTo)/2, overloadTo, unseen.Name, ""))
	others, _ := s.served(during((overloadFrom+overloadTo)/2, overloadTo, known.Name, ""))
	t.Logf("%.3f of the work of %d jobs of the new kind, %.3f of the known one", own, jobs, others)
	if own < 0.8*others {
		t.Errorf("%.3f of the work of the new kind is on time, and %.3f of the known one", own, others)
	}
}
