// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable/durablepb"
)

// ownership is how far a shard is owned here.
type ownership int

const (
	unowned ownership = iota
	// claiming has a claim under way.
	claiming
	// loading has the claim; the shard's batches are being read.
	loading
	// surrendering has read them; the earlier owner is asked to give the shard up.
	surrendering
	owning
)

// shard is one shard as it is known here.
type shard struct {
	number Shard
	state  ownership
	// claim is the claim in the store; nothing if there is none. seen is the revision that told so.
	claim          *Claim
	claimRevision  Token
	claimChangedAt time.Time
	// token is the revision of the claim that is held here, since claimed.
	token   Token
	claimed time.Time
	// lastTry is when a claim or a reading was last begun.
	lastTry time.Time
	// previous is the latest record of an owner, and owned the batch that holds it.
	previous *durablepb.Owned
	owned    Sequence
	next     Sequence
	jobs     map[string]*job
	open     int
	// ended are the jobs that have ended, in the order of their ends.
	ended []*job
	// recordCounts counts the records that each batch still holds; removable are those without any.
	recordCounts map[Sequence]int
	removable    []Sequence
	// live are the batches that are in the store.
	live      map[Sequence]bool
	pending   []*change
	releasing bool
}

// change is a record that is to be written, and what is to be done then.
type change struct {
	record  *durablepb.Record
	job     *job
	effects []Effect
}

func newShard(number Shard) *shard {
	s := &shard{number: number}
	s.clear()
	return s
}

// clear forgets the jobs of a shard that is not owned.
func (s *shard) clear() {
	s.state, s.token, s.releasing = unowned, 0, false
	s.previous, s.owned, s.next = nil, 0, 1
	s.jobs, s.open, s.ended = make(map[string]*job), 0, nil
	s.recordCounts, s.live = make(map[Sequence]int), make(map[Sequence]bool)
	s.removable, s.pending = nil, nil
}

func (s *shard) isHeld() bool   { return s.state >= loading }
func (s *shard) isLoaded() bool { return s.state >= surrendering }

// add queues a change. What a job still has queued is replaced: its newest record tells all.
func (s *shard) add(j *job, record *durablepb.Record, effects ...Effect) {
	if j != nil && j.queued != nil && j.queued.record.GetAccepted() == nil {
		j.queued.record = record
		j.queued.effects = append(j.queued.effects, effects...)
		return
	}
	ch := &change{record: record, job: j, effects: effects}
	s.pending = append(s.pending, ch)
	if j != nil {
		j.queued = ch
		j.unwritten++
	}
}

// maxBatch is the largest size of a batch, in bytes, but for one that is a single larger record.
const maxBatch = 256 << 10

// nextBatch takes the changes of the next batch.
func (s *shard) nextBatch() []*change {
	size, count := 0, 0
	for _, ch := range s.pending {
		size += proto.Size(ch.record)
		if count > 0 && size > maxBatch {
			break
		}
		count++
		if ch.job != nil && ch.job.queued == ch {
			ch.job.queued = nil
		}
	}
	taken := s.pending[:count:count]
	s.pending = s.pending[count:]
	return taken
}

func (s *shard) ref(at Sequence) { s.recordCounts[at]++ }

// unref drops a record of a batch; 0 is none.
func (s *shard) unref(at Sequence) {
	if at == 0 {
		return
	}
	if s.recordCounts[at]--; s.recordCounts[at] <= 0 {
		delete(s.recordCounts, at)
		s.removable = append(s.removable, at)
	}
}

// apply takes in a record that is written in a batch, and returns its job.
func (s *shard) apply(now time.Time, record *durablepb.Record, at Sequence) *job {
	switch r := record.Record.(type) {
	case *durablepb.Record_Owned:
		s.ref(at)
		s.unref(s.owned)
		s.owned, s.previous = at, r.Owned
	case *durablepb.Record_Accepted:
		j, ok := s.jobs[r.Accepted.Id]
		if !ok {
			j = newJob(UnpackJob(r.Accepted))
			s.jobs[j.id] = j
			s.open++
		}
		s.ref(at)
		j.accepted, j.written = at, max(j.written, StateQueued)
		return j
	case *durablepb.Record_Progress:
		if j, ok := s.jobs[r.Progress.Id]; ok {
			s.ref(at)
			s.unref(j.progress)
			j.progress = at
			return j
		}
	case *durablepb.Record_Ended:
		j, ok := s.jobs[r.Ended.Id]
		if !ok {
			// The batch that held its acceptance is removed already.
			j = newJob(dispatch.Job{ID: r.Ended.Id})
			s.jobs[j.id] = j
			s.open++
		}
		s.end(now, j, stateFromPB(r.Ended.State), at)
		return j
	}
	return nil
}

// end takes in the written end of a job.
func (s *shard) end(now time.Time, j *job, state State, at Sequence) {
	s.ref(at)
	s.unref(j.accepted)
	s.unref(j.progress)
	s.unref(j.ended)
	if j.accepted != 0 {
		j.first = j.accepted
	}
	j.accepted, j.progress, j.ended = 0, 0, at
	if !j.written.IsEnd() {
		s.open--
		s.ended = append(s.ended, j)
	}
	j.state, j.written = state, state
	j.releaseMemory(now)
}

// restore takes in the batches that an earlier owner has written.
func (s *shard) restore(now time.Time, batches []StoredBatch) error {
	for _, batch := range batches {
		s.live[batch.Sequence] = true
		records, err := decodeBatch(batch.Data)
		if err != nil {
			return err
		}
		for _, record := range records {
			j := s.apply(now, record, batch.Sequence)
			if progress := record.GetProgress(); progress != nil && j != nil && !j.written.IsEnd() {
				j.restoreProgress(progress)
			}
		}
		s.next = max(s.next, batch.Sequence+1)
		if s.recordCounts[batch.Sequence] == 0 {
			s.removable = append(s.removable, batch.Sequence)
		}
	}
	return nil
}

func (j *job) restoreProgress(progress *durablepb.Progress) {
	j.done = make(map[uint32]bool)
	for _, task := range progress.Done {
		j.done[task] = true
	}
	j.failed = progress.Failed
	j.begun = true
}

// forgetEnded forgets the jobs that ended long ago. The record of an end stays as long as that of the acceptance, which
// would bring the job back.
func (s *shard) forgetEnded(before time.Time) {
	for len(s.ended) > 0 && s.ended[0].endedAt.Before(before) && !s.live[s.ended[0].first] {
		j := s.ended[0]
		s.ended = s.ended[1:]
		s.unref(j.ended)
		delete(s.jobs, j.id)
	}
}
