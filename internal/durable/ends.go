// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"sailhead/internal/dispatch"
	"sailhead/internal/runner"
)

// The agent and the worker of a durable run retain its end until an entry acknowledges it.
//
// Inputs: the agent's report, the state of the job here, whether the record that holds the end is written.
//
// Rule: an end is acknowledged
//
//	at once                      if the shard is loaded and the job is unknown or its final state is written; or if the end
//	                             changes nothing and no change of the job is unwritten
//	with the write of its record otherwise
//	after a read of the store    while this entry knows of no durable job (nojobs.go)
//	not at all                   while the shard is not loaded here, or if the end changes nothing and its record is in the
//	                             commit in flight. The agent resends it every timing.EndResendInterval to all entries, so
//	                             that the shard's owner receives it eventually.
//
// Reason: an end that is acknowledged before it is written would be lost if this process failed, and the completed task would
// run again. This is checked by a model: verification of spec/durable.pml fails without the rule WRITTEN.

// taskEnded records the end of a run and acknowledges it once it is written.
func (c *Coordinator) taskEnded(e TaskEnded) {
	id := runner.JobOf(e.Update.Name)
	s := c.shards[ShardOf(id)]
	acknowledgement := AcknowledgeEnd{Agent: e.Agent, Name: e.Update.Name, Run: e.Update.Run}
	j, ok := s.jobs[id]
	switch {
	case !c.active:
		c.endsBeforeJobs.waiting = append(c.endsBeforeJobs.waiting, acknowledgement)
	case !s.isLoaded():
		// The owner of the shard acknowledges the end, or this entry does after the agent has resent it.
	case !ok || j.storedState.IsEnd():
		c.emit(acknowledgement)
	case j.state.IsEnd():
		c.acknowledgeWithRecord(j, acknowledgement)
	default:
		c.recordEnd(s, j, e, acknowledgement)
	}
}

// recordEnd queues the record of an end that changes a job. While the previous owner's surrender is awaited, the record stays
// in the queue, because only owned shards are written.
func (c *Coordinator) recordEnd(s *shard, j *job, e TaskEnded, acknowledgement AcknowledgeEnd) {
	task, ok := j.taskNumber(e.Update.Name)
	if !ok {
		c.emit(acknowledgement)
		return
	}
	isNew := j.applyEnd(task, e)
	if isNew {
		s.enqueue(j, j.record(), acknowledgement)
	} else {
		c.acknowledgeWithRecord(j, acknowledgement)
	}
	c.tellDispatcher(j, task, e, isNew)
}

// tellDispatcher passes to the dispatcher what is recorded of a task after the end of a run.
//
// Inputs: whether the end is new, and whether the dispatcher reported it.
//
// Rule: the dispatcher is told to drop a job that has failed. Otherwise it is told of each new end that it did not report, and of each failed run
// that it reported, new or not: it starts the task again only then.
//
// Reason: an agent reports an end to the dispatcher and repeats it to the coordinator, which may handle the repeat first. If both counted failed
// runs, they would count such a run twice in all, and one of them would end the job while the other waits for its next run.
func (c *Coordinator) tellDispatcher(j *job, task uint32, e TaskEnded, isNew bool) {
	isAwaited := !e.Update.Unacknowledged && e.Update.Outcome == runner.OutcomeFailed
	isNews := isNew && e.Update.Unacknowledged
	switch {
	case j.state == StateFailed:
		c.emit(ToDispatcher{Event: dispatch.DurableDropped{Jobs: []string{j.id}}})
	case isAwaited || isNews:
		c.emit(ToDispatcher{Event: dispatch.DurableTaskEnded{Task: e.Update.Name, Failed: !j.done[task], Failures: j.failures(task)}})
	}
}

// acknowledgeWithRecord acknowledges an end that is already recorded: at once if all changes of the job are written, or with
// its queued record. If the record is in the commit in flight, the end is not acknowledged and the agent resends it.
func (c *Coordinator) acknowledgeWithRecord(j *job, acknowledgement AcknowledgeEnd) {
	switch {
	case j.unwritten == 0:
		c.emit(acknowledgement)
	case j.queuedChange != nil:
		j.queuedChange.effects = append(j.queuedChange.effects, acknowledgement)
	}
}

// jobStarted records that a job runs. This is not stored: a new owner reports the job as queued until a task has ended.
func (c *Coordinator) jobStarted(e JobStarted) {
	if j, ok := c.shards[ShardOf(e.Job)].jobs[e.Job]; ok {
		j.started = true
	}
}

// failJob records that a job has failed. A job of a shard that is no longer held here is left to its owner, which is also
// notified of the crashes.
func (c *Coordinator) failJob(e JobGivenUp) {
	s := c.shards[ShardOf(e.Job)]
	j, ok := s.jobs[e.Job]
	if !ok || j.state.IsEnd() {
		return
	}
	j.state = StateFailed
	s.enqueue(j, j.record())
}
