// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package owner

import (
	"time"

	"sailhead/internal/native/configuration"
	"sailhead/internal/native/model"
	"sailhead/internal/native/ownership"
)

// job is a submission on its way to an answer.
type job struct {
	model   model.Job
	kind    configuration.Kind
	waiters []Waiter
	tasks   []task
	started bool
	open    int
	due     time.Time
	// mayHaveRun is set once a task may have started.
	mayHaveRun bool
	retryAfter time.Duration
}

// task is one task of a job.
type task struct {
	guard  ownership.MemberID
	tried  []ownership.MemberID
	result []byte
	done   bool
}

func newJob(submission model.Job, waiter Waiter) *job {
	return &job{model: submission, waiters: []Waiter{waiter}}
}

// prepare sets the job up to place its tasks.
func (j *job) prepare(kind configuration.Kind) {
	j.kind = kind
	j.started = true
	j.tasks = make([]task, len(j.model.Tasks))
	j.open = len(j.tasks)
}

// outstanding returns the tasks that are at a guard without an outcome.
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

func (j *job) taskID(index int) model.TaskID {
	return model.TaskID{Key: j.model.Key, Index: uint32(index)}
}
