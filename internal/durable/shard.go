// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable/durablepb"
)

// shardState is how far this entry has come to owning a shard. The order matters: see isHeld and isLoaded.
type shardState int

const (
	// unowned: nothing is under way here.
	unowned shardState = iota
	// claiming: a claim is in flight.
	claiming
	// loading: the claim is written, and the batches are being read.
	loading
	// awaitingSurrender: the batches are read, and the earlier owner is asked to stop serving the shard.
	awaitingSurrender
	// owned: the shard is served here.
	owned
)

// shard is what this entry knows of a shard. The fields from token on are zero while it is not held.
type shard struct {
	number Shard
	state  shardState
	// claim is the claim in the store, or nil if there is none. claimRevision is the store's revision that this is known
	// from, and claimChangedAt is when it became known.
	claim          *Claim
	claimRevision  Token
	claimChangedAt time.Time
	// claimedAt is when the shard was last claimed here, and lastTry when a claim or a read was last started.
	claimedAt   time.Time
	lastAttempt time.Time
	// token is the revision of the claim that is held here.
	token Token
	// releasing is set once the release at shutdown is queued.
	releasing bool
	// lastOwner is the newest Owned record, or nil, and lastOwnerBatch the batch that holds it.
	lastOwner      *durablepb.Owned
	lastOwnerBatch Sequence
	jobs           map[string]*job
	// unfinished counts the jobs whose end is not written.
	unfinished int
	// ended are the jobs whose end is written, in the order of their ends.
	ended []*job
	// queue holds the changes that no commit has taken yet, and nextSequence is the sequence of the next batch.
	queue        []*change
	nextSequence Sequence
	// stored are the batches in the store. recordCounts has the number of records of use in each, and removable those
	// without any.
	stored       map[Sequence]bool
	recordCounts map[Sequence]int
	removable    []Sequence
}

func newShard(number Shard) *shard {
	s := &shard{number: number}
	s.clear()
	return s
}

// clear forgets everything of a shard but its claim in the store.
func (s *shard) clear() {
	s.state, s.token, s.releasing = unowned, 0, false
	s.lastOwner, s.lastOwnerBatch = nil, 0
	s.jobs, s.unfinished, s.ended = make(map[string]*job), 0, nil
	s.queue, s.nextSequence = nil, 1
	s.stored, s.recordCounts, s.removable = make(map[Sequence]bool), make(map[Sequence]int), nil
}

// isHeld reports whether this entry holds the shard's claim, as far as it knows.
func (s *shard) isHeld() bool { return s.state >= loading }

// isHeldUnder reports whether the shard is held under a token.
func (s *shard) isHeldUnder(token Token) bool { return s.isHeld() && s.token == token }

// isLoaded reports whether the shard's jobs are known.
func (s *shard) isLoaded() bool { return s.state >= awaitingSurrender }

// isServed reports whether the shard takes jobs.
func (s *shard) isServed() bool { return s.state == owned && !s.releasing }

// setClaim records the claim in the store as of a revision; nil is none.
func (s *shard) setClaim(now time.Time, revision Token, claim *Claim) {
	s.claim, s.claimRevision, s.claimChangedAt = claim, revision, now
}

// restore applies the batches that earlier owners have written.
func (s *shard) restore(now time.Time, batches []StoredBatch) error {
	for _, batch := range batches {
		s.stored[batch.Sequence] = true
		records, err := decodeBatch(batch.Data)
		if err != nil {
			return err
		}
		for _, record := range records {
			s.restoreRecord(now, record, batch.Sequence)
		}
		s.nextSequence = max(s.nextSequence, batch.Sequence+1)
		if s.recordCounts[batch.Sequence] == 0 {
			s.removable = append(s.removable, batch.Sequence)
		}
	}
	return nil
}

func (s *shard) restoreRecord(now time.Time, record *durablepb.Record, batch Sequence) {
	j := s.apply(now, record, batch)
	if progress := record.GetProgress(); progress != nil && j != nil && !j.storedState.IsEnd() {
		j.restoreProgress(progress)
	}
}

// apply updates the shard by a record that is in the store, and returns the record's job or nil.
func (s *shard) apply(now time.Time, record *durablepb.Record, batch Sequence) *job {
	switch r := record.Record.(type) {
	case *durablepb.Record_Owned:
		s.applyOwned(r.Owned, batch)
		return nil
	case *durablepb.Record_Accepted:
		return s.applyAccepted(r.Accepted, batch)
	case *durablepb.Record_Progress:
		return s.applyProgress(r.Progress, batch)
	case *durablepb.Record_Ended:
		return s.applyEnded(now, r.Ended, batch)
	default:
		return nil
	}
}

func (s *shard) applyOwned(record *durablepb.Owned, batch Sequence) {
	s.retainBatch(batch)
	s.releaseBatch(s.lastOwnerBatch)
	s.lastOwner, s.lastOwnerBatch = record, batch
}

func (s *shard) applyAccepted(record *durablepb.Job, batch Sequence) *job {
	j, ok := s.jobs[record.Id]
	if !ok {
		j = newJob(UnpackJob(record))
		s.addJob(j)
	}
	s.retainBatch(batch)
	j.acceptedBatch = batch
	j.storedState = max(j.storedState, StateQueued)
	return j
}

func (s *shard) applyProgress(record *durablepb.Progress, batch Sequence) *job {
	j, ok := s.jobs[record.Id]
	if !ok {
		return nil
	}
	s.retainBatch(batch)
	s.releaseBatch(j.progressBatch)
	j.progressBatch = batch
	return j
}

func (s *shard) applyEnded(now time.Time, record *durablepb.Ended, batch Sequence) *job {
	j, ok := s.jobs[record.Id]
	if !ok {
		// The batch that held the job's acceptance is removed already. Its end must be known still: callers ask for the job.
		j = newJob(dispatch.Job{ID: record.Id})
		s.addJob(j)
	}
	// Records that are read are checked first (decodeBatch), and this version writes only states that it knows.
	state, _ := stateFromPB(record.State)
	s.endJob(now, j, state, batch)
	return j
}

func (s *shard) addJob(j *job) {
	s.jobs[j.id] = j
	s.unfinished++
}

// endJob records the written end of a job. Its earlier records are of no use any more.
func (s *shard) endJob(now time.Time, j *job, state State, batch Sequence) {
	s.retainBatch(batch)
	s.releaseBatch(j.acceptedBatch)
	s.releaseBatch(j.progressBatch)
	s.releaseBatch(j.endedBatch)
	if j.acceptedBatch != 0 {
		j.originBatch = j.acceptedBatch
	}
	j.acceptedBatch, j.progressBatch, j.endedBatch = 0, 0, batch
	if !j.storedState.IsEnd() {
		s.unfinished--
		s.ended = append(s.ended, j)
	}
	j.state, j.storedState = state, state
	j.releaseMemory(now)
}

// evictEnded forgets the jobs that ended before a time. The record of an end is of use while the batch with the job's
// acceptance is in the store: without it, the acceptance would bring the job back.
func (s *shard) evictEnded(before time.Time) {
	for len(s.ended) > 0 {
		j := s.ended[0]
		if !j.endedAt.Before(before) || s.stored[j.originBatch] {
			return
		}
		s.ended = s.ended[1:]
		s.releaseBatch(j.endedBatch)
		delete(s.jobs, j.id)
	}
}
