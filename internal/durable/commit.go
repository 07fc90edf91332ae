// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"slices"
	"time"

	"sailhead/internal/durable/durablepb"
)

// Changes of several shards are written together in commits (group commit).
//
// Inputs: the queued changes of the owned shards, the number of known entries, Limits.Commits.
//
// Rule: one commit is in flight at a time. Commits are at least entries/CommitsPerSecond seconds apart, so that all entries together
// stay below CommitsPerSecond a second. A commit that the store did not confirm is retried unchanged, with the same sequences, every
// commitRetryInterval until its result is known. If a claim has changed, the store writes nothing: the shards concerned are
// lost, and the changes of the others go into a later commit.
//
// Reason: requests wait for the commit, so it starts as soon as the rate allows, with as many queued changes as fit. An
// unconfirmed commit may have been written: its retry then finds its own batches in the store, which confirms it. A different
// commit with the same sequences would be reported as written although it is not.

const (
	// maxTransactionEntries is the largest number of comparisons and operations in a transaction of the store. A part takes
	// partEntries: the comparisons of the claim and of the batch's key, which must not exist, and the put of the batch. A part
	// that releases its shard takes releaseEntries more, for the removal of the claim. A removed batch takes one.
	maxTransactionEntries = 32
	partEntries           = 3
	releaseEntries        = 1
	// maxRemovedBatches is the largest number of batches that a commit removes.
	maxRemovedBatches = 8
	// commitRetryInterval is the time between retries of an unconfirmed commit: ten times the usual response time of the store.
	commitRetryInterval = 40 * time.Millisecond
)

// inFlightCommit is the commit in flight.
type inFlightCommit struct {
	commit Commit
	// changes holds the changes of each part of the commit.
	changes [][]*change
	// retryAt is when the commit is sent again, or zero while an answer is awaited.
	retryAt time.Time
}

// commitIfDue starts a commit or retries the one in flight.
func (c *Coordinator) commitIfDue(now time.Time) {
	switch {
	case c.commit != nil:
		c.retryCommit(now)
	case now.Sub(c.lastCommit) >= c.commitInterval():
		c.startCommit(now)
	}
}

func (c *Coordinator) retryCommit(now time.Time) {
	if c.commit.retryAt.IsZero() || now.Before(c.commit.retryAt) {
		return
	}
	c.commit.retryAt = time.Time{}
	c.emit(c.commit.commit)
}

// commitInterval is the shortest time between two commits of this entry.
func (c *Coordinator) commitInterval() time.Duration {
	entries := time.Duration(max(len(c.entries), 1))
	commits := time.Duration(max(c.limits.CommitsPerSecond, 1))
	return entries * time.Second / commits
}

// startCommit writes queued changes of as many shards as fit into a transaction.
func (c *Coordinator) startCommit(now time.Time) {
	c.commitNumber++
	inFlight := &inFlightCommit{commit: Commit{Number: c.commitNumber}}
	removals, entries := maxRemovedBatches, maxTransactionEntries-maxRemovedBatches
	for i := range c.shards {
		// Each commit starts with a different shard, so that no shard is starved.
		s := c.shards[(uint64(i)+c.commitNumber)%Shards]
		if s.state != owned || len(s.queue) == 0 || entries < s.nextPartEntries() {
			continue
		}
		entries -= s.nextPartEntries()
		part, changes := s.nextPart(removals)
		removals -= len(part.Remove)
		inFlight.commit.Parts = append(inFlight.commit.Parts, part)
		inFlight.changes = append(inFlight.changes, changes)
	}
	if len(inFlight.commit.Parts) == 0 {
		return
	}
	c.commit, c.lastCommit = inFlight, now
	c.emit(inFlight.commit)
}

// nextPartEntries returns the largest number of transaction entries that the shard's next part takes, without removed batches.
func (s *shard) nextPartEntries() int {
	if s.releasing {
		return partEntries + releaseEntries
	}
	return partEntries
}

// nextPart removes the changes of the next batch from the queue and returns the part of a commit that writes it.
func (s *shard) nextPart(removalBudget int) (Part, []*change) {
	changes := s.nextBatch()
	part := Part{Shard: s.number, Token: s.token, Sequence: s.nextSequence, Data: encodeBatch(recordsOf(changes))}
	s.nextSequence++
	count := min(removalBudget, len(s.removable))
	part.Remove = slices.Clone(s.removable[:count])
	s.removable = s.removable[count:]
	part.ReleasesClaim = s.releasing && len(s.queue) == 0
	return part, changes
}

func recordsOf(changes []*change) []*durablepb.Record {
	records := make([]*durablepb.Record, 0, len(changes))
	for _, ch := range changes {
		records = append(records, ch.record)
	}
	return records
}

func (c *Coordinator) commitAnswered(now time.Time, e Committed) {
	inFlight := c.commit
	if inFlight == nil || inFlight.commit.Number != e.Number {
		return
	}
	switch result := e.Result.(type) {
	case CommitWritten:
		c.commit = nil
		for i, part := range inFlight.commit.Parts {
			c.partWritten(now, part, inFlight.changes[i])
		}
		c.answerStateQueries(now)
	case CommitFenced:
		c.commit = nil
		c.commitRejected(inFlight, result.Shards)
	default:
		inFlight.retryAt = now.Add(commitRetryInterval)
	}
}

// partWritten applies the changes of a written batch, unless the shard was lost in the meantime.
func (c *Coordinator) partWritten(now time.Time, part Part, changes []*change) {
	s := c.shards[part.Shard]
	if !s.isHeldUnder(part.Token) {
		return
	}
	s.batchWritten(part)
	for _, ch := range changes {
		s.apply(now, ch.record, part.Sequence)
		c.changeWritten(ch)
	}
	if part.ReleasesClaim {
		c.logDecision(s, DecisionReleased, "")
		s.clear()
	}
}

// changeWritten carries out what was deferred until a change was written: its effects, the start of an accepted job, and
// answers to requests.
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
		// The waiters are answered once the end of the job is written.
		return
	}
	for _, waiter := range j.waiters {
		c.emit(Reply{Waiter: waiter, Answer: Known{State: j.visibleState()}})
	}
	j.waiters = nil
}

// commitRejected handles a commit that the store rejected because the claims of some shards have changed. Those shards are
// lost; the changes of the others are queued again with the same sequences.
func (c *Coordinator) commitRejected(inFlight *inFlightCommit, lost []Shard) {
	for i, part := range inFlight.commit.Parts {
		s := c.shards[part.Shard]
		switch {
		case !s.isHeldUnder(part.Token):
		case slices.Contains(lost, part.Shard):
			c.loseShard(s, "a commit was fenced by another claim")
		default:
			s.nextSequence = part.Sequence
			s.removable = append(s.removable, part.Remove...)
			s.requeue(inFlight.changes[i])
		}
	}
}
