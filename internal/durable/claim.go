// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// mayClaim reports whether the entry may claim a shard: entries do so one after the other, in an order of the shard's.
func (c *Coordinator) mayClaim(now time.Time, s *shard) bool {
	if !c.storeRead || c.lease.id == 0 || !c.shutdownAt.IsZero() || s.claim != nil || now.Sub(s.lastTry) < retryPause {
		return false
	}
	free := s.claimChangedAt
	if free.Before(c.activeSince) {
		free = c.activeSince
	}
	return now.Sub(free) >= time.Duration(c.rank(s))*rankPause
}

// rank counts the entries that come before this one for a shard.
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

func (c *Coordinator) callClaim(now time.Time, s *shard) {
	s.state, s.lastTry = claiming, now
	own := c.self
	own.Shard, own.Lease = s.number, c.lease.id
	c.emit(CallClaim{Claim: own})
}

func (c *Coordinator) claimAnswered(now time.Time, e ClaimAnswered) {
	s := c.shards[e.Shard]
	if s.state != claiming || e.Lease != c.lease.id {
		return
	}
	switch result := e.Result.(type) {
	case ClaimWon:
		c.claimWon(now, s, result.Token)
	default:
		// A claim that is carried out late, or another's, shows in the store's changes.
		s.state = unowned
	}
}

// isOwn reports whether a claim is this process's, under its present lease.
func (c *Coordinator) isOwn(claim Claim) bool {
	return claim.Owner == c.self.Owner && claim.Incarnation == c.self.Incarnation && claim.Lease == c.lease.id && c.lease.id != 0
}

func (c *Coordinator) observeClaim(now time.Time, claim Claim) {
	c.activate(now)
	s := c.shards[claim.Shard]
	if claim.Token <= s.claimRevision {
		return
	}
	s.claimRevision, s.claim, s.claimChangedAt = claim.Token, &claim, now
	switch {
	case c.isOwn(claim) && !s.isHeld():
		c.claimWon(now, s, claim.Token)
	case c.isOwn(claim) && claim.Token == s.token:
	case s.state == claiming:
		s.state = unowned
	case s.isHeld():
		c.loseShard(s, "the claim is "+claim.Owner+"'s")
	}
}

func (c *Coordinator) claimGone(now time.Time, e ClaimGone) {
	s := c.shards[e.Shard]
	if e.Token <= s.claimRevision {
		return
	}
	s.claimRevision, s.claim, s.claimChangedAt = e.Token, nil, now
	if s.isHeld() && s.token < e.Token {
		c.loseShard(s, "the claim is gone")
	}
}

// claimWon takes a shard up that was claimed.
func (c *Coordinator) claimWon(now time.Time, s *shard, token Token) {
	s.clear()
	s.token, s.claimed = token, now
	if token > s.claimRevision {
		own := c.self
		own.Shard, own.Lease, own.Token = s.number, c.lease.id, token
		s.claimRevision, s.claim, s.claimChangedAt = token, &own, now
	}
	c.load(now, s)
}
