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
	// taskPending means that the task is to be placed once its step is ready, but not before notBefore.
	taskPending taskState = iota
	// taskSent means that a run of the task was sent to an agent, which has not reported its end.
	taskSent
	// taskDone means that a run of the task ended well.
	taskDone
)

// task is one task of a job.
type task struct {
	name  string
	step  int
	state taskState
	// run is the number of the latest run, zero if there was none.
	run uint32
	// agent is where the latest run was sent.
	agent AgentID
	// notBefore is when the latest run has ended at the latest. The task is not placed before.
	notBefore time.Time
	// start is the number of the latest start among those that were sent to agent.
	start uint64
	// rejections counts the starts of the task that agents rejected.
	rejections int
	// failures counts the runs that failed.
	failures int
	// lostRuns counts the runs that were lost with their worker.
	lostRuns int
	// moves counts the runs that were stopped to run elsewhere.
	moves int
	// placed is when the latest run was sent.
	placed time.Time
	// ended is when the task was done, zero until then.
	ended time.Time
	// runTime is the time from placed until the task was done, as it would be on a worker of the time factor 1. Zero until then.
	runTime time.Duration
	// showsRunTime is set if the time from placed until it is done is the task's run time on a healthy worker.
	showsRunTime bool
	// avoid lists the agents where the task failed or was stopped because it took too long.
	avoid []AgentID
	// checkpoint is what the latest run saved before it was stopped or lost.
	checkpoint string
}

// avoids reports whether the task failed at an agent or was stopped there.
func (t *task) avoids(id AgentID) bool {
	return slices.Contains(t.avoid, id)
}

// avoidAgent notes that the latest run did not end well where it was.
func (t *task) avoidAgent() {
	if !t.avoids(t.agent) {
		t.avoid = append(t.avoid, t.agent)
	}
}

// isAt reports whether a run of the task is at an agent.
func (t *task) isAt(id AgentID) bool {
	return t.state == taskSent && t.agent == id
}

// mayRun reports whether a run of the task may be under way.
func (t *task) mayRun(now time.Time) bool {
	return t.state == taskSent || t.awaitsEnd(now)
}

// awaitsEnd reports whether the task is pending but its latest run, whose end was not reported, may still be under way.
func (t *task) awaitsEnd(now time.Time) bool {
	return t.state == taskPending && now.Before(t.notBefore)
}

// TaskName returns the name of a task: ID.0.STEP.INDEX, with the job's id and the indexes of the step and of the task in it.
// The platform's workers know tasks by this name; the 0 stands for the first time of a job that does not repeat.
func TaskName(job string, step, index int) string {
	return fmt.Sprintf("%s.0.%d.%d", job, step, index)
}

// find returns a task by its name and its job. The task is nil if there is none of the name.
func (d *Dispatcher) find(name string) (*job, *task) {
	if j, ok := d.jobs[runner.JobOf(name)]; ok {
		return j, j.task(name)
	}
	return nil, nil
}
