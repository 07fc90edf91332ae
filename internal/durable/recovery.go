// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable/durablepb"
	"sailhead/internal/timing"
)

// A new owner reads the shard and makes sure that the earlier owner's runs have ended before it starts any.
//
// Inputs: the shard's batches, whose newest Owned record names the earlier owner; that owner's answer to a surrender call;
// when this entry claimed the shard; Limits.LeaseTime.
//
// Rule: runs may start
//
//	at once                                        if there was no owner, or it released the shard with no run left
//	timing.RecoveryDelay from now                  if the owner was this entry's earlier process, at the same address,
//	                                               or if the owner surrendered, or its address refuses connections
//	LeaseTime after the claim, and RecoveryDelay   if the owner did not answer
//
// State queries are answered once the shard is loaded. Jobs are accepted and cancelled once the earlier owner has surrendered
// or failed to answer, or at once if there is none to call.
//
// Reason: an owner that does not answer may be cut off and still serve the shard. LeaseTime after this entry's claim it has
// either learned from the store that its own claim is gone, or renewed nothing since and dropped the shard. Its agents then
// stop the runs within timing.SessionLease and report ends that were not recorded; RecoveryDelay covers both.

// loadRetryInterval is the time after which a shard that is not loaded is read again. The earlier read may still be in flight then: the
// first that succeeds counts.
const loadRetryInterval = time.Second

// load reads the batches of a claimed shard.
func (c *Coordinator) load(now time.Time, s *shard) {
	s.state, s.lastAttempt = loading, now
	c.emit(Load{Shard: s.number, Token: s.token})
}

// loadIfDue reads a shard again that could not be loaded.
func (c *Coordinator) loadIfDue(now time.Time, s *shard) {
	if s.state == loading && now.Sub(s.lastAttempt) >= loadRetryInterval {
		c.load(now, s)
	}
}

func (c *Coordinator) loaded(now time.Time, e Loaded) {
	s := c.shards[e.Shard]
	if s.state != loading || s.token != e.Token {
		return
	}
	if e.Err != nil {
		c.logDecision(s, DecisionLoadFailed, e.Err.Error())
		return
	}
	if err := s.restore(now, e.Batches); err != nil {
		c.shardUnreadable(s, err)
		return
	}
	c.takeOver(now, s)
}

// shardUnreadable forgets what was decoded of a shard and leaves it loading. The claim is kept, as no entry of this version
// could read the shard, and nothing is written, so that a version that can read it finds everything.
func (c *Coordinator) shardUnreadable(s *shard, err error) {
	token := s.token
	s.clear()
	s.state, s.token = loading, token
	c.logDecision(s, DecisionUnreadable, err.Error())
}

// takeOver starts to serve a loaded shard, or asks its earlier owner to stop first.
func (c *Coordinator) takeOver(now time.Time, s *shard) {
	earlier := s.lastOwner
	switch {
	case earlier == nil || earlier.Released:
		c.serveShard(s, time.Time{})
	case earlier.Name == c.self.Owner && earlier.Address == c.self.Address:
		// This process listens at the address of the earlier one, so that one is gone.
		c.serveShard(s, now.Add(timing.RecoveryDelay))
	default:
		s.state = awaitingSurrender
		c.emit(CallSurrender{Shard: s.number, Token: s.token, Address: earlier.Address})
	}
}

func (c *Coordinator) surrendered(now time.Time, e Surrendered) {
	s := c.shards[e.Shard]
	if s.state != awaitingSurrender || s.token != e.Token {
		return
	}
	stoppedAt := now
	if !e.IsConfirmed {
		stoppedAt = s.claimedAt.Add(c.limits.LeaseTime)
	}
	c.serveShard(s, stoppedAt.Add(timing.RecoveryDelay))
}

// serveShard starts to serve a shard. Its jobs may run from notBefore on; zero is at once.
func (c *Coordinator) serveShard(s *shard, notBefore time.Time) {
	s.state = owned
	s.enqueue(nil, c.ownedRecord(false))
	for _, j := range s.jobs {
		if !j.storedState.IsEnd() {
			c.emit(ToDispatcher{Event: j.forDispatcher(notBefore)})
		}
	}
	c.logDecision(s, DecisionOwned, "")
}

// ownedRecord returns the record that makes this entry a shard's owner, or the one that it leaves on release.
func (c *Coordinator) ownedRecord(isReleased bool) *durablepb.Record {
	owned := &durablepb.Owned{Name: c.self.Owner, Address: c.self.Address, Released: isReleased}
	return &durablepb.Record{Record: &durablepb.Record_Owned{Owned: owned}}
}

// dropJobs makes the dispatcher stop and forget the unfinished jobs of a shard.
func (c *Coordinator) dropJobs(s *shard) {
	var ids []string
	for id, j := range s.jobs {
		if !j.storedState.IsEnd() {
			ids = append(ids, id)
		}
	}
	if len(ids) > 0 {
		c.emit(ToDispatcher{Event: dispatch.DurableDropped{Jobs: ids}})
	}
}
