// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/native/model"
)

// Settlement says when every listed entry had acknowledged an epoch.
type Settlement struct {
	Epoch uint64    `json:"epoch"`
	At    time.Time `json:"at"`
}

// Roster lists the entries that may forward and the agents that may own, as an immutable value.
type Roster struct {
	// Epoch grows with each join and removal.
	Epoch uint64 `json:"epoch"`
	// Revision grows with every change, acknowledgements included.
	Revision uint64       `json:"revision"`
	Members  []Member     `json:"members"`
	Settled  []Settlement `json:"settled"`
}

// ErrUnknownMember says that a change names a member that is not listed.
var ErrUnknownMember = errors.New("ownership: member is not listed")

// MemberByID returns the member, listed or removed.
func (r Roster) MemberByID(id MemberID) (Member, bool) {
	for _, m := range r.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// Listed returns the listed members of a role in the order in which they joined.
func (r Roster) Listed(role Role) []Member {
	var listed []Member
	for _, m := range r.Members {
		if m.Role == role && m.IsListed() {
			listed = append(listed, m)
		}
	}
	slices.SortStableFunc(listed, func(a, b Member) int { return cmp.Compare(a.Joined, b.Joined) })
	return listed
}

// Choices returns the listed agents for a key, the first choice first.
func (r Roster) Choices(key model.Key) []Member {
	agents := r.Listed(RoleAgent)
	slices.SortStableFunc(agents, func(a, b Member) int { return cmp.Compare(b.score(key), a.score(key)) })
	return agents
}

// FirstChoice returns the listed agent with the highest score for the key.
func (r Roster) FirstChoice(key model.Key) (Member, bool) {
	return r.firstChoiceAt(key, r.Epoch)
}

// firstChoiceAt returns the first choice in a past epoch.
func (r Roster) firstChoiceAt(key model.Key, epoch uint64) (Member, bool) {
	var best Member
	var bestScore uint64
	found := false
	for _, m := range r.Members {
		if m.Role != RoleAgent || !m.wasListedAt(epoch) {
			continue
		}
		if score := m.score(key); !found || score > bestScore {
			best, bestScore, found = m, score, true
		}
	}
	return best, found
}

// firstChoiceSince returns the epoch since which the owner is the first choice for the key.
func (r Roster) firstChoiceSince(key model.Key, owner MemberID) (uint64, bool) {
	self, ok := r.MemberByID(owner)
	if !ok || !self.IsListed() {
		return 0, false
	}
	since := self.Joined
	score := self.score(key)
	for _, m := range r.Members {
		if m.Role != RoleAgent || m.ID == owner || m.score(key) <= score {
			continue
		}
		if m.IsListed() {
			return 0, false
		}
		since = max(since, m.Removed)
	}
	return since, true
}

// settledAt returns when every entry listed had acknowledged the epoch.
func (r Roster) settledAt(epoch uint64) (time.Time, bool) {
	for _, s := range r.Settled {
		if s.Epoch >= epoch {
			return s.At, true
		}
	}
	return time.Time{}, false
}

// heirOf follows planned stops from an owner to the agent that holds its records of the key.
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

// entryHeir follows planned stops from an entry to the one that holds its bindings.
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

// effectiveJoined returns the lowest epoch whose bindings the entry holds, by itself or as an heir.
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

// WithJoined returns the roster with a new member; an older incarnation at its address is proven dead.
func (r Roster) WithJoined(member Member, now time.Time) Roster {
	if old, ok := r.MemberByID(member.ID); ok && old.IsListed() {
		return r
	}
	next := r.clone()
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

// WithDead returns the roster without a member whose death is proven.
func (r Roster) WithDead(id MemberID, now time.Time) (Roster, error) {
	return r.withRemoved(id, now, RemovalDead, "")
}

// WithLeft returns the roster without a member that stopped and handed its memory over.
func (r Roster) WithLeft(id MemberID, heir MemberID, now time.Time) (Roster, error) {
	return r.withRemoved(id, now, RemovalLeft, heir)
}

func (r Roster) withRemoved(id MemberID, now time.Time, removal Removal, heir MemberID) (Roster, error) {
	next := r.clone()
	i := next.indexOf(id)
	if i < 0 || !next.Members[i].IsListed() {
		return r, ErrUnknownMember
	}
	next.Epoch++
	next.Members[i].remove(next.Epoch, now, removal)
	next.Members[i].Heir = heir
	return next.settle(now), nil
}

// WithAck returns the roster with an entry's acknowledgement of an epoch.
func (r Roster) WithAck(id MemberID, epoch uint64, now time.Time) (Roster, error) {
	next := r.clone()
	i := next.indexOf(id)
	if i < 0 || !next.Members[i].IsListed() {
		return r, ErrUnknownMember
	}
	next.Members[i].Acked = max(next.Members[i].Acked, epoch)
	return next.settle(now), nil
}

// WithSeen returns the roster with what the platform's list shows of a member's VM.
func (r Roster) WithSeen(id MemberID, leaving bool) (Roster, error) {
	next := r.clone()
	i := next.indexOf(id)
	if i < 0 || !next.Members[i].IsListed() {
		return r, ErrUnknownMember
	}
	next.Members[i].SeenOnList = true
	next.Members[i].Leaving = next.Members[i].Leaving || leaving
	return next, nil
}

// WithPruned returns the roster without removed members that no key still accepted can concern.
func (r Roster) WithPruned(before time.Time) Roster {
	next := r.clone()
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

func (m *Member) remove(epoch uint64, now time.Time, removal Removal) {
	m.Removed = epoch
	m.RemovedAt = now
	m.Removal = removal
}

func (r Roster) indexOf(id MemberID) int {
	return slices.IndexFunc(r.Members, func(m Member) bool { return m.ID == id })
}

func (r Roster) clone() Roster {
	r.Revision++
	r.Members = slices.Clone(r.Members)
	r.Settled = slices.Clone(r.Settled)
	return r
}

// settle records the highest epoch that every listed entry has acknowledged.
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

// IsSettled reports whether every listed entry has acknowledged the current epoch.
func (r Roster) IsSettled() bool {
	_, ok := r.settledAt(r.Epoch)
	return ok
}
