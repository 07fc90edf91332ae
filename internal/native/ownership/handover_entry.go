// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ownership

import (
	"sailhead/internal/native/model"
)

// Close ends routing and promising and returns the bindings for an heir. The forwarder inherits no bindings until
// Reopen.
func (f *Forwarder) Close() map[model.Key]Binding {
	f.closed = true
	f.handedOver = true
	bindings := make(map[model.Key]Binding, len(f.bindings))
	for key, b := range f.bindings {
		bindings[key] = *b
	}
	return bindings
}

// Reopen allows inheriting again after a hand-over that failed. The next Close returns all bindings again.
func (f *Forwarder) Reopen() {
	f.handedOver = false
}

// isSameHolder reports whether the same agent has the records of the key for both owners.
func (f *Forwarder) isSameHolder(key model.Key, a, b MemberID) bool {
	holderOfA, okA := f.roster.heirOf(key, a)
	holderOfB, okB := f.roster.heirOf(key, b)
	return a == b || okA && okB && holderOfA.ID == holderOfB.ID
}

// Inherit adds the bindings of an entry that leaves. It returns false, and adds none, if there is no room for all or if
// this forwarder has handed its own bindings over.
//
// Inputs: the own and the inherited binding of each key, and the agents that have the records of both owners.
//
// Rule: bindings of which one agent has the records are merged, as is an inherited one that may move. An own binding
// that may move is replaced. Two bindings that differ and must not move become a conflict, which no request is sent
// for.
//
// Reason: of two owners that may both have the key, neither can be shown to be the one that runs it.
func (f *Forwarder) Inherit(bindings map[model.Key]Binding) bool {
	if f.handedOver || len(f.bindings)+len(bindings) > f.limits.Entries {
		return false
	}
	for key, inherited := range bindings {
		own, known := f.bindings[key]
		if known && (f.isSameHolder(key, own.Owner, inherited.Owner) || inherited.mayMove()) {
			own.Promised = own.Promised || inherited.Promised
			own.Taken = own.Taken || inherited.Taken
			own.Unconfirmed += inherited.Unconfirmed
			continue
		}
		if known && !own.mayMove() {
			// The conflict state of Binding.
			own.Owner = ""
			own.Taken = true
			continue
		}
		f.bindings[key] = &inherited
	}
	return true
}
