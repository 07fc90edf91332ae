// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable/durablepb"
	"sailhead/internal/timing"
)

// A new owner reads the shard and ensures that the runs of the previous owner have ended before it starts any.
//
// Inputs: the shard's batches, whose newest Owned record names the previous owner; that owner's answer to a surrender call;
// when this entry claimed the shard; Limits.LeaseTime.
//
// Rule: runs may start
//
//	at once                                  if there was no owner, or it released the shard with no run left
//	after timing.RecoveryDelay               if the owner was an earlier process of this entry at the same address,
//	                                         or if the owner surrendered, or its address refuses connections
//	LeaseTTL + RecoveryDelay after the      if the owner did not answer
//	claim
//
// State queries are answered once the shard is loaded. Jobs are accepted and cancelled once the previous owner has surrendered
// or the call to it has failed, or at once if there is no owner to call.
//
// Reason: an owner that does not answer may be partitioned and still serve the shard. LeaseTTL after this entry's claim, it
// has either learned from the store that its own claim was removed, or has failed to renew its lease and dropped the shard. Its
// agents then stop the runs within timing.SessionLease and report ends that were not recorded; RecoveryDelay covers both.

// loadRetryInterval is the time after which the read of a shard is repeated. The earlier read may still be in flight; the first
// successful one is used.
const loadRetryInterval = time.Second

// load reads the batches of a claimed shard.
func (c *Coordinator) load(now time.Time, s *shard) {
	s.state, s.lastAttempt = loading, now
	c.emit(Load{Shard: s.number, Token: s.token})
}

// loadIfDue repeats the read of a shard that is not loaded yet.
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

// shardUnreadable discards what was decoded of a shard and leaves it in the loading state. The claim is kept, because no other
// entry of this version could read the shard either. Nothing is written, so that a version that can decode the shard finds all
// of its batches.
func (c *Coordinator) shardUnreadable(s *shard, err error) {
	token := s.token
	s.clear()
	s.state, s.token = loading, token
	c.logDecision(s, DecisionUnreadable, err.Error())
}

// takeOver starts to serve a loaded shard, or first asks its previous owner to surrender it.
func (c *Coordinator) takeOver(now time.Time, s *shard) {
	earlier := s.lastOwner
	switch {
	case earlier == nil || earlier.Released:
		c.serveShard(s, time.Time{})
	case earlier.Name == c.self.Owner && earlier.Address == c.self.Address:
		// This process listens at the address of the previous one, which has therefore exited.
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
		stoppedAt = s.claimedAt.Add(c.limits.LeaseTTL)
	}
	c.serveShard(s, stoppedAt.Add(timing.RecoveryDelay))
}

// serveShard starts to serve a shard. Its jobs may run from notBefore on, or at once if that is zero.
func (c *Coordinator) serveShard(s *shard, notBefore time.Time) {
	s.state = owned
	s.ends.areLeft = true
	s.enqueue(nil, c.ownedRecord(false))
	for _, j := range s.jobs {
		if !j.storedState.IsEnd() {
			c.emit(ToDispatcher{Event: j.forDispatcher(notBefore)})
		}
	}
	c.logDecision(s, DecisionOwned, "")
}

// ownedRecord returns the record that names this entry as the owner of a shard, or as the one that has released it.
func (c *Coordinator) ownedRecord(isReleased bool) *durablepb.Record {
	owned := &durablepb.Owned{Name: c.self.Owner, Address: c.self.Address, Released: isReleased}
	return &durablepb.Record{Record: &durablepb.Record_Owned{Owned: owned}}
}

// dropJobs makes the dispatcher stop and remove the unfinished jobs of a shard.
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
