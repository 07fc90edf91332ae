// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sailhead/internal/native/model"
)

// Choices returns the listed agents in the order in which they are chosen as owner of a key.
//
// Inputs: the key and the addresses of the listed agents.
//
// Rule: rendezvous hashing; the highest score first.
//
// Reason: every process that has the same roster finds the same owner without messages, and a join or a removal moves
// only the keys of that agent.
func (r Roster) Choices(key model.Key) []Member {
	agents := r.Listed(RoleAgent)
	slices.SortStableFunc(agents, func(a, b Member) int { return cmp.Compare(b.score(key), a.score(key)) })
	return agents
}

// FirstChoice returns the first of Choices.
func (r Roster) FirstChoice(key model.Key) (Member, bool) {
	return r.firstChoiceAt(key, r.Epoch)
}

// firstChoiceAt returns the first choice for a key in a past epoch, from the members that are still on the roster.
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

// firstChoiceSince returns the epoch since which an incarnation of an agent is the first choice for a key: it has
// joined, and every member with a higher score is removed. It returns false if the agent is not the first choice.
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

// score returns the rendezvous hash of the member's address and the key. The address is used, not the incarnation, so
// that a process keeps its keys over a restart.
func (m Member) score(key model.Key) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(m.Address)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(key))
	return digest.Sum64()
}
