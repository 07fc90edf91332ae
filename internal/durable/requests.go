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
func (k *Keeper) submit(e Submitted) {
	s := k.shards[ShardOf(e.Job.ID)]
	j, ok := s.jobs[e.Job.ID]
	switch {
	case s.state != owning || s.releasing:
		k.emit(Reply{Waiter: e.Waiter, Answer: NotOwner{}})
	case ok && j.written != 0:
		k.emit(Reply{Waiter: e.Waiter, Answer: Known{State: j.shown()}})
	case ok:
		j.waiters = append(j.waiters, e.Waiter)
	case s.open >= k.limits.Jobs/Shards:
		k.emit(Reply{Waiter: e.Waiter, Answer: Refused{Reason: "too many kept jobs are under way"}})
	default:
		j := newJob(e.Job)
		j.waiters = []Waiter{e.Waiter}
		s.jobs[j.id] = j
		s.open++
		s.add(j, &durablepb.Record{Record: &durablepb.Record_Accepted{Accepted: PackJob(e.Job)}})
	}
}

func (k *Keeper) stateOf(id string) Answer {
	s := k.shards[ShardOf(id)]
	j, ok := s.jobs[id]
	switch {
	case !s.isLoaded():
		return NotOwner{}
	case !ok:
		return Unknown{}
	case j.written == 0:
		return InDoubt{Reason: "the job is being written"}
	default:
		return Known{State: j.shown()}
	}
}

// lookWait is how long a question for the state of a job that goes on waits for its end: callers ask when they expect
// it, and come again much later.
const lookWait = 150 * time.Millisecond

// look is a question for the state of a job.
type look struct {
	job    string
	waiter Waiter
	until  time.Time
}

// look answers a question for a state, at once if the job has ended or is not known.
func (k *Keeper) look(now time.Time, e StateAsked) {
	answer := k.stateOf(e.Job)
	if known, ok := answer.(Known); ok && !known.State.IsEnd() {
		k.looks = append(k.looks, look{job: e.Job, waiter: e.Waiter, until: now.Add(lookWait)})
		return
	}
	k.emit(Reply{Waiter: e.Waiter, Answer: answer})
}

// answerLooks answers the questions whose jobs have ended, are no longer owned here, or that have waited long enough.
func (k *Keeper) answerLooks(now time.Time) {
	k.looks = slices.DeleteFunc(k.looks, func(l look) bool {
		answer := k.stateOf(l.job)
		if known, ok := answer.(Known); ok && !known.State.IsEnd() && now.Before(l.until) {
			return false
		}
		k.emit(Reply{Waiter: l.waiter, Answer: answer})
		return true
	})
}

// cancel ends a job; the answer waits until that is written.
func (k *Keeper) cancel(e CancelAsked) {
	s := k.shards[ShardOf(e.Job)]
	j, ok := s.jobs[e.Job]
	switch {
	case s.state != owning || s.releasing:
		k.emit(Reply{Waiter: e.Waiter, Answer: NotOwner{}})
	case !ok:
		k.emit(Reply{Waiter: e.Waiter, Answer: Unknown{}})
	case j.state.IsEnd() && j.unwritten == 0:
		k.emit(Reply{Waiter: e.Waiter, Answer: Known{State: j.written}})
	case j.state.IsEnd():
		j.waiters = append(j.waiters, e.Waiter)
	default:
		j.state = StateCancelled
		j.waiters = append(j.waiters, e.Waiter)
		s.add(j, j.record())
		k.emit(ToDispatcher{Event: dispatch.Dropped{Jobs: []string{j.id}}})
	}
}

// pending counts the jobs of a kind that are accepted and of which no task has begun. It is complete only if every shard
// whose claim others may see as this entry's is owned.
func (k *Keeper) pending(kind string) (count int, isComplete bool) {
	isComplete = true
	for _, s := range k.shards {
		if s.state != owning {
			isComplete = isComplete && !s.isHeld() && (s.claim == nil || s.claim.Owner != k.self.Owner)
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
func (k *Keeper) taskEnded(e TaskEnded) {
	id := dispatch.JobOf(e.Update.Name)
	s := k.shards[ShardOf(id)]
	noted := NoteEnd{Agent: e.Agent, Name: e.Update.Name, Run: e.Update.Run}
	j, ok := s.jobs[id]
	switch {
	case !k.wanted && k.current:
		// There are no jobs that must be kept.
		k.emit(noted)
	case !s.isLoaded():
	case !ok || j.written.IsEnd():
		k.emit(noted)
	case j.state.IsEnd():
		k.noteWith(j, noted)
	default:
		k.takeEnd(s, j, e, noted)
	}
}

// noteWith has an end noted that was taken in before: at once if it is written, else with what is queued. What a commit
// has taken already is told again by the agent.
func (k *Keeper) noteWith(j *job, noted NoteEnd) {
	switch {
	case j.unwritten == 0:
		k.emit(noted)
	case j.queued != nil:
		j.queued.effects = append(j.queued.effects, noted)
	}
}

func (k *Keeper) takeEnd(s *shard, j *job, e TaskEnded, noted NoteEnd) {
	task, ok := j.taskNumber(e.Update.Name)
	if !ok {
		k.emit(noted)
		return
	}
	if !j.take(task, e) {
		k.noteWith(j, noted)
		return
	}
	s.add(j, j.record(), noted)
	switch {
	case j.state == StateFailed:
		k.emit(ToDispatcher{Event: dispatch.Dropped{Jobs: []string{j.id}}})
	case e.Update.Unnoted:
		k.emit(ToDispatcher{Event: dispatch.TaskEnded{Task: e.Update.Name, Failed: !j.done[task]}})
	}
}
