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
	// keptShare is the part of its work that a kind or an availability zone keeps on time while another one bursts, 0 to 1.
	keptShare = 0.95
	// goodputLoss is how much less work may be done on time than by urgency alone, as a part of what came.
	goodputLoss = 0.02
	// sharesFrom and sharesTo are the time of the bursts.
	sharesFrom, sharesTo = 3 * time.Second, 6 * time.Second
)

// sharesSite is the size of a site. On a small one chance decides more.
type sharesSite struct{ entries, agents int }

var smallSite, largeSite = sharesSite{entries: 6, agents: 36}, sharesSite{entries: 12, agents: 69}

// protected are jobs that go on as usual during a burst: of a kind and a zone, or of all but one zone, empty for all.
type protected struct{ kind, zone, except string }

// matches returns whether a job that came from a time on until the end of the burst is protected.
func (p protected) matches(from time.Duration) func(*variedJob) bool {
	comes := during(from, sharesTo, p.kind, p.zone)
	return func(j *variedJob) bool { return comes(j) && (p.except == "" || j.zone != p.except) }
}

// sharesPatterns are bursts, and who does not take part in them.
var sharesPatterns = []struct {
	name      string
	site      sharesSite
	bursts    []burst
	protected []protected
}{
	{"a long kind over short ones", largeSite, []burst{{kind: "confirmation", factor: 6}}, []protected{{kind: "lookup"}, {kind: "reminder"}}},
	{"a short kind over long ones", smallSite, []burst{{kind: "lookup", factor: 5}}, []protected{{kind: "reminder"}, {kind: "confirmation"}}},
	{"one zone", smallSite, []burst{{zone: "zone-a", factor: 3.5}}, []protected{{zone: "zone-b"}, {zone: "zone-c"}}},
	{"one entry", smallSite, []burst{{entry: 1, factor: 9}}, []protected{{except: "zone-a"}}},
	{"a kind and a zone", smallSite, []burst{{kind: "confirmation", factor: 3}, {zone: "zone-a", factor: 3}}, []protected{
		{kind: "lookup", except: "zone-a"}, {kind: "reminder", except: "zone-a"},
	}},
}

// TestABurstIsPaidForByWhoBursts plays more work than fits, of a kind, an availability zone or an entry. All others keep theirs on time.
func TestABurstIsPaidForByWhoBursts(t *testing.T) {
	for _, pattern := range sharesPatterns {
		t.Run(pattern.name, func(t *testing.T) {
			t.Parallel()
			s := newBurst(pattern.site, pattern.bursts...)
			s.play(sharesTo)
			t.Log("served on time during the burst:\n" + s.table(sharesFrom, sharesTo))
			s.checkServed(t, sharesFrom, keptShare, pattern.protected...)
		})
	}
}

// TestSharesCostLittleGoodput compares the work that is on time with that by urgency alone, in the pattern in which most room is left free.
func TestSharesCostLittleGoodput(t *testing.T) {
	t.Parallel()
	longKind := burst{kind: "confirmation", factor: 6}
	byUrgency := newBurstWith(largeSite, byUrgencyAlone, longKind)
	byUrgency.play(sharesTo)
	least, _ := byUrgency.served(protected{}.matches(sharesFrom))
	s := newBurst(largeSite, longKind)
	s.play(sharesTo)
	s.checkServed(t, sharesFrom, least-goodputLoss, protected{})
}

// byUrgencyAlone is the option of sites without shares.
func byUrgencyAlone(s *site) { s.limits.NoShares = true }

// newBurst returns a site with bursts from sharesFrom to sharesTo.
func newBurst(size sharesSite, bursts ...burst) *scarcity {
	return newBurstWith(size, func(*site) {}, bursts...)
}

// newBurstWith returns such a site that an option has changed.
func newBurstWith(size sharesSite, option func(*site), bursts ...burst) *scarcity {
	for i := range bursts {
		bursts[i].from, bursts[i].to = sharesFrom, sharesTo
	}
	return newScarcityWith(*sharesSeed, size.entries, size.agents, usualLoad, option, bursts...)
}

// checkServed fails if, of any of the protected jobs that came from a time on, less than a part of the work is on time.
func (s *scarcity) checkServed(t *testing.T, from time.Duration, want float64, all ...protected) {
	t.Helper()
	for _, p := range all {
		share, jobs := s.served(p.matches(from))
		if share < want {
			t.Errorf("%+v: %.3f of the work of %d jobs is on time, want %.3f", p, share, jobs, want)
		}
	}
}

