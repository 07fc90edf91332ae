// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import "time"

// An owner stops serving a shard in one of three ways.
//
//	loss       at once: the lease may have expired, the claim is gone or another's, or a write met another claim
//	surrender  at once: the entry that has claimed the shard since calls for it
//	release    at shutdown: once no run of a durable job is left, or at ShutdownRequested.Until
//
// Loss and surrender write nothing. A release is written with the removal of the claim, in one commit, and says whether runs
// may be left; if none are, the next owner starts at once (recovery.go). The shards are not divided further: all wait until
// the last run of the entry has ended.
//
// Reason for the wait: a run that is stopped is lost work.

// loseShard stops serving a shard at once. Requests that wait for a write get InDoubt: the write may have succeeded.
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

// surrender stops serving a shard for the entry that holds a later claim of it. A call with an old token changes nothing.
func (c *Coordinator) surrender(e SurrenderRequested) {
	s := c.shards[e.Shard]
	if s.isHeld() && s.token < e.Token {
		c.loseShard(s, "another entry asks for it")
	}
	c.emit(SurrenderReply{Waiter: e.Waiter})
}

// releaseShards releases all shards, and ends the lease once none is left. Runs is the number of runs of durable jobs.
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

// releaseShard stops the jobs of a shard and queues the record of its release, once.
func (c *Coordinator) releaseShard(s *shard, runs int) {
	if s.releasing {
		return
	}
	s.releasing = true
	c.dropJobs(s)
	s.enqueue(nil, c.ownedRecord(runs == 0))
}
