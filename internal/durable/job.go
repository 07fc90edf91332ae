// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"slices"
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable/durablepb"
	"sailhead/internal/runner"
)

// job is a job of a shard.
type job struct {
	id   string
	kind string
	// job is what runs; nothing once the job has ended.
	job   dispatch.Job
	names []string
	done  map[uint32]bool
	// failed are the runs that have failed.
	failed []*durablepb.FailedRun
	// state is what was decided here, and written the state that is in the store; 0 before the acceptance is.
	state   State
	written State
	begun   bool
	// waiters wait for the acceptance, or for the cancelling, to be written.
	waiters []Waiter
	// queued is the job's change that no commit has taken yet, and unwritten counts those that are not written.
	queued    *change
	unwritten int
	// accepted, progress and ended are the batches that hold the job's records; 0 is none.
	accepted Sequence
	progress Sequence
	ended    Sequence
	// first is the batch that held the acceptance of a job that has ended.
	first   Sequence
	endedAt time.Time
}

func newJob(submitted dispatch.Job) *job {
	return &job{
		id: submitted.ID, kind: submitted.Kind.Name, job: submitted, names: taskNames(submitted),
		done: make(map[uint32]bool), state: StateQueued,
	}
}

// visibleState is the state that callers are told.
func (j *job) visibleState() State {
	switch {
	case j.written.IsEnd():
		return j.written
	case j.begun:
		return StateRunning
	default:
		return StateQueued
	}
}

// taskNumber returns the number of a task by its name.
func (j *job) taskNumber(name string) (uint32, bool) {
	at := slices.Index(j.names, name)
	return uint32(max(at, 0)), at >= 0
}

// hasFailed reports whether a failed run is counted already.
func (j *job) hasFailed(task uint32, e TaskEnded) bool {
	return slices.ContainsFunc(j.failed, func(f *durablepb.FailedRun) bool {
		return f.Task == task && f.Run == e.Update.Run && f.Agent == string(e.Agent)
	})
}

// failures counts the failed runs of a task.
func (j *job) failures(task uint32) int {
	count := 0
	for _, f := range j.failed {
		if f.Task == task {
			count++
		}
	}
	return count
}

// applyEnd takes the end of a run in, and reports whether it was news.
func (j *job) applyEnd(task uint32, e TaskEnded) bool {
	switch {
	case j.done[task]:
		return false
	case e.Update.Outcome == runner.OutcomeDone:
		j.done[task] = true
	case j.hasFailed(task, e):
		return false
	default:
		j.failed = append(j.failed, &durablepb.FailedRun{Task: task, Run: e.Update.Run, Agent: string(e.Agent)})
	}
	j.begun = true
	switch {
	case len(j.done) == len(j.names):
		j.state = StateCompleted
	case j.failures(task) >= max(j.job.Kind.Attempts, 1):
		j.state = StateFailed
	}
	return true
}

// record returns what is to be written of the job: its end, or its progress.
func (j *job) record() *durablepb.Record {
	if j.state.IsEnd() {
		return &durablepb.Record{Record: &durablepb.Record_Ended{Ended: &durablepb.Ended{Id: j.id, State: stateToPB[j.state]}}}
	}
	progress := &durablepb.Progress{Id: j.id, Failed: slices.Clone(j.failed)}
	for task := range j.done {
		progress.Done = append(progress.Done, task)
	}
	slices.Sort(progress.Done)
	return &durablepb.Record{Record: &durablepb.Record_Progress{Progress: progress}}
}

// forDispatcher returns the job as the dispatcher takes it up.
func (j *job) forDispatcher(notBefore time.Time) dispatch.DurableAccepted {
	c := dispatch.DurableAccepted{Job: j.job, Failures: make(map[string]int), NotBefore: notBefore}
	for task, name := range j.names {
		if j.done[uint32(task)] {
			c.DoneTasks = append(c.DoneTasks, name)
		}
		if failures := j.failures(uint32(task)); failures > 0 {
			c.Failures[name] = failures
		}
	}
	return c
}

// releaseMemory forgets what only a job under way needs.
func (j *job) releaseMemory(now time.Time) {
	j.endedAt = now
	j.job = dispatch.Job{}
	j.names, j.done, j.failed = nil, nil, nil
}
