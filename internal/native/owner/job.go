// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package owner

import (
	"time"

	"sailhead/internal/native/configuration"
	"sailhead/internal/native/model"
	"sailhead/internal/native/ownership"
)

// job is a submission without an answer.
type job struct {
	model model.Job
	// kind has what operators set for the kind of the job; it is zero until started.
	kind configuration.Kind
	// waiters are the requests that get the answer.
	waiters []Waiter
	tasks   []task
	// started is set once the fence is over and the job is admitted.
	started bool
	// open counts the tasks without a result.
	open int
	// due orders the tasks in the queues of the guards; see dueTime.
	due time.Time
	// mayHaveRun is set once a task may have started.
	mayHaveRun bool
	// retryAfter is the longest that a guard gave with a refusal.
	retryAfter time.Duration
}

// task is one task of a job.
type task struct {
	// guard is where the task was sent, empty after that guard refused it.
	guard ownership.MemberID
	// tried are all guards that it was sent to.
	tried  []ownership.MemberID
	result []byte
	// done is set once the task has a result or has failed.
	done bool
}

func newJob(submission model.Job, waiter Waiter) *job {
	return &job{model: submission, waiters: []Waiter{waiter}}
}

// prepare begins the running state.
func (j *job) prepare(kind configuration.Kind) {
	j.kind = kind
	j.started = true
	j.tasks = make([]task, len(j.model.Tasks))
	j.open = len(j.tasks)
}

// outstanding returns the indices of the tasks that are at a guard without an outcome.
func (j *job) outstanding() []int {
	var indices []int
	for i := range j.tasks {
		if j.tasks[i].guard != "" && !j.tasks[i].done {
			indices = append(indices, i)
		}
	}
	return indices
}

// results returns the results in the order of submission.
func (j *job) results() [][]byte {
	results := make([][]byte, len(j.tasks))
	for i := range j.tasks {
		results[i] = j.tasks[i].result
	}
	return results
}

// kindName returns the name under which the service times of the job's kind are recorded.
func kindName(j model.Job) string {
	return j.Service + "/" + j.Kind
}

func (j *job) taskID(index int) model.TaskID {
	return model.TaskID{Key: j.model.Key, Index: uint32(index)}
}
