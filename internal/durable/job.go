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

// job is a durable job of a shard.
type job struct {
	id   string
	kind string
	// submitted is the job as accepted. It is cleared once the end of the job is written.
	submitted dispatch.Job
	// taskNames are the names of the tasks; a task's number is its index.
	taskNames []string
	done      map[uint32]bool
	failed    []*durablepb.FailedRun
	// started is set once a task has started.
	started bool
	// state is the state including unwritten changes, and storedState the one in the store, which is 0 until the acceptance is
	// written. Both are StateQueued or a final state; visibleState distinguishes running jobs from queued ones.
	state       State
	storedState State
	// waiters are the requests that are answered once the acceptance or the cancellation is written.
	waiters []Waiter
	// queuedChange is the job's newest change if it is not in a commit yet, and unwritten counts the job's changes that are not
	// written.
	queuedChange *change
	unwritten    int
	// acceptedBatch, progressBatch and endedBatch are the batches that hold the job's live records; 0 means none.
	acceptedBatch Sequence
	progressBatch Sequence
	endedBatch    Sequence
	// originBatch is the batch that held the acceptance of an ended job.
	originBatch Sequence
	// endedAt is when the end was written, or when it was read from the store.
	endedAt time.Time
}

func newJob(submitted dispatch.Job) *job {
	return &job{
		id: submitted.ID, kind: submitted.Kind.Name, submitted: submitted, taskNames: taskNames(submitted),
		done: make(map[uint32]bool), state: StateQueued,
	}
}

// visibleState returns the state that is reported to callers. A final state is reported only once it is written.
func (j *job) visibleState() State {
	switch {
	case j.storedState.IsEnd():
		return j.storedState
	case j.started:
		return StateRunning
	default:
		return StateQueued
	}
}

// taskNumber returns the number of the task with the given name; ok is false if the job has no such task.
func (j *job) taskNumber(name string) (number uint32, ok bool) {
	index := slices.Index(j.taskNames, name)
	return uint32(max(index, 0)), index >= 0
}

// The ends of runs determine the state of a job.
//
// Inputs: the tasks that are done, the failed runs of each task, Kind.Attempts (the allowed runs of a task, at least 1).
//
// Rule: the job is completed once all tasks are done, and failed once one task has as many failed runs as the kind allows
// attempts. A failed run is identified by task, number and agent, and counts once even if it is reported repeatedly. Runs that
// were stopped or lost are not reported here and do not count. The failed runs are stored, so that a new owner continues the
// count.

// applyEnd records the end of a run, and reports whether the job changed.
func (j *job) applyEnd(task uint32, e TaskEnded) bool {
	switch {
	case j.done[task]:
		return false
	case e.Update.Outcome == runner.OutcomeDone:
		j.done[task] = true
	case j.isRecordedFailure(task, e):
		return false
	default:
		j.failed = append(j.failed, &durablepb.FailedRun{Task: task, Run: e.Update.Run, Agent: string(e.Agent)})
	}
	j.started = true
	j.updateState(task)
	return true
}

// updateState updates the state of the job after a run of a task has ended.
func (j *job) updateState(task uint32) {
	switch {
	case len(j.done) == len(j.taskNames):
		j.state = StateCompleted
	case j.failures(task) >= j.submitted.Kind.MaxAttempts():
		j.state = StateFailed
	}
}

// isRecordedFailure reports whether a failed run is already recorded.
func (j *job) isRecordedFailure(task uint32, e TaskEnded) bool {
	return slices.ContainsFunc(j.failed, func(f *durablepb.FailedRun) bool {
		return f.Task == task && f.Run == e.Update.Run && f.Agent == string(e.Agent)
	})
}

// failures returns the number of failed runs of a task.
func (j *job) failures(task uint32) int {
	count := 0
	for _, f := range j.failed {
		if f.Task == task {
			count++
		}
	}
	return count
}

// restoreProgress replaces the progress of the job with stored progress.
func (j *job) restoreProgress(progress *durablepb.Progress) {
	j.done = make(map[uint32]bool)
	for _, task := range progress.Done {
		j.done[task] = true
	}
	j.failed = progress.Failed
	j.started = true
}

// record returns the record of the job's current state: its end, or its progress if it has not ended.
func (j *job) record() *durablepb.Record {
	if j.state.IsEnd() {
		ended := &durablepb.Ended{Id: j.id, State: stateToPB[j.state]}
		return &durablepb.Record{Record: &durablepb.Record_Ended{Ended: ended}}
	}
	progress := &durablepb.Progress{Id: j.id, Failed: slices.Clone(j.failed)}
	for task := range j.done {
		progress.Done = append(progress.Done, task)
	}
	slices.Sort(progress.Done)
	return &durablepb.Record{Record: &durablepb.Record_Progress{Progress: progress}}
}

// forDispatcher returns the event that makes the dispatcher run the remaining tasks of the job, from notBefore on.
func (j *job) forDispatcher(notBefore time.Time) dispatch.DurableAccepted {
	accepted := dispatch.DurableAccepted{Job: j.submitted, Failures: make(map[string]int), NotBefore: notBefore}
	for task, name := range j.taskNames {
		if j.done[uint32(task)] {
			accepted.DoneTasks = append(accepted.DoneTasks, name)
		}
		if failures := j.failures(uint32(task)); failures > 0 {
			accepted.Failures[name] = failures
		}
	}
	return accepted
}

// releaseMemory clears the fields that only an unfinished job needs.
func (j *job) releaseMemory(now time.Time) {
	j.endedAt = now
	j.submitted = dispatch.Job{}
	j.taskNames, j.done, j.failed = nil, nil, nil
}
