// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// A shard without an owner is claimed by the entries one after the other.
//
// Inputs: the claims in the store with their revisions, the names of the known entries, the own lease.
//
// Rule: an entry claims a shard if it has read the store and found no claim, holds a lease, is not shutting down, and has
// waited claimRankDelay for each entry before it in the shard's order. The store decides between two claims: it takes the
// first. Claims and their removals apply in the order of their revisions, so that a late report changes nothing.
//
// Reason: the order gives each shard one likely owner, spreads the shards over the entries, and keeps the entries from all
// calling the store when an owner is lost.

// claimRankDelay is how long an entry waits for each entry before it in a shard's order: longer than a claim takes to be written and
// reported by the watch.
const claimRankDelay = 400 * time.Millisecond

// claimIfDue claims a shard if this entry may.
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

// unclaimedSince returns when the entries began to wait for the shard: when its claim went, or when durable jobs came up.
func (c *Coordinator) unclaimedSince(s *shard) time.Time {
	if s.claimChangedAt.Before(c.activeSince) {
		return c.activeSince
	}
	return s.claimChangedAt
}

// rank returns the number of entries before this one in a shard's order, which follows a hash of the name and the shard.
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
		// If the claim is written later, or another entry's is, the watch of the store reports it.
		s.state = unowned
		return
	}
	c.claimWon(now, s, won.Token)
}

// claimWon records that a shard is claimed here and loads it.
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

// isOwn reports whether a claim is this process's, under the lease that it holds.
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
		// The answer to the claim was lost, or comes later.
		c.claimWon(now, s, claim.Token)
	case c.isOwn(claim) && claim.Token == s.token:
		// It is the claim that is held.
	case s.state == claiming:
		s.state = unowned
	case s.isHeld():
		c.loseShard(s, "the claim is "+claim.Owner+"'s")
	}
}

func (c *Coordinator) claimRemoved(now time.Time, e ClaimRemoved) {
	s := c.shards[e.Shard]
	if e.Token <= s.claimRevision {
		return
	}
	s.setClaim(now, e.Token, nil)
	// A held token is not above claimRevision, so the removal is later than the claim that is held.
	if s.isHeld() {
		c.loseShard(s, "the claim is gone")
	}
}
