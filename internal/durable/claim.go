// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Entries claim an unowned shard in an order given by rendezvous hashing.
//
// Inputs: the claims in the store with their revisions, the names of the known entries, this entry's lease.
//
// Rule: an entry claims a shard if it has read the claims from the store and found none for the shard, holds a lease, is not
// shutting down, and has waited claimRankDelay for each entry that ranks before it for the shard. If two entries claim a shard,
// the store accepts the first claim. Claims and their removals are applied in the order of their revisions, so that a delayed
// report is ignored.
//
// Reason: the ranking gives each shard one likely owner, distributes the shards over the entries, and prevents all entries from
// calling the store at once when an owner is lost.

// claimRankDelay is how long an entry waits for each entry that ranks before it: longer than it takes to write a claim and to
// report it through the watch of the store.
const claimRankDelay = 400 * time.Millisecond

// claimIfDue claims a shard if this entry may do so now.
func (c *Coordinator) claimIfDue(now time.Time, s *shard) {
	if !c.mayClaim(now, s) {
		return
	}
	s.state, s.lastAttempt = claiming, now
	claim := c.self
	claim.Shard, claim.Lease = s.number, c.lease.id
	c.emit(CallClaim{Claim: claim})
}

func (c *Coordinator) mayClaim(now time.Time, s *shard) bool {
	isShuttingDown := !c.shutdownAt.IsZero()
	switch {
	case s.state != unowned || s.claim != nil:
		return false
	case !c.storeRead || c.lease.id == 0 || isShuttingDown:
		return false
	case now.Sub(s.lastAttempt) < storeRetryInterval:
		return false
	}
	delay := time.Duration(c.rank(s)) * claimRankDelay
	return now.Sub(c.unclaimedSince(s)) >= delay
}

// unclaimedSince returns the start of the claim delay: when the shard's claim was removed, or when this coordinator was
// activated if that was later.
func (c *Coordinator) unclaimedSince(s *shard) time.Time {
	if s.claimChangedAt.Before(c.activeSince) {
		return c.activeSince
	}
	return s.claimChangedAt
}

// rank returns the number of entries that rank before this one for a shard, by a hash of the entry's name and the shard.
func (c *Coordinator) rank(s *shard) int {
	weight := func(name string) uint64 { return xxhash.Sum64(append([]byte(name), '/', byte(s.number))) }
	rank, own := 0, weight(c.self.Owner)
	for _, name := range c.entries {
		if name != c.self.Owner && weight(name) > own {
			rank++
		}
	}
	return rank
}

func (c *Coordinator) claimAnswered(now time.Time, e ClaimAnswered) {
	s := c.shards[e.Shard]
	if s.state != claiming || e.Lease != c.lease.id {
		return
	}
	won, ok := e.Result.(ClaimWon)
	if !ok {
		// If this claim or that of another entry is written after all, the watch of the store reports it.
		s.state = unowned
		return
	}
	c.claimWon(now, s, won.Token)
}

// claimWon records that this entry has claimed a shard and loads the shard.
func (c *Coordinator) claimWon(now time.Time, s *shard, token Token) {
	s.clear()
	s.token, s.claimedAt = token, now
	if token > s.claimRevision {
		claim := c.self
		claim.Shard, claim.Lease, claim.Token = s.number, c.lease.id, token
		s.setClaim(now, token, &claim)
	}
	c.load(now, s)
}

// isOwn reports whether a claim was made by this process under its current lease.
func (c *Coordinator) isOwn(claim Claim) bool {
	isSelf := claim.Owner == c.self.Owner && claim.Incarnation == c.self.Incarnation
	return isSelf && c.lease.id != 0 && claim.Lease == c.lease.id
}

func (c *Coordinator) claimObserved(now time.Time, claim Claim) {
	c.activate(now)
	s := c.shards[claim.Shard]
	if claim.Token <= s.claimRevision {
		return
	}
	s.setClaim(now, claim.Token, &claim)
	switch {
	case c.isOwn(claim) && !s.isHeld():
		// The answer to the claim call was lost or has not arrived yet.
		c.claimWon(now, s, claim.Token)
	case c.isOwn(claim) && claim.Token == s.token:
		// This is the claim that is already held.
	case s.state == claiming:
		s.state = unowned
	case s.isHeld():
		c.loseShard(s, "the claim in the store is "+claim.Owner+"'s")
	}
}

func (c *Coordinator) claimRemoved(now time.Time, e ClaimRemoved) {
	s := c.shards[e.Shard]
	if e.Token <= s.claimRevision {
		return
	}
	s.setClaim(now, e.Token, nil)
	// The token of a held shard is at most claimRevision, so the removal is later than the held claim.
	if s.isHeld() {
		c.loseShard(s, "the claim was removed from the store")
	}
}
