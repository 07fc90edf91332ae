// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"flag"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/runner"
)

var (
	noShares   = flag.Bool("shares.off", false, "turn off the shares of kinds and availability zones")
	sharesSeed = flag.Uint64("shares.seed", 1, "seed of the tests of shares")
)

const (
	// minUnaffectedShare is the minimum share of the work on time, 0 to 1, of a kind or an availability zone while
	// another one has a burst.
	minUnaffectedShare = 0.95
	// maxGoodputLoss is how much less work may be on time than if tasks are chosen by urgency alone, as a fraction of
	// the submitted work.
	maxGoodputLoss = 0.02
	// sharesFrom and sharesTo delimit the bursts.
	sharesFrom, sharesTo = 3 * time.Second, 6 * time.Second
)

// sharesSite is the size of a site. Results of a small one depend more on chance.
type sharesSite struct{ entries, agents int }

var smallSite, largeSite = sharesSite{entries: 6, agents: 36}, sharesSite{entries: 12, agents: 69}

// unaffected selects jobs whose rate does not change during a burst: of a kind and a zone, or of all zones except
// one; empty fields match all.
type unaffected struct{ kind, zone, except string }

// matches returns a condition for served: the job arrived between from and the end of the burst, and is selected.
func (p unaffected) matches(from time.Duration) func(*variedJob) bool {
	comes := during(from, sharesTo, p.kind, p.zone)
	return func(j *variedJob) bool { return comes(j) && (p.except == "" || j.zone != p.except) }
}

// sharesPatterns are bursts, and the jobs that are not part of them.
var sharesPatterns = []struct {
	name      string
	site      sharesSite
	bursts    []burst
	protected []unaffected
}{
	{"a long kind over short ones", largeSite, []burst{{kind: "confirmation", factor: 6}}, []unaffected{{kind: "lookup"}, {kind: "reminder"}}},
	{"a short kind over long ones", smallSite, []burst{{kind: "lookup", factor: 5}}, []unaffected{{kind: "reminder"}, {kind: "confirmation"}}},
	{"one zone", smallSite, []burst{{zone: "zone-a", factor: 3.5}}, []unaffected{{zone: "zone-b"}, {zone: "zone-c"}}},
	{"one entry", smallSite, []burst{{entry: 1, factor: 9}}, []unaffected{{except: "zone-a"}}},
	{"a kind and a zone", smallSite, []burst{{kind: "confirmation", factor: 3}, {zone: "zone-a", factor: 3}}, []unaffected{
		{kind: "lookup", except: "zone-a"}, {kind: "reminder", except: "zone-a"},
	}},
}

// TestABurstDoesNotDelayOthers simulates a load that exceeds the capacity, because of a kind, an availability zone or
// an entry. All other jobs must stay on time.
func TestABurstDoesNotDelayOthers(t *testing.T) {
	for _, pattern := range sharesPatterns {
		t.Run(pattern.name, func(t *testing.T) {
			t.Parallel()
			s := newSharesBurst(pattern.site, pattern.bursts...)
			s.simulate(sharesTo)
			t.Log("completed on time during the burst:\n" + s.table(sharesFrom, sharesTo))
			s.checkServed(t, sharesFrom, minUnaffectedShare, pattern.protected...)
		})
	}
}

// TestSharesCostLittleGoodput compares the work on time with that of sites that choose tasks by urgency alone, under
// the burst in which shares leave the most capacity unused.
func TestSharesCostLittleGoodput(t *testing.T) {
	t.Parallel()
	longKind := burst{kind: "confirmation", factor: 6}
	byUrgency := newSharesBurstWith(largeSite, byUrgencyAlone, longKind)
	byUrgency.simulate(sharesTo)
	least, _ := byUrgency.served(unaffected{}.matches(sharesFrom))
	s := newSharesBurst(largeSite, longKind)
	s.simulate(sharesTo)
	s.checkServed(t, sharesFrom, least-maxGoodputLoss, unaffected{})
}

// byUrgencyAlone is the option of sites without shares.
func byUrgencyAlone(s *site) { s.limits.NoShares = true }

// newSharesBurst returns a site with bursts from sharesFrom to sharesTo.
func newSharesBurst(size sharesSite, bursts ...burst) *burstSite {
	return newSharesBurstWith(size, func(*site) {}, bursts...)
}

// newSharesBurstWith is newSharesBurst with an option.
func newSharesBurstWith(size sharesSite, option func(*site), bursts ...burst) *burstSite {
	for i := range bursts {
		bursts[i].from, bursts[i].to = sharesFrom, sharesTo
	}
	return newBurstSiteWith(*sharesSeed, size.entries, size.agents, baseLoad, option, bursts...)
}

// checkServed fails for each selection of jobs of which less than want of the work that arrived from a time on is on
// time.
func (s *burstSite) checkServed(t *testing.T, from time.Duration, want float64, all ...unaffected) {
	t.Helper()
	for _, p := range all {
		share, jobs := s.served(p.matches(from))
		if share < want {
			t.Errorf("%+v: %.3f of the work of %d jobs completed on time, want at least %.3f", p, share, jobs, want)
		}
	}
}

