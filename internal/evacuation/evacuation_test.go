// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package evacuation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

func evacuated(zone string, revision Revision) Change {
	return Change{Zone: zone, Revision: revision, IsEvacuated: true}
}

func cancelled(zone string, revision Revision) Change { return Change{Zone: zone, Revision: revision} }

func TestTheNewestChangeOfAZoneWins(t *testing.T) {
	for _, test := range []struct {
		name        string
		first, then State
		want        []string
	}{
		{"both states are empty", State{}, State{}, nil},
		{"evacuated", New(5, nil), New(0, []Change{evacuated("a", 6)}), []string{"a"}},
		{"evacuation cancelled", New(5, []Change{evacuated("a", 3)}), New(0, []Change{cancelled("a", 6)}), nil},
		{"cancelled, and the evacuation arrives late", New(0, []Change{cancelled("a", 6)}), New(0, []Change{evacuated("a", 3)}), nil},
		{"cancelled and evacuated again", New(0, []Change{evacuated("a", 3), cancelled("a", 4)}), New(0, []Change{evacuated("a", 5)}), []string{"a"}},
		{"later full read without the zone", New(0, []Change{evacuated("a", 3)}), New(7, nil), nil},
		{"earlier full read without the zone", New(0, []Change{evacuated("a", 9)}), New(7, nil), []string{"a"}},
		{"full read at the revision of the change, without the zone", New(0, []Change{evacuated("a", 7)}), New(7, nil), []string{"a"}},
		{"earlier full read with the zone", New(9, nil), New(7, []Change{evacuated("a", 3)}), nil},
		{"other zones are unaffected", New(4, []Change{evacuated("a", 3), evacuated("b", 4)}), New(0, []Change{cancelled("a", 6)}), []string{"b"}},
	} {
		if got := test.first.Merge(test.then).Zones(); !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
		if got := test.then.Merge(test.first).Zones(); !slices.Equal(got, test.want) {
			t.Errorf("%s, merged in reverse: got %v, want %v", test.name, got, test.want)
		}
	}
}

// history is the sequence of changes made by the operators, from which the correct state at each revision follows.
type history struct {
	changes []Change
	random  *rand.Rand
}

// addChange evacuates a random zone, or cancels its evacuation if it is evacuated.
func (h *history) addChange() {
	zone := string(rune('a' + h.random.IntN(3)))
	wasEvacuated := slices.Contains(h.at(Revision(len(h.changes))), zone)
	h.changes = append(h.changes, Change{Zone: zone, Revision: Revision(len(h.changes) + 1), IsEvacuated: !wasEvacuated})
}

// at returns the evacuated zones at a revision in lexical order.
func (h *history) at(revision Revision) []string {
	isEvacuated := make(map[string]bool)
	for _, c := range h.changes[:revision] {
		isEvacuated[c.Zone] = c.IsEvacuated
	}
	var zones []string
	for zone, is := range isEvacuated {
		if is {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// fullRead returns the State of a paginated read of the store that began at a revision; some pages may be read at a later one.
func (h *history) fullRead(at Revision) State {
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

// TestStatesConvergeInAnyOrderOfUpdates merges full reads, single changes and the states of other processes in random order, with updates
// lost, repeated and delayed. No process may return to an earlier change of a zone, and after a full read of the latest revision each has the
// state of the store.
func TestStatesConvergeInAnyOrderOfUpdates(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 1))
		h := &history{random: random}
		states := make([]State, 4)
		// newest holds the latest revision of each zone that each process has seen.
		newest := make([]map[string]Revision, len(states))
		for i := range newest {
			newest[i] = make(map[string]Revision)
		}
		for range 60 {
			i := random.IntN(len(states))
			var update State
			switch random.IntN(4) {
			case 0:
				h.addChange()
				continue
			case 1:
				if len(h.changes) > 0 {
					update = New(0, []Change{h.changes[random.IntN(len(h.changes))]})
				}
			case 2:
				update = h.fullRead(Revision(random.IntN(len(h.changes) + 1)))
			default:
				update = states[random.IntN(len(states))]
			}
			states[i] = states[i].Merge(update)
			checkNoRegression(t, seed, states[i], newest[i])
		}
		last := Revision(len(h.changes))
		for i := range states {
			if got, want := states[i].Merge(h.fullRead(last)).Zones(), h.at(last); !slices.Equal(got, want) {
				t.Fatalf("seed %d: process %d has evacuated zones %v, want %v as in the store", seed, i, got, want)
			}
		}
	}
}

// checkNoRegression fails the test if a state has an older change of a zone than one seen before.
func checkNoRegression(t *testing.T, seed uint64, s State, newest map[string]Revision) {
	t.Helper()
	for _, c := range s.Changes() {
		if c.Revision < newest[c.Zone] {
			t.Fatalf("seed %d: zone %s went from revision %d back to %d", seed, c.Zone, newest[c.Zone], c.Revision)
		}
		newest[c.Zone] = c.Revision
	}
}

func TestMergeIsIdempotentAndDoesNotModifyOperands(t *testing.T) {
	s := New(4, []Change{evacuated("a", 3), cancelled("b", 6)})
	before := fmt.Sprint(s)
	if merged := s.Merge(s); !merged.Equal(s) {
		t.Errorf("%v merged with itself gives %v", s, merged)
	}
	s.Merge(New(9, []Change{evacuated("b", 8)}))
	if after := fmt.Sprint(s); after != before {
		t.Errorf("Merge changed its operand from %s to %s", before, after)
	}
}
