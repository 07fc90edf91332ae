// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"slices"
	"time"

	"sailhead/internal/runner"
)

// taskState is the state of a task.
type taskState int

const (
	// taskPending means that the task can be placed once its step is ready, but not before notBefore.
	taskPending taskState = iota
	// taskSent means that a run of the task was sent to an agent, which has not reported its end yet.
	taskSent
	// taskFailed means that the latest run of a durable task has failed, and that package durable has not told yet whether the task may run
	// again.
	taskFailed
	// taskDone means that a run of the task was successful.
	taskDone
)

// task is one task of a job.
type task struct {
	name  string
	step  int
	state taskState
	// run is the number of the latest run, zero if there was none.
	run uint32
	// agent is the agent that the latest run was sent to.
	agent AgentID
	// notBefore is when the latest run has ended at the latest. The task is not placed before this time.
	notBefore time.Time
	// start is the number of the latest run's start in the session of agent.
	start uint64
	// rejections counts the starts of the task that agents rejected.
	rejections int
	// failures counts the runs that failed. For a durable task it is the count of package durable.
	failures int
	// lostRuns counts the runs that were lost with their worker.
	lostRuns int
	// moves counts the runs that were stopped to run on another worker.
	moves int
	// unreported describes the latest run of a durable task whose end was not reported to this entry, until a later run is reported. A start
	// that the agent rejected is no run. It is nil if there is none.
	unreported *unreportedRun
	// placedAt is when the latest run was sent.
	placedAt time.Time
	// completedAt is when the task was completed, zero until then.
	completedAt time.Time
	// runTime is the time from placed until the task was completed, converted by referenceTime. It is zero until then.
	runTime time.Duration
	// isRunTimeRepresentative is set if the time from placed until completion is the run time of the task on a healthy
	// worker.
	isRunTimeRepresentative bool
	// avoidedAgents lists the agents where the task failed, or was stopped because it took too long.
	avoidedAgents []AgentID
	// checkpoint is the checkpoint that the latest run saved before it was stopped or lost.
	checkpoint string
}

// avoids reports whether the task failed at an agent or was stopped there.
func (t *task) avoids(id AgentID) bool {
	return slices.Contains(t.avoidedAgents, id)
}

// avoidAgent adds the agent of the latest run to those that the task avoids.
func (t *task) avoidAgent() {
	if !t.avoids(t.agent) {
		t.avoidedAgents = append(t.avoidedAgents, t.agent)
	}
}

// isAt reports whether a run of the task is at an agent.
func (t *task) isAt(id AgentID) bool {
	return t.state == taskSent && t.agent == id
}

// mayRun reports whether a run of the task may be in progress.
func (t *task) mayRun(now time.Time) bool {
	return t.state == taskSent || t.awaitsEnd(now)
}

// awaitsEnd reports whether the task is pending although its latest run, whose end was not reported, may still be in
// progress or may be done.
func (t *task) awaitsEnd(now time.Time) bool {
	return t.state == taskPending && (now.Before(t.notBefore) || t.awaitsStoredEnds(now))
}

// TaskName returns the name of a task: ID.0.STEP.INDEX, with the job's ID, the index of the step and the index of the
// task in the step. The platform's workers know tasks by this name; the 0 stands for the first occurrence of a job that
// does not repeat.
func TaskName(job string, step, index int) string {
	return fmt.Sprintf("%s.0.%d.%d", job, step, index)
}

// find returns the task with a name, and its job. The task is nil if there is none.
func (d *Dispatcher) find(name string) (*job, *task) {
	if j, ok := d.jobs[runner.JobOf(name)]; ok {
		return j, j.task(name)
	}
	return nil, nil
}
