// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"slices"
	"time"
)

// State queries use long polling: a query for an unfinished job waits for the end of the job.
//
// Inputs: the job's written state, the age of the query.
//
// Rule: the query is answered at once if the job has ended, is unknown, is not written yet, or belongs to a shard that is not
// loaded here. Otherwise it is answered when one of these becomes true, or with the current state after stateQueryTimeout.
//
// Reason: callers query when they expect the job to have ended, and wait much longer before they query again.

// stateQueryTimeout is the longest time that a state query waits for the end of the job.
const stateQueryTimeout = 150 * time.Millisecond

// stateQuery is a waiting state query.
type stateQuery struct {
	job      string
	waiter   Waiter
	deadline time.Time
}

// queryState answers a state query, or queues it if the job is unfinished.
func (c *Coordinator) queryState(now time.Time, e StateRequested) {
	answer := c.stateOf(e.Job)
	if isUnfinished(answer) {
		c.stateQueries = append(c.stateQueries, stateQuery{job: e.Job, waiter: e.Waiter, deadline: now.Add(stateQueryTimeout)})
		return
	}
	c.emit(Reply{Waiter: e.Waiter, Answer: answer})
}

// answerStateQueries answers the waiting queries whose job is no longer unfinished or whose deadline has passed.
func (c *Coordinator) answerStateQueries(now time.Time) {
	c.stateQueries = slices.DeleteFunc(c.stateQueries, func(q stateQuery) bool {
		answer := c.stateOf(q.job)
		if isUnfinished(answer) && now.Before(q.deadline) {
			return false
		}
		c.emit(Reply{Waiter: q.waiter, Answer: answer})
		return true
	})
}

func isUnfinished(answer Answer) bool {
	known, ok := answer.(Known)
	return ok && !known.State.IsEnd()
}

// stateOf returns the answer to a state query with the current state of the job.
func (c *Coordinator) stateOf(id string) Answer {
	s := c.shards[ShardOf(id)]
	j, ok := s.jobs[id]
	switch {
	case !s.isLoaded():
		return NotOwner{}
	case !ok:
		return Unknown{}
	case j.storedState == 0:
		return InDoubt{Reason: "the job is being written"}
	default:
		return Known{State: j.visibleState()}
	}
}

// replyPending answers with the number of accepted jobs of a kind that have not started a task. The count is complete only if
// this entry owns every shard that other entries may attribute to it: the jobs of a shard that is still being loaded are not
// known.
func (c *Coordinator) replyPending(e PendingRequested) {
	reply := PendingReply{Waiter: e.Waiter, IsComplete: true}
	for _, s := range c.shards {
		if s.state == owned {
			reply.Jobs += s.pending(e.Kind)
		} else if s.isHeld() || s.claim != nil && s.claim.Owner == c.self.Owner {
			reply.IsComplete = false
		}
	}
	c.emit(reply)
}

// pending returns the number of accepted jobs of a kind that have not started a task.
func (s *shard) pending(kind string) int {
	count := 0
	for _, j := range s.jobs {
		if j.kind == kind && j.storedState != 0 && !j.state.IsEnd() && !j.started {
			count++
		}
	}
	return count
}
