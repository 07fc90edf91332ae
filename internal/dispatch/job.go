// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"sailhead/internal/forecast"
	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// AgentID identifies an agent.
type AgentID string

// Waiter identifies a request that waits for an answer.
type Waiter uint64

// Job is a job as submitted by its caller.
type Job struct {
	ID   string
	Kind Kind
	// Received is when the entry received the request, zero for the time of the Submitted event.
	Received time.Time
	// RemainingTime is how much longer the caller will wait after Received, zero if it did not say.
	RemainingTime time.Duration
	// IsHandedOver is set if another entry handed the job over to this one. It is not handed over again.
	IsHandedOver bool
	// Zone is the availability zone of the caller if it differs from the entry's own, empty otherwise.
	Zone string
	// Payload is passed to every task.
	Payload string
	Steps   []Step
}

// Kind is the operators' configuration for jobs of one kind.
type Kind struct {
	Name    string
	Service string
	// Priority is 0 for the most urgent jobs.
	Priority int
	// Weight is the weight of the kind in the shares of workers, zero for 1.
	Weight float64
	// Attempts is the number of failed runs of a task that end its job. Use MaxAttempts, which treats 0 as 1.
	Attempts int
	// Stretch and Target define the objective of a job: Stretch times the expected time of its critical path, plus
	// Target. It is reported and decides nothing.
	Stretch float64
	Target  time.Duration
	// Timeout is the operators' time limit for a job, zero if there is none; see callertime.go.
	Timeout time.Duration
}

// Step is a group of identical tasks of a job.
type Step struct {
	Count int
	Needs worker.Resources
	// Expected is the caller's guess of a task's run time, zero if it gave none. Use job.times, which corrects it.
	Expected time.Duration
	// After lists the indexes of the steps that must be done before this one starts. They come earlier in the job.
	After []int
	// Label is a label that the worker must have, empty for any worker.
	Label string
	// Rack is a label of preferred workers, empty for no preference.
	Rack string
	// MaxPerWorker is the largest number of the step's tasks on one worker, zero for no limit.
	MaxPerWorker int
}

// job is a job in progress.
type job struct {
	Job
	// waiters are the requests that wait for the answer. A durable job has none.
	waiters []Waiter
	arrived time.Time
	// number is the sequence number of the job in the order of arrival.
	number uint64
	// times are the estimated run times of the steps.
	times []stepEstimate
	// crossRackFactor is Limits.CrossRackFactor; see distance.go.
	crossRackFactor float64
	// objective is the time from arrival within which operators want the job answered. Later answers are logged.
	objective time.Duration
	// longestWork is the time of the critical path if its steps take unusually long.
	longestWork time.Duration
	// startBy is doubledAt, or the latest start if the job is not durable and that comes sooner.
	startBy time.Time
	tasks   []*task
	// open holds the number of tasks of each step that are not done.
	open []int
	// isDurable is set if package durable records the job and answers its callers.
	isDurable bool
	// recoveredAt is when the runs that an earlier owner of a durable job started have ended at the latest, zero if
	// there was none.
	recoveredAt time.Time
	// endsRequest is the latest request to read the stored ends of the job.
	endsRequest endsRequest
	// reservation holds what the job has reserved while it waits for resources.
	reservation reservation
	// queue is the queue of the job's kind. Use forecasts.queueOf.
	queue *kindQueue
	// expected is the forecast with which the job was accepted at acceptedAt. It is zero if no job of its kind was waiting, and after the wait.
	expected   forecast.Forecast
	acceptedAt time.Time
	// started is set once a task may have run.
	started bool
	// handOvers is how many times the job was handed over.
	handOvers int
	// handOver is the number of the latest hand-over, and handedOverAt its time. isHandOverAccepted is set once another entry has
	// accepted the job, and acceptedBy is that entry's name.
	handOver           uint64
	handedOverAt       time.Time
	isHandOverAccepted bool
	acceptedBy         string
	// recordNumber is the number of the record that the other entries must have been told of before the job is answered, zero for none.
	recordNumber uint64
	// hasSentTask is set once a task was sent to an agent.
	hasSentTask bool
}

func newJob(now time.Time, submitted Job, known runTimes) *job {
	j := &job{Job: submitted, arrived: now}
	if !submitted.Received.IsZero() {
		j.arrived = submitted.Received
	}
	for _, step := range j.Steps {
		j.times = append(j.times, known.estimate(j.Kind.Name, step.Expected))
	}
	j.objective = time.Duration(j.Kind.Stretch*float64(j.criticalPath())) + j.Kind.Target
	j.longestWork = j.chainTime(func(step int) time.Duration { return j.times[step].atMost })
	j.startBy = earlier(j.doubledAt(), j.latestStart(j.expiresAt()))
	j.open = make([]int, len(j.Steps))
	for i, step := range j.Steps {
		j.open[i] = step.Count
		for k := range step.Count {
			j.tasks = append(j.tasks, &task{name: TaskName(j.ID, i, k), step: i})
		}
	}
	return j
}

// newJob returns a job that arrives at now, with the estimates and the settings of the entry.
func (d *Dispatcher) newJob(now time.Time, submitted Job) *job {
	j := newJob(now, submitted, d.runTimes)
	j.crossRackFactor = d.limits.CrossRackFactor
	return j
}

// criticalPath returns the expected time of the job's critical path, which is its longest chain of dependent steps.
func (j *job) criticalPath() time.Duration {
	return j.criticalPathWith(func(int) float64 { return 1 })
}

// criticalPathWith returns the expected time of the critical path if the time of each step is multiplied by a factor.
func (j *job) criticalPathWith(factor func(step int) float64) time.Duration {
	return j.chainTime(func(step int) time.Duration { return time.Duration(factor(step) * float64(j.times[step].longest)) })
}

// chainTime returns the time of the longest chain of dependent steps, each of which takes the given time.
func (j *job) chainTime(stepTime func(step int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, step := range j.Steps {
		for _, earlier := range step.After {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += stepTime(i)
		longest = max(longest, ends[i])
	}
	return longest
}

// urgency returns the key by which the jobs of all entries are ordered.
func (j *job) urgency() runner.Urgency {
	return runner.Urgency{HasStarted: j.hasSentTask, Priority: j.Kind.Priority, StartBy: j.startBy}
}

// canUse reports whether the resources suffice for a task of at least one step.
func (j *job) canUse(free worker.Resources) bool {
	return slices.ContainsFunc(j.Steps, func(step Step) bool { return step.Needs.Fits(free) })
}

// isReady reports whether all steps that a step depends on are done.
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

// mayHaveStarted reports whether a task has run or may be running.
func (j *job) mayHaveStarted() bool {
	if j.started {
		return true
	}
	for _, t := range j.tasks {
		if t.state == taskSent {
			return true
		}
	}
	return false
}

// task returns the task with a name, or nil if there is none.
func (j *job) task(name string) *task {
	for _, t := range j.tasks {
		if t.name == name {
			return t
		}
	}
	return nil
}
