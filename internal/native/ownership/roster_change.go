// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ownership

import (
	"slices"
	"time"
)

// WithJoined returns the roster with a new member. An earlier incarnation at its address is removed as dead.
//
// Reason: two processes cannot listen at one address, so a join there proves that the earlier one has ended.
func (r Roster) WithJoined(member Member, now time.Time) Roster {
	if old, ok := r.MemberByID(member.ID); ok && old.IsListed() {
		return r
	}
	next := r.next()
	next.Epoch++
	for i := range next.Members {
		m := &next.Members[i]
		if m.Address == member.Address && m.IsListed() {
			m.remove(next.Epoch, now, RemovalDead)
		}
	}
	member.Joined = next.Epoch
	member.JoinedAt = now
	next.Members = append(next.Members, member)
	return next.settle(now)
}

// WithDead returns the roster with a member removed that is proven dead.
func (r Roster) WithDead(id MemberID, now time.Time) (Roster, error) {
	return r.withRemoved(id, now, RemovalDead, "")
}

// WithLeft returns the roster with a member removed that has handed its bindings or records over. The heir is empty for
// an agent.
func (r Roster) WithLeft(id MemberID, heir MemberID, now time.Time) (Roster, error) {
	return r.withRemoved(id, now, RemovalLeft, heir)
}

// withRemoved returns the roster, in a new epoch, with a member removed.
func (r Roster) withRemoved(id MemberID, now time.Time, removal Removal, heir MemberID) (Roster, error) {
	next := r.next()
	i := next.indexOf(id)
	if i < 0 || !next.Members[i].IsListed() {
		return r, ErrUnknownMember
	}
	next.Epoch++
	next.Members[i].remove(next.Epoch, now, removal)
	next.Members[i].Heir = heir
	return next.settle(now), nil
}

// WithAck returns the roster with the acknowledgement of an epoch by an entry.
func (r Roster) WithAck(id MemberID, epoch uint64, now time.Time) (Roster, error) {
	next := r.next()
	i := next.indexOf(id)
	if i < 0 || !next.Members[i].IsListed() {
		return r, ErrUnknownMember
	}
	next.Members[i].Acked = max(next.Members[i].Acked, epoch)
	return next.settle(now), nil
}

// WithSeen returns the roster with a member marked as seen on the platform's list of VMs, and as leaving if its VM is.
// Leaving is never undone.
func (r Roster) WithSeen(id MemberID, leaving bool) (Roster, error) {
	next := r.next()
	i := next.indexOf(id)
	if i < 0 || !next.Members[i].IsListed() {
		return r, ErrUnknownMember
	}
	next.Members[i].SeenOnList = true
	next.Members[i].Leaving = next.Members[i].Leaving || leaving
	return next, nil
}

// WithPruned returns the roster without the removed members and settlements that no longer matter. It returns the same
// roster if there are none.
//
// Inputs: before, the time of the oldest event that still matters: the issue of the oldest key that is accepted.
//
// Rule: a removed member goes if it was removed, and its removal was acknowledged by every entry, before that time. Of
// the settlements before it the last one stays.
//
// Reason: firstChoiceSince, heirOf and Table.remembers need removed members only for keys issued around the removal.
func (r Roster) WithPruned(before time.Time) Roster {
	next := r.next()
	next.Members = slices.DeleteFunc(next.Members, func(m Member) bool {
		if m.IsListed() || !m.RemovedAt.Before(before) {
			return false
		}
		at, ok := r.settledAt(m.Removed)
		return ok && at.Before(before)
	})
	for len(next.Settled) > 1 && next.Settled[1].At.Before(before) {
		next.Settled = next.Settled[1:]
	}
	if len(next.Members) == len(r.Members) && len(next.Settled) == len(r.Settled) {
		return r
	}
	return next
}

// remove marks the member as removed.
func (m *Member) remove(epoch uint64, now time.Time, removal Removal) {
	m.Removed = epoch
	m.RemovedAt = now
	m.Removal = removal
}

// indexOf returns the index of a member, or -1.
func (r Roster) indexOf(id MemberID) int {
	return slices.IndexFunc(r.Members, func(m Member) bool { return m.ID == id })
}

// next returns a copy of the roster with the next revision, for a change to modify.
func (r Roster) next() Roster {
	r.Revision++
	r.Members = slices.Clone(r.Members)
	r.Settled = slices.Clone(r.Settled)
	return r
}

// settle returns the roster with a settlement of the highest epoch that every listed entry has acknowledged, if that
// epoch had none. Without entries every epoch counts as acknowledged.
func (r Roster) settle(now time.Time) Roster {
	acked := r.Epoch
	for _, m := range r.Members {
		if m.Role == RoleEntry && m.IsListed() {
			acked = min(acked, m.Acked)
		}
	}
	if n := len(r.Settled); acked > 0 && (n == 0 || r.Settled[n-1].Epoch < acked) {
		r.Settled = append(r.Settled, Settlement{Epoch: acked, At: now})
	}
	return r
}
