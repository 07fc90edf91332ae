// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"time"
)

// taskState is where a task stands.
type taskState int

const (
	// taskPending is to be placed, not before its settled time.
	taskPending taskState = iota
	// taskSent is at an agent.
	taskSent
	taskDone
)

// task is one task of a job.
type task struct {
	name  string
	step  int
	state taskState
	// run is the number of the latest run.
	run   uint32
	agent AgentID
	// settled is when the latest run has surely ended.
	notBefore time.Time
	failures  int
	// placed is when the latest run was sent, ended when the task was done, and moved how often a run was stopped to
	// run elsewhere.
	placed     time.Time
	ended      time.Time
	moves      int
	avoid      []AgentID
	checkpoint string
}

// job is a job on its way to an answer.
type job struct {
	Job
	waiters []Waiter
	arrived time.Time
	// objective is the time within which the job should be done.
	objective time.Duration
	tasks     []*task
	open      []int
	// isDurable is set if the job must be kept: it has no waiters and runs until it is done.
	isDurable bool
	// recoveredAt is when the runs of a kept job's earlier owner have ended; nothing if it had none.
	recoveredAt time.Time
	// lateRetry is set if the caller seems to have come back so late that the job is worth nothing any more.
	lateRetry bool
	// begun is set once a task may have run.
	begun bool
	// everSent is set once a task was sent to an agent.
	everSent bool
}

// expiryFactor is how many objectives after its arrival a job is worth nothing.
const expiryFactor = 3

func newJob(now time.Time, submitted Submitted) *job {
	j := &job{Job: submitted.Job, waiters: []Waiter{submitted.Waiter}, arrived: now}
	j.objective = time.Duration(j.Kind.Stretch*float64(j.chain())) + j.Kind.Target
	j.open = make([]int, len(j.Steps))
	for i, step := range j.Steps {
		j.open[i] = step.Count
		for k := range step.Count {
			j.tasks = append(j.tasks, &task{name: fmt.Sprintf("%s.0.%d.%d", j.ID, i, k), step: i})
		}
	}
	return j
}

// chain is the expected time of the longest chain of steps.
func (j *job) chain() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, step := range j.Steps {
		for _, earlier := range step.After {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += step.Expected
		longest = max(longest, ends[i])
	}
	return longest
}

// isReady reports whether all steps that a step waits for are done.
func (j *job) isReady(step int) bool {
	for _, earlier := range j.Steps[step].After {
		if j.open[earlier] > 0 {
			return false
		}
	}
	return true
}

// isDone reports whether all tasks are done.
func (j *job) isDone() bool {
	for _, open := range j.open {
		if open > 0 {
			return false
		}
	}
	return true
}

// placeable returns the tasks that may be placed now, in the order of their steps.
func (d *Dispatcher) placeable(now time.Time, j *job) []*task {
	var tasks []*task
	for _, t := range j.tasks {
		if _, isEnding := d.endingRuns[t.name]; isEnding {
			continue
		}
		if t.state == taskPending && !now.Before(t.notBefore) && j.isReady(t.step) {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// task returns the task of a name.
func (j *job) task(name string) *task {
	for _, t := range j.tasks {
		if t.name == name {
			return t
		}
	}
	return nil
}

// mayHaveBegun reports whether a task has run, or may run at this moment.
func (j *job) mayHaveBegun() bool {
	if j.begun {
		return true
	}
	for _, t := range j.tasks {
		if t.state == taskSent {
			return true
		}
	}
	return false
}

// maxWaitShare is the part of the time between a job's chain of work and its objective in which it may wait.
const maxWaitShare = 0.8

// refuseAt is when a job of which nothing was placed is refused: when it could hardly be done within its
// objective any more.
func (j *job) refuseAt() time.Time {
	slack := time.Duration(maxWaitShare * float64(j.objective-j.chain()))
	return j.arrived.Add(max(slack, j.objective/4))
}

// expiresAt is when a job is worth nothing any more.
func (j *job) expiresAt() time.Time {
	return j.arrived.Add(expiryFactor * j.objective)
}
