// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"slices"
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable/durablepb"
)

// submit takes a job in; the answer waits until that is written. The same job again is met.
func (c *Coordinator) submit(e Submitted) {
	s := c.shards[ShardOf(e.Job.ID)]
	j, ok := s.jobs[e.Job.ID]
	switch {
	case s.state != owning || s.releasing:
		c.emit(Reply{Waiter: e.Waiter, Answer: NotOwner{}})
	case ok && j.written != 0:
		c.emit(Reply{Waiter: e.Waiter, Answer: Known{State: j.visibleState()}})
	case ok:
		j.waiters = append(j.waiters, e.Waiter)
	case s.open >= c.limits.Jobs/Shards:
		c.emit(Reply{Waiter: e.Waiter, Answer: Refused{Reason: "too many kept jobs are under way"}})
	default:
		j := newJob(e.Job)
		j.waiters = []Waiter{e.Waiter}
		s.jobs[j.id] = j
		s.open++
		s.add(j, &durablepb.Record{Record: &durablepb.Record_Accepted{Accepted: PackJob(e.Job)}})
	}
}

func (c *Coordinator) stateOf(id string) Answer {
	s := c.shards[ShardOf(id)]
	j, ok := s.jobs[id]
	switch {
	case !s.isLoaded():
		return NotOwner{}
	case !ok:
		return Unknown{}
	case j.written == 0:
		return InDoubt{Reason: "the job is being written"}
	default:
		return Known{State: j.visibleState()}
	}
}

// stateQueryTimeout is how long a question for the state of a job that goes on waits for its end: callers ask when they expect
// it, and come again much later.
const stateQueryTimeout = 150 * time.Millisecond

// look is a question for the state of a job.
type stateQuery struct {
	job    string
	waiter Waiter
	until  time.Time
}

// queryState answers a question for a state, at once if the job has ended or is not known.
func (c *Coordinator) queryState(now time.Time, e StateRequested) {
	answer := c.stateOf(e.Job)
	if known, ok := answer.(Known); ok && !known.State.IsEnd() {
		c.stateQueries = append(c.stateQueries, stateQuery{job: e.Job, waiter: e.Waiter, until: now.Add(stateQueryTimeout)})
		return
	}
	c.emit(Reply{Waiter: e.Waiter, Answer: answer})
}

// answerStateQueries answers the questions whose jobs have ended, are no longer owned here, or that have waited long enough.
func (c *Coordinator) answerStateQueries(now time.Time) {
	c.stateQueries = slices.DeleteFunc(c.stateQueries, func(l stateQuery) bool {
		answer := c.stateOf(l.job)
		if known, ok := answer.(Known); ok && !known.State.IsEnd() && now.Before(l.until) {
			return false
		}
		c.emit(Reply{Waiter: l.waiter, Answer: answer})
		return true
	})
}

// cancel ends a job; the answer waits until that is written.
func (c *Coordinator) cancel(e CancelRequested) {
	s := c.shards[ShardOf(e.Job)]
	j, ok := s.jobs[e.Job]
	switch {
	case s.state != owning || s.releasing:
		c.emit(Reply{Waiter: e.Waiter, Answer: NotOwner{}})
	case !ok:
		c.emit(Reply{Waiter: e.Waiter, Answer: Unknown{}})
	case j.state.IsEnd() && j.unwritten == 0:
		c.emit(Reply{Waiter: e.Waiter, Answer: Known{State: j.written}})
	case j.state.IsEnd():
		j.waiters = append(j.waiters, e.Waiter)
	default:
		j.state = StateCancelled
		j.waiters = append(j.waiters, e.Waiter)
		s.add(j, j.record())
		c.emit(ToDispatcher{Event: dispatch.DurableDropped{Jobs: []string{j.id}}})
	}
}

// pending counts the jobs of a kind that are accepted and of which no task has begun. It is complete only if every shard
// whose claim others may see as this entry's is owned.
func (c *Coordinator) pending(kind string) (count int, isComplete bool) {
	isComplete = true
	for _, s := range c.shards {
		if s.state != owning {
			isComplete = isComplete && !s.isHeld() && (s.claim == nil || s.claim.Owner != c.self.Owner)
			continue
		}
		for _, j := range s.jobs {
			if j.kind == kind && j.written != 0 && !j.state.IsEnd() && !j.begun {
				count++
			}
		}
	}
	return count, isComplete
}

// taskEnded takes the end of a run in. The agent is told that it is noted once it is written.
func (c *Coordinator) taskEnded(e TaskEnded) {
	id := dispatch.JobOf(e.Update.Name)
	s := c.shards[ShardOf(id)]
	noted := AcknowledgeEnd{Agent: e.Agent, Name: e.Update.Name, Run: e.Update.Run}
	j, ok := s.jobs[id]
	switch {
	case !c.active && c.storeRead:
		// There are no jobs that must be kept.
		c.emit(noted)
	case !s.isLoaded():
	case !ok || j.written.IsEnd():
		c.emit(noted)
	case j.state.IsEnd():
		c.acknowledgeWithRecord(j, noted)
	default:
		c.recordEnd(s, j, e, noted)
	}
}

// acknowledgeWithRecord has an end noted that was taken in before: at once if it is written, else with what is queued. What a commit
// has taken already is told again by the agent.
func (c *Coordinator) acknowledgeWithRecord(j *job, noted AcknowledgeEnd) {
	switch {
	case j.unwritten == 0:
		c.emit(noted)
	case j.queued != nil:
		j.queued.effects = append(j.queued.effects, noted)
	}
}

func (c *Coordinator) recordEnd(s *shard, j *job, e TaskEnded, noted AcknowledgeEnd) {
	task, ok := j.taskNumber(e.Update.Name)
	if !ok {
		c.emit(noted)
		return
	}
	if !j.applyEnd(task, e) {
		c.acknowledgeWithRecord(j, noted)
		return
	}
	s.add(j, j.record(), noted)
	switch {
	case j.state == StateFailed:
		c.emit(ToDispatcher{Event: dispatch.DurableDropped{Jobs: []string{j.id}}})
	case e.Update.Unacknowledged:
		c.emit(ToDispatcher{Event: dispatch.DurableTaskEnded{Task: e.Update.Name, Failed: !j.done[task]}})
	}
}
