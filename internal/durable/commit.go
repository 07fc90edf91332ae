// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"slices"
	"time"

	"sailhead/internal/durable/durablepb"
)

const (
	// maxParts is the largest number of shards of one commit, and maxRemovals of batches that it removes: a write to the
	// store has 32 entries, of which a part takes three and a removal one.
	maxParts    = 7
	maxRemovals = 8
	// unknownPause lies between two tries of a commit that was not answered.
	unknownPause = 40 * time.Millisecond
)

// openCommit is the commit under way. There is one at a time, and it is tried until it is known to be written or not.
type openCommit struct {
	commit  Commit
	changes [][]*change
	// retryAt is when it is tried again; nothing while an answer is awaited.
	retryAt time.Time
}

// commitDue begins a commit, or tries it again.
func (k *Keeper) commitDue(now time.Time) {
	if k.commit != nil {
		if !k.commit.retryAt.IsZero() && !now.Before(k.commit.retryAt) {
			k.commit.retryAt = time.Time{}
			k.emit(k.commit.commit)
		}
		return
	}
	if now.Sub(k.committed) >= k.commitPause() {
		k.beginCommit(now)
	}
}

// commitPause is the shortest time between two commits here: the entries share what they may make.
func (k *Keeper) commitPause() time.Duration {
	return time.Duration(max(len(k.entries), 1)) * time.Second / time.Duration(max(k.limits.Commits, 1))
}

func (k *Keeper) beginCommit(now time.Time) {
	k.number++
	open := &openCommit{commit: Commit{Number: k.number}}
	removals := maxRemovals
	for i := range k.shards {
		// Begin with another shard each time, so that none waits for the others for ever.
		s := k.shards[(uint64(i)+k.number)%Shards]
		if s.state != owning || len(s.pending) == 0 || len(open.commit.Parts) >= maxParts {
			continue
		}
		changes := s.takePending()
		part := Part{Shard: s.number, Token: s.token, Sequence: s.next, Data: encodeBatch(recordsOf(changes))}
		s.next++
		count := min(removals, len(s.removable))
		part.Remove = slices.Clone(s.removable[:count])
		s.removable = s.removable[count:]
		removals -= count
		part.Releases = s.releasing && len(s.pending) == 0
		open.commit.Parts = append(open.commit.Parts, part)
		open.changes = append(open.changes, changes)
	}
	if len(open.commit.Parts) == 0 {
		return
	}
	k.commit, k.committed = open, now
	k.emit(open.commit)
}

func recordsOf(changes []*change) []*durablepb.Record {
	records := make([]*durablepb.Record, 0, len(changes))
	for _, c := range changes {
		records = append(records, c.record)
	}
	return records
}

func (k *Keeper) commitAnswered(now time.Time, e Committed) {
	open := k.commit
	if open == nil || open.commit.Number != e.Number {
		return
	}
	switch result := e.Result.(type) {
	case CommitDone:
		k.commit = nil
		for i, part := range open.commit.Parts {
			k.partWritten(now, part, open.changes[i])
		}
		k.answerLooks(now)
	case CommitDeposed:
		k.commit = nil
		k.deposed(open, result.Shards)
	default:
		open.retryAt = now.Add(unknownPause)
	}
}

// partWritten takes in that a batch is written.
func (k *Keeper) partWritten(now time.Time, part Part, changes []*change) {
	s := k.shards[part.Shard]
	if s.token != part.Token || !s.isHeld() {
		return
	}
	s.live[part.Sequence] = true
	for _, removed := range part.Remove {
		delete(s.live, removed)
	}
	for _, c := range changes {
		s.apply(now, c.record, part.Sequence)
		k.changeWritten(c)
	}
	if part.Releases {
		k.note(s, "shard_released", "")
		s.clear()
	}
}

func (k *Keeper) changeWritten(c *change) {
	for _, effect := range c.effects {
		k.emit(effect)
	}
	j := c.job
	if j == nil {
		return
	}
	j.unwritten--
	if c.record.GetAccepted() != nil && !j.state.IsEnd() {
		k.emit(ToDispatcher{Event: j.kept(time.Time{})})
	}
	if j.state.IsEnd() && j.unwritten > 0 {
		return
	}
	for _, waiter := range j.waiters {
		k.emit(Reply{Waiter: waiter, Answer: Known{State: j.shown()}})
	}
	j.waiters = nil
}

// deposed takes in that nothing of a commit is written since shards were lost: they are given up, and what the others
// had to write waits for the next commit, under the same numbers.
func (k *Keeper) deposed(open *openCommit, lost []Shard) {
	for i, part := range open.commit.Parts {
		s := k.shards[part.Shard]
		switch {
		case s.token != part.Token || !s.isHeld():
		case slices.Contains(lost, part.Shard):
			k.lose(s, "the store holds another claim")
		default:
			s.next = part.Sequence
			s.removable = append(s.removable, part.Remove...)
			s.requeue(open.changes[i])
		}
	}
}

// requeue puts changes back before those that came since. A job's later change stays behind its earlier one.
func (s *shard) requeue(changes []*change) {
	s.pending = append(slices.Clone(changes), s.pending...)
}