// TestABurstOfEverythingIsServedFairly simulates 1.2, 2 and 5 times the capacity, of all kinds in all zones. No kind
// and zone may be served much worse than others.
func TestABurstOfEverythingIsServedFairly(t *testing.T) {
	t.Parallel()
	for _, load := range []float64{1.2, 2, 5} {
		s := newSharesBurst(smallSite, burst{factor: load / baseLoad})
		s.simulate(sharesTo)
		all, _ := s.served(unaffected{}.matches(sharesFrom))
		t.Logf("%.1f times the capacity: %.3f on time, Jain's index %.3f\n%s", load, all, s.fairnessIndex(), s.table(sharesFrom, sharesTo))
		if s.fairnessIndex() < minUnaffectedShare {
			t.Errorf("%.1f times the capacity: Jain's index %.3f, want at least %.2f", load, s.fairnessIndex(), minUnaffectedShare)
		}
	}
}

// fairnessIndex returns Jain's index over the shares of work on time during the burst of each kind in each
// availability zone: 1 if all are equal.
func (s *burstSite) fairnessIndex() float64 {
	var sum, squares, count float64
	for _, zone := range zones {
		for _, k := range variedKinds {
			share, _ := s.served(during(sharesFrom, sharesTo, k.Name, zone))
			sum += share
			squares += share * share
			count++
		}
	}
	return sum * sum / (count * squares)
}

// TestAgentsThatStartInABurstLearnShares restarts some agents while a zone has a burst. The new processes have no
// record of usage; from one second after the restart on the jobs of other zones must be on time.
func TestAgentsThatStartInABurstLearnShares(t *testing.T) {
	t.Parallel()
	const at = sharesFrom + time.Second/2
	s := newSharesBurst(largeSite, burst{zone: "zone-a", factor: 3.5})
	s.after(at, func() {
		for number, id := range slices.Sorted(maps.Keys(s.agents)) {
			if number%12 == 0 {
				s.agents[id].restart()
			}
		}
	})
	s.simulate(sharesTo)
	t.Log("completed on time:\n" + s.table(at+time.Second, sharesTo))
	s.checkServed(t, at+time.Second, minUnaffectedShare, unaffected{except: "zone-a"})
}

// TestAnEntryThatJoinsInABurstTakesFromNobody adds an entry during a burst of the long kind. The entry takes over
// half of the callers of another one in its zone, and refuses some jobs as it has no estimates of run times yet. The
// short jobs of the other zones must stay on time.
func TestAnEntryThatJoinsInABurstTakesFromNobody(t *testing.T) {
	t.Parallel()
	const at = sharesFrom + time.Second/2
	s := newSharesBurst(largeSite, burst{kind: "confirmation", factor: 6})
	joined := s.entries[1]
	s.after(at, func() { s.join(joined) })
	s.simulate(sharesTo)
	t.Log("completed on time:\n" + s.table(sharesFrom, sharesTo))
	s.checkServed(t, sharesFrom, minUnaffectedShare, unaffected{kind: "lookup", except: joined.zone}, unaffected{kind: "reminder", except: joined.zone})
}

// join adds an entry in the zone of another one, and moves half of the jobs of that one to it.
func (s *burstSite) join(other *entry) {
	e := s.addEntry(len(s.entries))
	e.zone = other.zone
	ids := slices.Sorted(maps.Keys(s.agents))
	e.handle(dispatch.AgentsRegistered{Agents: ids, Selected: len(ids)})
	for _, id := range ids {
		e.connect(s.agents[id])
	}
	s.sharedWith[other] = e
}

// TestEntriesOfAnEarlierVersionDoNotReduceService simulates a burst of the long kind while the entries of one zone
// run an earlier version: they send neither zone, kind nor estimate, and choose tasks for offers by urgency alone.
// Neither their jobs nor those of the others may be served worse than if all entries ran that version.
func TestEntriesOfAnEarlierVersionDoNotReduceService(t *testing.T) {
	t.Parallel()
	const oldVersionZone = "zone-c"
	longKind := burst{kind: "confirmation", factor: 6}
	byUrgency := newSharesBurstWith(largeSite, byUrgencyAlone, longKind)
	byUrgency.simulate(sharesTo)
	s := newSharesBurst(largeSite, longKind)
	for _, e := range s.entries {
		if e.zone == oldVersionZone {
			e.downgrade()
		}
	}
	s.simulate(sharesTo)
	t.Log("completed on time:\n" + s.table(sharesFrom, sharesTo))
	for _, who := range []unaffected{{zone: oldVersionZone}, {kind: "lookup", except: oldVersionZone}, {kind: "reminder", except: oldVersionZone}} {
		least, _ := byUrgency.served(who.matches(sharesFrom))
		s.checkServed(t, sharesFrom, least-maxGoodputLoss, who)
	}
}

// downgrade replaces the entry by one of an earlier version, and reopens its sessions.
func (e *entry) downgrade() {
	e.dispatcher = dispatch.New(dispatch.Limits{Jobs: 2000, NoShares: true}, rand.New(rand.NewPCG(1, 1)))
	e.rewriteEvent = toOldVersion
	ids := slices.Sorted(maps.Keys(e.sessions))
	e.handle(dispatch.AgentsRegistered{Agents: ids, Selected: len(ids)})
	for _, id := range ids {
		e.connect(e.site.agents[id])
	}
	e.site.run(time.Second)
}

// toOldVersion returns an event as an entry of an earlier version sends it.
func toOldVersion(event runner.Event) runner.Event {
	switch e := event.(type) {
	case runner.SessionOpened:
		e.Zone = ""
		return e
	case runner.StartRequested:
		e.Task.Kind, e.Task.Estimate, e.Task.Weight = "", 0, 0
		return e
	case runner.ReservationRequested:
		e.Reservation.Kind, e.Reservation.Estimate, e.Reservation.Weight = "", 0, 0
		return e
	default:
		return event
	}
}
