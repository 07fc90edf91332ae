// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package evacuation tracks which availability zones the operators have evacuated. No new tasks start on the workers of an evacuated zone;
// running tasks continue to their end.
//
// The operators' records are in the platform's store. Entries read and watch them, exchange their state with each other and send it to the
// agents with which they have sessions. Updates may arrive more than once, late, in any order and by several paths. A State therefore keeps
// the store's revision of each change, and Merge, which is commutative, takes the newest change of each zone. No sailhead process owns this
// state; a process that restarts gets it again from the store or from its peers.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
)

// Revision is a revision number of the platform's store. Zero is before the first change.
type Revision int64

// Change is the latest known change of one availability zone.
type Change struct {
	Zone     string
	Revision Revision
	// IsEvacuated is false if the change cancelled the evacuation.
	IsEvacuated bool
}

// State is a process's view of the evacuated availability zones. It is immutable. The zero value is the empty view.
type State struct {
	// asOf is the store revision of the latest full read. A zone without an entry in changes was not evacuated at that revision.
	asOf Revision
	// changes holds the latest change of each zone: all evacuated zones, and those whose evacuation was cancelled after asOf.
	changes map[string]Change
}

// New returns the State after a full read of the store at revision asOf, or one of individual changes only if asOf is zero.
func New(asOf Revision, changes []Change) State {
	s := State{asOf: asOf, changes: make(map[string]Change, len(changes))}
	for _, c := range changes {
		s.add(c)
	}
	s.prune()
	return s
}

// add applies a change unless a later one of its zone is known. It modifies the map, which must not be shared yet.
func (s State) add(c Change) {
	if known, ok := s.changes[c.Zone]; !ok || c.Revision > known.Revision {
		s.changes[c.Zone] = c
	}
}

// prune removes cancellations that the full read at asOf already covers. It modifies the map, which must not be shared yet.
func (s State) prune() {
	maps.DeleteFunc(s.changes, func(_ string, c Change) bool { return !c.IsEvacuated && c.Revision <= s.asOf })
}

// Merge returns the combined state with the newest change of each zone. A zone that is evacuated in one state counts as no longer evacuated
// if the other state comes from a later full read that does not contain it. The order of merges does not matter.
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

// IsEvacuated reports whether the given availability zone is evacuated.
func (s State) IsEvacuated(zone string) bool {
	return s.changes[zone].IsEvacuated
}

// Zones returns the evacuated availability zones in lexical order.
func (s State) Zones() []string {
	var zones []string
	for _, c := range s.Changes() {
		if c.IsEvacuated {
			zones = append(zones, c.Zone)
		}
	}
	return zones
}

// AsOf returns the store revision of the latest full read, or zero if there was none.
func (s State) AsOf() Revision {
	return s.asOf
}

// Changes returns the known changes, ordered by zone.
func (s State) Changes() []Change {
	return slices.SortedFunc(maps.Values(s.changes), func(a, b Change) int { return cmp.Compare(a.Zone, b.Zone) })
}

// Equal reports whether two states are identical.
func (s State) Equal(other State) bool {
	return s.asOf == other.asOf && maps.Equal(s.changes, other.changes)
}
