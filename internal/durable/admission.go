// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"sailhead/internal/dispatch"
	"sailhead/internal/durable/durablepb"
)

// A job is accepted or cancelled by the owner of its shard.
//
// Inputs: the job's id, the jobs of its shard, Limits.Jobs.
//
// Rule: a known job is not accepted again; the submission is answered with its state. A new job is refused if the number of
// unfinished jobs of the shard has reached its part of Limits.Jobs. Callers are answered once the change is written.
//
// Reason: the limit bounds the memory. Each shard has an equal part of it, so that admission does not depend on which other
// shards the entry owns.

func (c *Coordinator) maxJobsPerShard() int { return c.limits.Jobs / Shards }

// submit accepts a job and answers once the acceptance is written.
func (c *Coordinator) submit(e Submitted) {
	s := c.shards[ShardOf(e.Job.ID)]
	j, ok := s.jobs[e.Job.ID]
	switch {
	case !s.isServed():
		c.emit(Reply{Waiter: e.Waiter, Answer: NotOwner{}})
	case ok && j.storedState != 0:
		c.emit(Reply{Waiter: e.Waiter, Answer: Known{State: j.visibleState()}})
	case ok:
		j.waiters = append(j.waiters, e.Waiter)
	case s.unfinished >= c.maxJobsPerShard():
		c.emit(Reply{Waiter: e.Waiter, Answer: Refused{Reason: "too many kept jobs are under way"}})
	default:
		c.accept(s, e)
	}
}

func (c *Coordinator) accept(s *shard, e Submitted) {
	j := newJob(e.Job)
	j.waiters = []Waiter{e.Waiter}
	s.addJob(j)
	s.enqueue(j, &durablepb.Record{Record: &durablepb.Record_Accepted{Accepted: PackJob(e.Job)}})
}

// cancel cancels a job and answers once the cancellation is written. A job that has ended keeps its state.
func (c *Coordinator) cancel(e CancelRequested) {
	s := c.shards[ShardOf(e.Job)]
	j, ok := s.jobs[e.Job]
	switch {
	case !s.isServed():
		c.emit(Reply{Waiter: e.Waiter, Answer: NotOwner{}})
	case !ok:
		c.emit(Reply{Waiter: e.Waiter, Answer: Unknown{}})
	case j.state.IsEnd() && j.unwritten == 0:
		c.emit(Reply{Waiter: e.Waiter, Answer: Known{State: j.storedState}})
	case j.state.IsEnd():
		j.waiters = append(j.waiters, e.Waiter)
	default:
		j.state = StateCancelled
		j.waiters = append(j.waiters, e.Waiter)
		s.enqueue(j, j.record())
		c.emit(ToDispatcher{Event: dispatch.DurableDropped{Jobs: []string{j.id}}})
	}
}
