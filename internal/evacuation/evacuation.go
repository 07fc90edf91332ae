// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package evacuation holds which availability zones the operators have evacuated: nothing new starts on the workers of
// such a zone, and what runs there goes on to its end.
//
// The operators' records lie in the platform's store. Entries read and watch them, exchange what they know with each other,
// and tell the agents in session. News may come twice, late, in any order and by several ways, so a State keeps the
// store's revision of each change: Merge takes the newest one of each zone, whatever the order. A process of sailhead owns
// nothing here, and if one dies its State is read or heard again.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
)

// Revision numbers the changes of the platform's store. Zero is before the first one.
type Revision int64

// Change is the latest known change of one availability zone.
type Change struct {
	Zone     string
	Revision Revision
	// IsEvacuated is false if the change has taken the evacuation back.
	IsEvacuated bool
}

// State is what a process knows of the evacuated availability zones. It is immutable. The zero value knows nothing.
type State struct {
	// asOf is the revision of the store at the latest full reading: a zone without a change was not evacuated then.
	asOf Revision
	// changes holds the latest change of each zone: all evacuated zones, and those taken back after asOf.
	changes map[string]Change
}

// New returns a State of a full reading of the store at a revision, or of changes alone if asOf is zero.
func New(asOf Revision, changes []Change) State {
	s := State{asOf: asOf, changes: make(map[string]Change, len(changes))}
	for _, c := range changes {
		s.add(c)
	}
	s.prune()
	return s
}

// add applies a change unless a later one of its zone is known. The caller owns the map.
func (s State) add(c Change) {
	if known, ok := s.changes[c.Zone]; !ok || c.Revision > known.Revision {
		s.changes[c.Zone] = c
	}
}

// prune removes the changes that say no more than asOf does. The caller owns the map.
func (s State) prune() {
	maps.DeleteFunc(s.changes, func(_ string, c Change) bool { return !c.IsEvacuated && c.Revision <= s.asOf })
}

// Merge returns what is known from both states: the newest change of each zone. A zone that one state has as evacuated is
// taken back if the other state was fully read later and does not have it. The order of merges does not matter.
func (s State) Merge(other State) State {
	merged := State{asOf: max(s.asOf, other.asOf), changes: make(map[string]Change)}
	for _, each := range [...]struct{ from, against State }{{s, other}, {other, s}} {
		for zone, c := range each.from.changes {
			if _, ok := each.against.changes[zone]; ok || c.Revision >= each.against.asOf {
				merged.add(c)
			}
		}
	}
	merged.prune()
	return merged
}

// Has reports whether an availability zone is evacuated.
func (s State) Has(zone string) bool {
	return s.changes[zone].IsEvacuated
}

// Zones returns the evacuated availability zones in order.
func (s State) Zones() []string {
	var zones []string
	for _, c := range s.Changes() {
		if c.IsEvacuated {
			zones = append(zones, c.Zone)
		}
	}
	return zones
}

// AsOf returns the revision of the latest full reading, zero if there was none.
func (s State) AsOf() Revision {
	return s.asOf
}

// Changes returns the known changes, ordered by zone.
func (s State) Changes() []Change {
	return slices.SortedFunc(maps.Values(s.changes), func(a, b Change) int { return cmp.Compare(a.Zone, b.Zone) })
}

// Equal reports whether two states hold the same.
func (s State) Equal(other State) bool {
	return s.asOf == other.asOf && maps.Equal(s.changes, other.changes)
}
