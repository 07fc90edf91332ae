// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"sailhead/internal/durable/durablepb"
)

// maxBatchSize is the largest size of a batch in bytes. A single larger record is written in a batch of its own.
const maxBatchSize = 256 << 10

// change is a record to be written, with the effects that are emitted once it is written.
type change struct {
	record *durablepb.Record
	// job is the job that the record belongs to, or nil.
	job     *job
	effects []Effect
}

// enqueue queues a change. It replaces a queued change of the same job, because the newest record of a job holds all of its
// progress. A queued acceptance is not replaced.
func (s *shard) enqueue(j *job, record *durablepb.Record, effects ...Effect) {
	if j != nil && j.queuedChange != nil && j.queuedChange.record.GetAccepted() == nil {
		j.queuedChange.record = record
		j.queuedChange.effects = append(j.queuedChange.effects, effects...)
		return
	}
	ch := &change{record: record, job: j, effects: effects}
	s.queue = append(s.queue, ch)
	if j != nil {
		j.queuedChange = ch
		j.unwritten++
	}
}

// nextBatch removes the changes of the next batch from the queue and returns them.
func (s *shard) nextBatch() []*change {
	size, count := 0, 0
	for _, ch := range s.queue {
		size += proto.Size(ch.record)
		if count > 0 && size > maxBatchSize {
			break
		}
		count++
		if ch.job != nil && ch.job.queuedChange == ch {
			ch.job.queuedChange = nil
		}
	}
	taken := s.queue[:count:count]
	s.queue = s.queue[count:]
	return taken
}

// requeue puts the changes of a rejected commit back at the head of the queue, so that the records of a job keep their order.
func (s *shard) requeue(changes []*change) {
	s.queue = append(slices.Clone(changes), s.queue...)
}

// batchWritten updates the set of stored batches after a part was written.
func (s *shard) batchWritten(part Part) {
	s.stored[part.Sequence] = true
	for _, removed := range part.Remove {
		delete(s.stored, removed)
	}
}

// retainBatch increments the number of live records in a batch.
func (s *shard) retainBatch(batch Sequence) { s.recordCounts[batch]++ }

// releaseBatch decrements the number of live records in a batch, and makes the batch removable if none is left. Sequence 0 is
// ignored.
func (s *shard) releaseBatch(batch Sequence) {
	if batch == 0 {
		return
	}
	s.recordCounts[batch]--
	if s.recordCounts[batch] <= 0 {
		delete(s.recordCounts, batch)
		s.removable = append(s.removable, batch)
	}
}
