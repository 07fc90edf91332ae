// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ownership

import (
	"time"

	"sailhead/internal/native/model"
)

// Verdict is the answer of an entry to a fence. It is one of Promised, BoundElsewhere and CannotTell.
type Verdict interface{ isVerdict() }

// Promised means that the entry will send the key to no other owner.
type Promised struct{}

// BoundElsewhere means that the entry has, or may have, sent the key to another owner.
type BoundElsewhere struct{ Owner MemberID }

// CannotTell means that the entry gives no promise, or did not answer in time.
type CannotTell struct{}

func (Promised) isVerdict()       {}
func (BoundElsewhere) isVerdict() {}
func (CannotTell) isVerdict()     {}

// Fence decides whether to promise a key to an owner that asks for it.
//
// Inputs: the binding of the key, the asking owner, and the agents that have the records of both.
//
// Rule: an unknown key, a key that may move, and a key that is bound to the asker or to an owner whose records the
// asker has are promised. Any other key is bound elsewhere. A closed forwarder, and a full one for an unknown key,
// cannot tell.
//
// Reason: the asker starts the key once all entries have promised, so a promise must hold until the binding expires. A
// forwarder that cannot record a promise must not give it.
func (f *Forwarder) Fence(now time.Time, key model.Key, asker MemberID) Verdict {
	if f.closed {
		return CannotTell{}
	}
	b, known := f.bindings[key]
	if !known {
		if len(f.bindings) >= f.limits.Entries {
			return CannotTell{}
		}
		f.bindings[key] = &Binding{Owner: asker, Promised: true, Touched: now}
		return Promised{}
	}
	b.Touched = now
	holder, ok := f.roster.heirOf(key, b.Owner)
	if b.Owner == asker || ok && holder.ID == asker || b.mayMove() {
		b.Owner = asker
		b.Promised = true
		return Promised{}
	}
	return BoundElsewhere{Owner: b.Owner}
}

// AwaitsResult reports whether a fence by the asker fails only because a request to another owner has no result yet. The
// result may be that the key can move.
func (f *Forwarder) AwaitsResult(key model.Key, asker MemberID) bool {
	b, known := f.bindings[key]
	if !known || b.Owner == asker || b.Taken || b.Promised {
		return false
	}
	holder, ok := f.roster.heirOf(key, b.Owner)
	return b.Unconfirmed > 0 && !(ok && holder.ID == asker)
}
