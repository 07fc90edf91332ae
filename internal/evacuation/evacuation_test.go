// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package evacuation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

func put(zone string, revision Revision) Change {
	return Change{Zone: zone, Revision: revision, IsEvacuated: true}
}

func gone(zone string, revision Revision) Change { return Change{Zone: zone, Revision: revision} }

func TestTheNewestChangeOfAZoneWins(t *testing.T) {
	for _, test := range []struct {
		name        string
		first, then State
		want        []string
	}{
		{"nothing is known", State{}, State{}, nil},
		{"evacuated", New(5, nil), New(0, []Change{put("a", 6)}), []string{"a"}},
		{"taken back", New(5, []Change{put("a", 3)}), New(0, []Change{gone("a", 6)}), nil},
		{"taken back, and the evacuation comes late", New(0, []Change{gone("a", 6)}), New(0, []Change{put("a", 3)}), nil},
		{"taken back and repeated", New(0, []Change{put("a", 3), gone("a", 4)}), New(0, []Change{put("a", 5)}), []string{"a"}},
		{"a later reading without it", New(0, []Change{put("a", 3)}), New(7, nil), nil},
		{"an earlier reading without it", New(0, []Change{put("a", 9)}), New(7, nil), []string{"a"}},
		{"a reading at its revision without it", New(0, []Change{put("a", 7)}), New(7, nil), []string{"a"}},
		{"an earlier reading with it", New(9, nil), New(7, []Change{put("a", 3)}), nil},
		{"another zone stays", New(4, []Change{put("a", 3), put("b", 4)}), New(0, []Change{gone("a", 6)}), []string{"b"}},
	} {
		if got := test.first.Merge(test.then).Zones(); !slices.Equal(got, test.want) {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
		if got := test.then.Merge(test.first).Zones(); !slices.Equal(got, test.want) {
			t.Errorf("%s, in reverse: %v, want %v", test.name, got, test.want)
		}
	}
}

// history is what operators did: the truth after each revision.
type history struct {
	changes []Change
	random  *rand.Rand
}

// grow adds a change of a random zone that differs from its present state.
func (h *history) grow() {
	zone := string(rune('a' + h.random.IntN(3)))
	is := slices.Contains(h.at(Revision(len(h.changes))), zone)
	h.changes = append(h.changes, Change{Zone: zone, Revision: Revision(len(h.changes) + 1), IsEvacuated: !is})
}

// at returns the evacuated zones at a revision, in order.
func (h *history) at(revision Revision) []string {
	evacuated := make(map[string]bool)
	for _, c := range h.changes[:revision] {
		evacuated[c.Zone] = c.IsEvacuated
	}
	var zones []string
	for zone, is := range evacuated {
		if is {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// reading returns a full reading at a revision, some of whose pages may have been read later.
func (h *history) reading(at Revision) State {
	var changes []Change
	for _, zone := range []string{"a", "b", "c"} {
		page := at + Revision(h.random.IntN(len(h.changes)-int(at)+1))
		for _, c := range h.changes[:page] {
			if c.Zone != zone {
				continue
			}
			changes = slices.DeleteFunc(changes, func(other Change) bool { return other.Zone == zone })
			if c.IsEvacuated {
				changes = append(changes, c)
			}
		}
	}
	return New(at, changes)
}

// TestProcessesAgreeWhateverTheOrderOfNews lets processes hear readings, single changes and each other in random order, with
// news lost, repeated and late. None may go back to an earlier state of a zone, and once all have heard the latest
// changes they agree with the store.
func TestProcessesAgreeWhateverTheOrderOfNews(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 1))
		h := &history{random: random}
		states := make([]State, 4)
		// newest is the revision that each process has heard of each zone.
		newest := make([]map[string]Revision, len(states))
		for i := range newest {
			newest[i] = make(map[string]Revision)
		}
		for range 60 {
			i := random.IntN(len(states))
			var news State
			switch random.IntN(4) {
			case 0:
				h.grow()
				continue
			case 1:
				if len(h.changes) > 0 {
					news = New(0, []Change{h.changes[random.IntN(len(h.changes))]})
				}
			case 2:
				news = h.reading(Revision(random.IntN(len(h.changes) + 1)))
			default:
				news = states[random.IntN(len(states))]
			}
			states[i] = states[i].Merge(news)
			checkNotBack(t, seed, states[i], newest[i])
		}
		last := Revision(len(h.changes))
		for i := range states {
			if got, want := states[i].Merge(h.reading(last)).Zones(), h.at(last); !slices.Equal(got, want) {
				t.Fatalf("seed %d: process %d has %v, the store %v", seed, i, got, want)
			}
		}
	}
}

// checkNotBack fails if a state has an earlier change of a zone than before.
func checkNotBack(t *testing.T, seed uint64, s State, newest map[string]Revision) {
	t.Helper()
	for _, c := range s.Changes() {
		if c.Revision < newest[c.Zone] {
			t.Fatalf("seed %d: zone %s went from revision %d back to %d", seed, c.Zone, newest[c.Zone], c.Revision)
		}
		newest[c.Zone] = c.Revision
	}
}

func TestMergeIsIdempotentAndKeepsItsOperands(t *testing.T) {
	s := New(4, []Change{put("a", 3), gone("b", 6)})
	before := fmt.Sprint(s)
	if merged := s.Merge(s); !merged.Equal(s) {
		t.Errorf("%v merged with itself is %v", s, merged)
	}
	s.Merge(New(9, []Change{put("b", 8)}))
	if after := fmt.Sprint(s); after != before {
		t.Errorf("Merge has changed its operand from %s to %s", before, after)
	}
}