// TestABurstOfAllIsPaidForByAll plays more work of all kinds in all zones than fits: 1.2, 2 and 5 times what the workers can do. Nobody is served
// much worse than others.
func TestABurstOfAllIsPaidForByAll(t *testing.T) {
	t.Parallel()
	for _, load := range []float64{1.2, 2, 5} {
		s := newBurst(smallSite, burst{factor: load / usualLoad})
		s.play(sharesTo)
		all, _ := s.served(protected{}.matches(sharesFrom))
		t.Logf("%.1f times the room: %.3f on time, Jain's index %.3f\n%s", load, all, s.jain(), s.table(sharesFrom, sharesTo))
		if s.jain() < keptShare {
			t.Errorf("%.1f times the room: Jain's index %.3f, want %.2f", load, s.jain(), keptShare)
		}
	}
}

// jain returns Jain's index of fairness over the parts of the work of each kind in each availability zone that are served on time during the
// burst: 1 if all are alike.
func (s *scarcity) jain() float64 {
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
	s := newBurst(largeSite, burst{zone: "zone-a", factor: 3.5})
	s.after(at, func() {
		for number, id := range slices.Sorted(maps.Keys(s.agents)) {
			if number%12 == 0 {
				s.agents[id].restart()
			}
		}
	})
	s.play(sharesTo)
	t.Log("served on time:\n" + s.table(at+time.Second, sharesTo))
	s.checkServed(t, at+time.Second, keptShare, protected{except: "zone-a"})
}

// TestAnEntryThatJoinsInABurstTakesFromNobody lets an entry join while the long kind bursts. It takes over half of the callers of another one of
// its zone, and refuses some jobs as it does not know yet how long they take. The short jobs of the other zones keep theirs.
func TestAnEntryThatJoinsInABurstTakesFromNobody(t *testing.T) {
	t.Parallel()
	const at = sharesFrom + time.Second/2
	s := newBurst(largeSite, burst{kind: "confirmation", factor: 6})
	joined := s.entries[1]
	s.after(at, func() { s.join(joined) })
	s.play(sharesTo)
	t.Log("served on time:\n" + s.table(sharesFrom, sharesTo))
	s.checkServed(t, sharesFrom, keptShare, protected{kind: "lookup", except: joined.zone}, protected{kind: "reminder", except: joined.zone})
}

// join adds an entry to the zone of another one. The new one takes over half of the jobs of the other.
func (s *scarcity) join(other *entry) {
	e := s.addEntry(len(s.entries))
	e.zone = other.zone
	ids := slices.Sorted(maps.Keys(s.agents))
	e.handle(dispatch.AgentsRegistered{Agents: ids, Chosen: len(ids)})
	for _, id := range ids {
		e.connect(s.agents[id])
	}
	s.sharedWith[other] = e
}

// TestEntriesOfAnEarlierVersionTakeFromNobody plays a burst of the long kind while the entries of one zone tell neither zone, kind nor estimate,
// and use offers by urgency alone. Neither they nor the others are served worse than if all did so.
func TestEntriesOfAnEarlierVersionTakeFromNobody(t *testing.T) {
	t.Parallel()
	const earlierZone = "zone-c"
	longKind := burst{kind: "confirmation", factor: 6}
	byUrgency := newBurstWith(largeSite, byUrgencyAlone, longKind)
	byUrgency.play(sharesTo)
	s := newBurst(largeSite, longKind)
	for _, e := range s.entries {
		if e.zone == earlierZone {
			e.downgrade()
		}
	}
	s.play(sharesTo)
	t.Log("served on time:\n" + s.table(sharesFrom, sharesTo))
	for _, who := range []protected{{zone: earlierZone}, {kind: "lookup", except: earlierZone}, {kind: "reminder", except: earlierZone}} {
		least, _ := byUrgency.served(who.matches(sharesFrom))
		s.checkServed(t, sharesFrom, least-goodputLoss, who)
	}
}

// downgrade replaces the entry by one of an earlier version, and opens its sessions again.
func (e *entry) downgrade() {
	e.dispatcher = dispatch.New(dispatch.Limits{Jobs: 2000, NoShares: true}, rand.New(rand.NewPCG(1, 1)))
	e.rewrite = asEarlierVersion
	ids := slices.Sorted(maps.Keys(e.sessions))
	e.handle(dispatch.AgentsRegistered{Agents: ids, Chosen: len(ids)})
	for _, id := range ids {
		e.connect(e.site.agents[id])
	}
	e.site.run(time.Second)
}

// asEarlierVersion returns an event as an entry of an earlier version sends it.
func asEarlierVersion(event runner.Event) runner.Event {
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
