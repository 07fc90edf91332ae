// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import "time"

// An owner stops serving a shard in one of three ways.
//
//	loss       at once: the lease may have expired, the claim was removed or replaced, or a write was fenced
//	surrender  at once: at the request of the entry that has claimed the shard since
//	release    at shutdown: once no run of a durable job is left, or at ShutdownRequested.Until
//
// Loss and surrender write nothing. A release is written in one commit with the removal of the claim, and records whether runs
// may be left. If none are, the next owner starts runs at once (recovery.go). Shards are not released one by one: all wait
// until the last run of a durable job of this entry has ended.
//
// Reason for the wait: stopping a run loses its work.

// loseShard stops serving a shard at once. Requests that wait for a write are answered with InDoubt, because the write may have
// succeeded.
func (c *Coordinator) loseShard(s *shard, reason string) {
	c.logDecision(s, DecisionLost, reason)
	c.dropJobs(s)
	for _, j := range s.jobs {
		for _, waiter := range j.waiters {
			c.emit(Reply{Waiter: waiter, Answer: InDoubt{Reason: "the entry has lost the job's shard"}})
		}
	}
	s.clear()
}

// surrender stops serving a shard at the request of an entry with a later claim. A request with an older token changes nothing.
func (c *Coordinator) surrender(e SurrenderRequested) {
	s := c.shards[e.Shard]
	if s.isHeld() && s.token < e.Token {
		c.loseShard(s, "another entry asks for it")
	}
	c.emit(SurrenderReply{Waiter: e.Waiter})
}

// releaseShards releases all shards, and ends the lease once no shard is owned. It waits while there are runs of durable jobs,
// until shutdownAt at the latest.
func (c *Coordinator) releaseShards(now time.Time, runs int) {
	if runs > 0 && now.Before(c.shutdownAt) {
		return
	}
	remaining := 0
	for _, s := range c.shards {
		switch {
		case s.state == owned:
			c.releaseShard(s, runs)
			remaining++
		case s.isHeld():
			c.loseShard(s, "the entry stops")
		}
	}
	if remaining == 0 && c.lease.id != 0 {
		c.emit(EndLease{Lease: c.lease.id})
		c.lease.id = 0
	}
}

// releaseShard stops the jobs of a shard and queues the record of its release. Further calls do nothing.
func (c *Coordinator) releaseShard(s *shard, runs int) {
	if s.releasing {
		return
	}
	s.releasing = true
	c.dropJobs(s)
	s.enqueue(nil, c.ownedRecord(runs == 0))
}
