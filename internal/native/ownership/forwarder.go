// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ownership

import (
	"time"

	"sailhead/internal/native/model"
)

// Forwarder decides for one entry which owner gets a key, and holds the bindings. It is not safe for concurrent use.
type Forwarder struct {
	self     MemberID
	limits   Limits
	roster   Roster
	bindings map[model.Key]*Binding
	// closed is set by Close and never cleared: nothing is routed or promised after that.
	closed bool
	// handedOver is set while an heir has or gets the bindings; the heir would not get bindings that are inherited
	// then.
	handedOver bool
}

// NewForwarder returns a forwarder without bindings.
func NewForwarder(self MemberID, limits Limits) *Forwarder {
	return &Forwarder{self: self, limits: limits, bindings: make(map[model.Key]*Binding)}
}

// SetRoster replaces the roster by a newer one and reports whether it did.
func (f *Forwarder) SetRoster(roster Roster) bool {
	if roster.Revision <= f.roster.Revision {
		return false
	}
	f.roster = roster
	return true
}

// Roster returns the roster in use.
func (f *Forwarder) Roster() Roster {
	return f.roster
}

// Len returns the number of bindings.
func (f *Forwarder) Len() int {
	return len(f.bindings)
}

// OwnerOf returns the agent that has the records of the key: that of its binding, or its first choice.
func (f *Forwarder) OwnerOf(key model.Key) (Member, bool) {
	if b, ok := f.bindings[key]; ok {
		return f.roster.heirOf(key, b.Owner)
	}
	return f.roster.FirstChoice(key)
}

// Expire removes the bindings that were last used longer ago than Limits.Retention.
func (f *Forwarder) Expire(now time.Time) {
	before := now.Add(-f.limits.Retention())
	for key, b := range f.bindings {
		if b.Touched.Before(before) {
			delete(f.bindings, key)
		}
	}
}
