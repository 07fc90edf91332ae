// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ownership

import (
	"sailhead/internal/native/model"
)

// heirOf returns the agent that has the records of an owner for a key: the owner itself while it is listed, otherwise
// the heir of its planned stop, and so on. It returns false if one of them died, as its records are lost.
//
// Rule: the heir of a key is the first choice in the epoch that removed the owner; see Table.Handover.
func (r Roster) heirOf(key model.Key, owner MemberID) (Member, bool) {
	m, ok := r.MemberByID(owner)
	for ok && !m.IsListed() {
		if m.Removal != RemovalLeft {
			return Member{}, false
		}
		m, ok = r.firstChoiceAt(key, m.Removed)
	}
	return m, ok
}

// entryHeir returns the entry that has the bindings of an entry: itself while it is listed, otherwise the heir of its
// planned stop, and so on. It returns false if one of them died or had no heir.
func (r Roster) entryHeir(id MemberID) (Member, bool) {
	m, ok := r.MemberByID(id)
	for ok && !m.IsListed() {
		if m.Removal != RemovalLeft || m.Heir == "" {
			return Member{}, false
		}
		m, ok = r.MemberByID(m.Heir)
	}
	return m, ok
}

// effectiveJoined returns the lowest epoch in which the entry, or one whose bindings it inherited, joined.
func (r Roster) effectiveJoined(entry Member) uint64 {
	joined := entry.Joined
	for _, m := range r.Members {
		if m.Role != RoleEntry || m.IsListed() {
			continue
		}
		if heir, ok := r.entryHeir(m.ID); ok && heir.ID == entry.ID {
			joined = min(joined, m.Joined)
		}
	}
	return joined
}
