// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable/durablepb"
	"sailhead/internal/timing"
)

func (c *Coordinator) load(now time.Time, s *shard) {
	s.state, s.lastTry = loading, now
	c.emit(Load{Shard: s.number, Token: s.token})
}

func (c *Coordinator) loaded(now time.Time, e Loaded) {
	s := c.shards[e.Shard]
	if s.state != loading || s.token != e.Token || e.Err != nil {
		return
	}
	if err := s.restore(now, e.Batches); err != nil {
		// What cannot be read is not given up: the shard stays as it is until a process can read it.
		token := s.token
		s.clear()
		s.state, s.token = loading, token
		c.logDecision(s, "shard_unreadable", err.Error())
		return
	}
	switch previous := s.previous; {
	case previous == nil || previous.Released:
		c.serveShard(s, time.Time{})
	case previous.Name == c.self.Owner && previous.Address == c.self.Address:
		// The earlier process is gone: this one has its addresses.
		c.serveShard(s, now.Add(timing.RecoveryDelay))
	default:
		s.state = surrendering
		c.emit(CallSurrender{Shard: s.number, Token: s.token, Address: previous.Address})
	}
}

// surrendered goes on once the earlier owner has given the shard up, or must have: its lease has run out.
func (c *Coordinator) surrendered(now time.Time, e Surrendered) {
	s := c.shards[e.Shard]
	if s.state != surrendering || s.token != e.Token {
		return
	}
	stopped := now
	if !e.IsConfirmed {
		stopped = s.claimed.Add(c.limits.LeaseTime)
	}
	c.serveShard(s, stopped.Add(timing.RecoveryDelay))
}

// serveShard begins to serve a shard.
func (c *Coordinator) serveShard(s *shard, notBefore time.Time) {
	s.state = owning
	s.add(nil, ownedRecord(&durablepb.Owned{Name: c.self.Owner, Address: c.self.Address}))
	for _, j := range s.jobs {
		if !j.written.IsEnd() {
			c.emit(ToDispatcher{Event: j.forDispatcher(notBefore)})
		}
	}
	c.logDecision(s, "shard_owned", "")
}

func ownedRecord(owned *durablepb.Owned) *durablepb.Record {
	return &durablepb.Record{Record: &durablepb.Record_Owned{Owned: owned}}
}

// loseShard gives a shard up at once: nothing more is started for it, and what runs is stopped.
func (c *Coordinator) loseShard(s *shard, reason string) {
	c.logDecision(s, "shard_lost", reason)
	c.dropJobs(s)
	for _, j := range s.jobs {
		for _, waiter := range j.waiters {
			c.emit(Reply{Waiter: waiter, Answer: InDoubt{Reason: "the entry has lost the job's shard"}})
		}
	}
	s.clear()
}

// dropJobs stops all jobs of a shard.
func (c *Coordinator) dropJobs(s *shard) {
	var ids []string
	for id, j := range s.jobs {
		if !j.written.IsEnd() {
			ids = append(ids, id)
		}
	}
	if len(ids) > 0 {
		c.emit(ToDispatcher{Event: dispatch.DurableDropped{Jobs: ids}})
	}
}

func (c *Coordinator) surrender(e SurrenderRequested) {
	s := c.shards[e.Shard]
	if s.isHeld() && s.token < e.Token {
		c.loseShard(s, "another entry asks for it")
	}
	c.emit(SurrenderReply{Waiter: e.Waiter})
}

// releaseShards gives all shards up for a planned stop: once nothing of them runs, or shortly before the end.
func (c *Coordinator) releaseShards(now time.Time, runs int) {
	if runs > 0 && now.Before(c.shutdownAt) {
		return
	}
	held := 0
	for _, s := range c.shards {
		switch {
		case s.state == owning && !s.releasing:
			s.releasing = true
			c.dropJobs(s)
			s.add(nil, ownedRecord(&durablepb.Owned{Name: c.self.Owner, Address: c.self.Address, Released: runs == 0}))
			held++
		case s.state == owning:
			held++
		case s.isHeld():
			c.loseShard(s, "the entry stops")
		}
	}
	if held == 0 && c.lease.id != 0 {
		c.emit(EndLease{Lease: c.lease.id})
		c.lease.id = 0
	}
}
