// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable/durablepb"
)

// shardState is the progress of this entry towards owning a shard. The order matters: see isHeld and isLoaded.
type shardState int

const (
	// unowned: this entry neither owns the shard nor is acquiring it.
	unowned shardState = iota
	// claiming: a claim is in flight.
	claiming
	// loading: the claim is written, and the batches are being read.
	loading
	// awaitingSurrender: the batches are read, and the previous owner has been asked to stop serving the shard.
	awaitingSurrender
	// owned: the shard is served here.
	owned
)

// shard is the state of a shard at this entry. The fields from token on are reset while the shard is not held.
type shard struct {
	number Shard
	state  shardState
	// claim is the claim in the store, or nil if there is none. claimRevision is the store revision of this information, and
	// claimChangedAt is when this entry received it.
	claim          *Claim
	claimRevision  Token
	claimChangedAt time.Time
	// claimedAt is when this entry last claimed the shard, and lastAttempt is when a claim or a read was last started.
	claimedAt   time.Time
	lastAttempt time.Time
	// token is the revision of the claim that is held here.
	token Token
	// releasing is set once the record of the release at shutdown is queued.
	releasing bool
	// lastOwner is the newest Owned record, or nil, and lastOwnerBatch is the batch that holds it.
	lastOwner      *durablepb.Owned
	lastOwnerBatch Sequence
	jobs           map[string]*job
	// unfinished counts the jobs whose end is not written.
	unfinished int
	// ended lists the jobs whose end is written, in the order of their ends.
	ended []*job
	ends  storedEndsReading
	// queue holds the changes that are in no commit yet, and nextSequence is the sequence of the next batch.
	queue        []*change
	nextSequence Sequence
	// stored is the set of batches in the store. recordCounts holds the number of live records of each batch, and removable
	// lists the batches without live records. A record is live until a later record replaces it.
	stored       map[Sequence]bool
	recordCounts map[Sequence]int
	removable    []Sequence
}

func newShard(number Shard) *shard {
	s := &shard{number: number}
	s.clear()
	return s
}

// clear resets everything except what is known of the claim in the store.
func (s *shard) clear() {
	s.state, s.token, s.releasing = unowned, 0, false
	s.lastOwner, s.lastOwnerBatch = nil, 0
	s.jobs, s.unfinished, s.ended = make(map[string]*job), 0, nil
	s.ends = storedEndsReading{}
	s.queue, s.nextSequence = nil, 1
	s.stored, s.recordCounts, s.removable = make(map[Sequence]bool), make(map[Sequence]int), nil
}

// isHeld reports whether this entry believes that it holds the shard's claim.
func (s *shard) isHeld() bool { return s.state >= loading }

// isHeldUnder reports whether the shard is held under the given token.
func (s *shard) isHeldUnder(token Token) bool { return s.isHeld() && s.token == token }

// isLoaded reports whether the shard's jobs are known.
func (s *shard) isLoaded() bool { return s.state >= awaitingSurrender }

// isServed reports whether the shard accepts jobs.
func (s *shard) isServed() bool { return s.state == owned && !s.releasing }

// setClaim records the claim in the store as of a revision; nil means that there is none.
func (s *shard) setClaim(now time.Time, revision Token, claim *Claim) {
	s.claim, s.claimRevision, s.claimChangedAt = claim, revision, now
}

// restore applies the batches that previous owners have written.
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

// apply updates the shard with a stored record, and returns the job of the record or nil.
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
		// The batch with the acceptance of the job has been removed. The end is kept because callers may still query the job.
		j = newJob(dispatch.Job{ID: record.Id})
		s.addJob(j)
	}
	// The state is known: decodeBatch checks the records that are read, and this version writes only states that it knows.
	state, _ := stateFromPB(record.State)
	s.endJob(now, j, state, batch)
	return j
}

func (s *shard) addJob(j *job) {
	s.jobs[j.id] = j
	s.unfinished++
}

// endJob records the written end of a job, which replaces the earlier records of the job.
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

// evictEnded removes jobs that ended before a time. The record of an end stays live while the batch with the acceptance of the
// job is in the store, because a restore from the acceptance alone would run the job again.
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
