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
	noShares   = flag.Bool("shares.off", false, "do not divide workers between kinds and availability zones")
	sharesSeed = flag.Uint64("shares.seed", 1, "seed of the tests of shares")
)

const (
	// minUnaffectedShare is the part of its work that a kind or an availability zone keeps on time while another one bursts, 0 to 1.
	minUnaffectedShare = 0.95
	// maxGoodputLoss is how much less work may be done on time than by urgency alone, as a part of what came.
	maxGoodputLoss = 0.02
	// sharesFrom and sharesTo are the time of the bursts.
	sharesFrom, sharesTo = 3 * time.Second, 6 * time.Second
)

// sharesSite is the size of a site. On a small one chance decides more.
type sharesSite struct{ entries, agents int }

var smallSite, largeSite = sharesSite{entries: 6, agents: 36}, sharesSite{entries: 12, agents: 69}

// unaffected are jobs that go on as usual during a burst: of a kind and a zone, or of all but one zone, empty for all.
type unaffected struct{ kind, zone, except string }

// matches returns whether a job that came from a time on until the end of the burst is protected.
func (p unaffected) matches(from time.Duration) func(*variedJob) bool {
	comes := during(from, sharesTo, p.kind, p.zone)
	return func(j *variedJob) bool { return comes(j) && (p.except == "" || j.zone != p.except) }
}

// sharesPatterns are bursts, and who does not take part in them.
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

// TestABurstDoesNotDelayOthers plays more work than fits, of a kind, an availability zone or an entry. All others keep theirs on time.
func TestABurstDoesNotDelayOthers(t *testing.T) {
	for _, pattern := range sharesPatterns {
		t.Run(pattern.name, func(t *testing.T) {
			t.Parallel()
			s := newSharesBurst(pattern.site, pattern.bursts...)
			s.simulate(sharesTo)
			t.Log("served on time during the burst:\n" + s.table(sharesFrom, sharesTo))
			s.checkServed(t, sharesFrom, minUnaffectedShare, pattern.protected...)
		})
	}
}

// TestSharesCostLittleGoodput compares the work that is on time with that by urgency alone, in the pattern in which most room is left free.
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

// newSharesBurstWith returns such a site that an option has changed.
func newSharesBurstWith(size sharesSite, option func(*site), bursts ...burst) *burstSite {
	for i := range bursts {
		bursts[i].from, bursts[i].to = sharesFrom, sharesTo
	}
	return newBurstSiteWith(*sharesSeed, size.entries, size.agents, baseLoad, option, bursts...)
}

// checkServed fails if, of any of the protected jobs that came from a time on, less than a part of the work is on time.
func (s *burstSite) checkServed(t *testing.T, from time.Duration, want float64, all ...unaffected) {
	t.Helper()
	for _, p := range all {
		share, jobs := s.served(p.matches(from))
		if share < want {
			t.Errorf("%+v: %.3f of the work of %d jobs is on time, want %.3f", p, share, jobs, want)
		}
	}
}

// TestABurstOfEverythingIsServedFairly plays more work of all kinds in all zones than fits: 1.2, 2 and 5 times what the workers can do. Nobody is served
// much worse than others.
func TestABurstOfEverythingIsServedFairly(t *testing.T) {
	t.Parallel()
	for _, load := range []float64{1.2, 2, 5} {
		s := newSharesBurst(smallSite, burst{factor: load / baseLoad})
		s.simulate(sharesTo)
		all, _ := s.served(unaffected{}.matches(sharesFrom))
		t.Logf("%.1f times the room: %.3f on time, Jain's index %.3f\n%s", load, all, s.fairnessIndex(), s.table(sharesFrom, sharesTo))
		if s.fairnessIndex() < minUnaffectedShare {
			t.Errorf("%.1f times the room: Jain's index %.3f, want %.2f", load, s.fairnessIndex(), minUnaffectedShare)
		}
	}
}

// fairnessIndex returns Jain's index of fairness over the parts of the work of each kind in each availability zone that are served on time during the
// burst: 1 if all are alike.
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

// TestAgentsThatStartInABurstLearnShares restarts the processes of some agents while a zone bursts. The new ones know of nobody's use, and the
// other zones keep theirs from a second later on.
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
	t.Log("served on time:\n" + s.table(at+time.Second, sharesTo))
	s.checkServed(t, at+time.Second, minUnaffectedShare, unaffected{except: "zone-a"})
}

// TestAnEntryThatJoinsInABurstTakesFromNobody lets an entry join while the long kind bursts. It takes over half of the callers of another one of
// its zone, and refuses some jobs as it does not know yet how long they take. The short jobs of the other zones keep theirs.
func TestAnEntryThatJoinsInABurstTakesFromNobody(t *testing.T) {
	t.Parallel()
	const at = sharesFrom + time.Second/2
	s := newSharesBurst(largeSite, burst{kind: "confirmation", factor: 6})
	joined := s.entries[1]
	s.after(at, func() { s.join(joined) })
	s.simulate(sharesTo)
	t.Log("served on time:\n" + s.table(sharesFrom, sharesTo))
	s.checkServed(t, sharesFrom, minUnaffectedShare, unaffected{kind: "lookup", except: joined.zone}, unaffected{kind: "reminder", except: joined.zone})
}

// join adds an entry to the zone of another one. The new one takes over half of the jobs of the other.
func (s *burstSite) join(other *entry) {
	e := s.addEntry(len(s.entries))
	e.zone = other.zone
	ids := slices.Sorted(maps.Keys(s.agents))
	e.handle(dispatch.AgentsRegistered{Agents: ids, Chosen: len(ids)})
	for _, id := range ids {
		e.connect(s.agents[id])
	}
	s.sharedWith[other] = e
}

// TestEntriesOfAnEarlierVersionDoNotReduceService plays a burst of the long kind while the entries of one zone tell neither zone, kind nor estimate,
// and use offers by urgency alone. Neither they nor the others are served worse than if all did so.
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
	t.Log("served on time:\n" + s.table(sharesFrom, sharesTo))
	for _, who := range []unaffected{{zone: oldVersionZone}, {kind: "lookup", except: oldVersionZone}, {kind: "reminder", except: oldVersionZone}} {
		least, _ := byUrgency.served(who.matches(sharesFrom))
		s.checkServed(t, sharesFrom, least-maxGoodputLoss, who)
	}
}

// downgrade replaces the entry by one of an earlier version, and opens its sessions again.
func (e *entry) downgrade() {
	e.dispatcher = dispatch.New(dispatch.Limits{Jobs: 2000, NoShares: true}, rand.New(rand.NewPCG(1, 1)))
	e.rewriteEvent = toOldVersion
	ids := slices.Sorted(maps.Keys(e.sessions))
	e.handle(dispatch.AgentsRegistered{Agents: ids, Chosen: len(ids)})
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
