// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// mayClaim reports whether the entry may claim a shard: entries do so one after the other, in an order of the shard's.
func (k *Keeper) mayClaim(now time.Time, s *shard) bool {
	if !k.current || k.lease.id == 0 || !k.leaving.IsZero() || s.claim != nil || now.Sub(s.tried) < retryPause {
		return false
	}
	free := s.changed
	if free.Before(k.since) {
		free = k.since
	}
	return now.Sub(free) >= time.Duration(k.rank(s))*rankPause
}

// rank counts the entries that come before this one for a shard.
func (k *Keeper) rank(s *shard) int {
	weight := func(name string) uint64 { return xxhash.Sum64(append([]byte(name), '/', byte(s.number))) }
	rank, own := 0, weight(k.self.Owner)
	for _, name := range k.entries {
		if name != k.self.Owner && weight(name) > own {
			rank++
		}
	}
	return rank
}

func (k *Keeper) callClaim(now time.Time, s *shard) {
	s.state, s.tried = claiming, now
	claim := k.self
	claim.Shard, claim.Lease = s.number, k.lease.id
	k.emit(CallClaim{Claim: claim})
}

func (k *Keeper) claimAnswered(now time.Time, e ClaimAnswered) {
	s := k.shards[e.Shard]
	if s.state != claiming || e.Lease != k.lease.id {
		return
	}
	switch result := e.Result.(type) {
	case ClaimWon:
		k.won(now, s, result.Token)
	default:
		// A claim that is carried out late, or another's, shows in the store's changes.
		s.state = unowned
	}
}

// isOwn reports whether a claim is this process's, under its present lease.
func (k *Keeper) isOwn(c Claim) bool {
	return c.Owner == k.self.Owner && c.Incarnation == k.self.Incarnation && c.Lease == k.lease.id && k.lease.id != 0
}

func (k *Keeper) seeClaim(now time.Time, c Claim) {
	k.want(now)
	s := k.shards[c.Shard]
	if c.Token <= s.seen {
		return
	}
	s.seen, s.claim, s.changed = c.Token, &c, now
	switch {
	case k.isOwn(c) && !s.isHeld():
		k.won(now, s, c.Token)
	case k.isOwn(c) && c.Token == s.token:
	case s.state == claiming:
		s.state = unowned
	case s.isHeld():
		k.lose(s, "the claim is "+c.Owner+"'s")
	}
}

func (k *Keeper) claimGone(now time.Time, e ClaimGone) {
	s := k.shards[e.Shard]
	if e.Token <= s.seen {
		return
	}
	s.seen, s.claim, s.changed = e.Token, nil, now
	if s.isHeld() && s.token < e.Token {
		k.lose(s, "the claim is gone")
	}
}

// won takes a shard up that was claimed.
func (k *Keeper) won(now time.Time, s *shard, token Token) {
	s.clear()
	s.token, s.claimed = token, now
	if token > s.seen {
		claim := k.self
		claim.Shard, claim.Lease, claim.Token = s.number, k.lease.id, token
		s.seen, s.claim, s.changed = token, &claim, now
	}
	k.load(now, s)
}
