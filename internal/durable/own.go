// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable/durablepb"
)

func (k *Keeper) load(now time.Time, s *shard) {
	s.state, s.tried = loading, now
	k.emit(Load{Shard: s.number, Token: s.token})
}

func (k *Keeper) loaded(now time.Time, e Loaded) {
	s := k.shards[e.Shard]
	if s.state != loading || s.token != e.Token || e.Err != nil {
		return
	}
	if err := s.restore(now, e.Batches); err != nil {
		// What cannot be read is not given up: the shard stays as it is until a process can read it.
		token := s.token
		s.clear()
		s.state, s.token = loading, token
		k.note(s, "shard_unreadable", err.Error())
		return
	}
	switch previous := s.previous; {
	case previous == nil || previous.Released:
		k.own(s, time.Time{})
	case previous.Name == k.self.Owner && previous.Address == k.self.Address:
		// The earlier process is gone: this one has its addresses.
		k.own(s, now.Add(restoreWait))
	default:
		s.state = asking
		k.emit(CallSurrender{Shard: s.number, Token: s.token, Address: previous.Address})
	}
}

// surrendered goes on once the earlier owner has given the shard up, or must have: its lease has run out.
func (k *Keeper) surrendered(now time.Time, e Surrendered) {
	s := k.shards[e.Shard]
	if s.state != asking || s.token != e.Token {
		return
	}
	stopped := now
	if !e.IsSure {
		stopped = s.claimed.Add(k.limits.LeaseTime)
	}
	k.own(s, stopped.Add(restoreWait))
}

// own begins to serve a shard.
func (k *Keeper) own(s *shard, notBefore time.Time) {
	s.state = owning
	s.add(nil, ownedRecord(&durablepb.Owned{Name: k.self.Owner, Address: k.self.Address}))
	for _, j := range s.jobs {
		if !j.written.IsEnd() {
			k.emit(ToDispatcher{Event: j.kept(notBefore)})
		}
	}
	k.note(s, "shard_owned", "")
}

func ownedRecord(owned *durablepb.Owned) *durablepb.Record {
	return &durablepb.Record{Record: &durablepb.Record_Owned{Owned: owned}}
}

// lose gives a shard up at once: nothing more is started for it, and what runs is stopped.
func (k *Keeper) lose(s *shard, reason string) {
	k.note(s, "shard_lost", reason)
	k.abandon(s)
	for _, j := range s.jobs {
		for _, waiter := range j.waiters {
			k.emit(Reply{Waiter: waiter, Answer: InDoubt{Reason: "the entry has lost the job's shard"}})
		}
	}
	s.clear()
}

// abandon stops all jobs of a shard.
func (k *Keeper) abandon(s *shard) {
	var ids []string
	for id, j := range s.jobs {
		if !j.written.IsEnd() {
			ids = append(ids, id)
		}
	}
	if len(ids) > 0 {
		k.emit(ToDispatcher{Event: dispatch.Dropped{Jobs: ids}})
	}
}

func (k *Keeper) surrender(e SurrenderAsked) {
	s := k.shards[e.Shard]
	if s.isHeld() && s.token < e.Token {
		k.lose(s, "another entry asks for it")
	}
	e.Done()
}

// release gives all shards up for a planned stop: once nothing of them runs, or shortly before the end.
func (k *Keeper) release(now time.Time, runs int) {
	if runs > 0 && now.Before(k.leaving) {
		return
	}
	held := 0
	for _, s := range k.shards {
		switch {
		case s.state == owning && !s.releasing:
			s.releasing = true
			k.abandon(s)
			s.add(nil, ownedRecord(&durablepb.Owned{Name: k.self.Owner, Address: k.self.Address, Released: runs == 0}))
			held++
		case s.state == owning:
			held++
		case s.isHeld():
			k.lose(s, "the entry stops")
		}
	}
	if held == 0 && k.lease.id != 0 {
		k.emit(EndLease{Lease: k.lease.id})
		k.lease.id = 0
	}
}
