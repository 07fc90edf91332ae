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
func (c *Coordinator) commitDue(now time.Time) {
	if c.commit != nil {
		if !c.commit.retryAt.IsZero() && !now.Before(c.commit.retryAt) {
			c.commit.retryAt = time.Time{}
			c.emit(c.commit.commit)
		}
		return
	}
	if now.Sub(c.lastCommit) >= c.commitPause() {
		c.beginCommit(now)
	}
}

// commitPause is the shortest time between two commits here: the entries share what they may make.
func (c *Coordinator) commitPause() time.Duration {
	return time.Duration(max(len(c.entries), 1)) * time.Second / time.Duration(max(c.limits.Commits, 1))
}

func (c *Coordinator) beginCommit(now time.Time) {
	c.number++
	open := &openCommit{commit: Commit{Number: c.number}}
	removals := maxRemovals
	for i := range c.shards {
		// Begin with another shard each time, so that none waits for the others for ever.
		s := c.shards[(uint64(i)+c.number)%Shards]
		if s.state != owning || len(s.pending) == 0 || len(open.commit.Parts) >= maxParts {
			continue
		}
		changes := s.nextBatch()
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
	c.commit, c.lastCommit = open, now
	c.emit(open.commit)
}

func recordsOf(changes []*change) []*durablepb.Record {
	records := make([]*durablepb.Record, 0, len(changes))
	for _, ch := range changes {
		records = append(records, ch.record)
	}
	return records
}

func (c *Coordinator) commitAnswered(now time.Time, e Committed) {
	open := c.commit
	if open == nil || open.commit.Number != e.Number {
		return
	}
	switch result := e.Result.(type) {
	case CommitDone:
		c.commit = nil
		for i, part := range open.commit.Parts {
			c.partWritten(now, part, open.changes[i])
		}
		c.answerStateQueries(now)
	case CommitDeposed:
		c.commit = nil
		c.deposed(open, result.Shards)
	default:
		open.retryAt = now.Add(unknownPause)
	}
}

// partWritten takes in that a batch is written.
func (c *Coordinator) partWritten(now time.Time, part Part, changes []*change) {
	s := c.shards[part.Shard]
	if s.token != part.Token || !s.isHeld() {
		return
	}
	s.live[part.Sequence] = true
	for _, removed := range part.Remove {
		delete(s.live, removed)
	}
	for _, ch := range changes {
		s.apply(now, ch.record, part.Sequence)
		c.changeWritten(ch)
	}
	if part.Releases {
		c.logDecision(s, "shard_released", "")
		s.clear()
	}
}

func (c *Coordinator) changeWritten(ch *change) {
	for _, effect := range ch.effects {
		c.emit(effect)
	}
	j := ch.job
	if j == nil {
		return
	}
	j.unwritten--
	if ch.record.GetAccepted() != nil && !j.state.IsEnd() {
		c.emit(ToDispatcher{Event: j.forDispatcher(time.Time{})})
	}
	if j.state.IsEnd() && j.unwritten > 0 {
		return
	}
	for _, waiter := range j.waiters {
		c.emit(Reply{Waiter: waiter, Answer: Known{State: j.visibleState()}})
	}
	j.waiters = nil
}

// deposed takes in that nothing of a commit is written since shards were lost: they are given up, and what the others
// had to write waits for the next commit, under the same numbers.
func (c *Coordinator) deposed(open *openCommit, lost []Shard) {
	for i, part := range open.commit.Parts {
		s := c.shards[part.Shard]
		switch {
		case s.token != part.Token || !s.isHeld():
		case slices.Contains(lost, part.Shard):
			c.loseShard(s, "the store holds another claim")
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
