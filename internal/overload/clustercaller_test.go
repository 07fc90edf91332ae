// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/timing"
	"sailhead/internal/worker"
)

// clusterJob returns a job of tasks that take a time each. Its caller waits longer than any test.
func clusterJob(id string, tasks int, runTime time.Duration) dispatch.Job {
	step := dispatch.Step{Count: tasks, Needs: worker.Resources{CPU: taskCPU, Memory: 64}, Expected: runTime}
	return dispatch.Job{
		ID: id, Payload: runTime.String(), Kind: newKind("lookup", 1), Steps: []dispatch.Step{step}, RemainingTime: time.Minute,
	}
}

// clusterRequest is a request of a caller at an entry.
type clusterRequest struct {
	entry  *clusterEntry
	life   int
	job    string
	waiter dispatch.Waiter
}

// submit submits a job to the entry, which is up. answered is called with its answer, or with nil if the connection breaks.
func (e *clusterEntry) submit(job dispatch.Job, answered func(dispatch.Answer)) clusterRequest {
	e.lastWaiter++
	request := clusterRequest{entry: e, life: e.life, job: job.ID, waiter: e.lastWaiter}
	e.onAnswer[request.waiter] = func(answer dispatch.Answer) {
		e.cluster.record("%s answers %s: %T", e.name, job.ID, answer)
		answered(answer)
	}
	e.cluster.record("%s is submitted to %s", job.ID, e.name)
	job.Received = e.cluster.now
	e.do(func() { e.handle(dispatch.Submitted{Job: job, Waiter: request.waiter}) })
	return request
}

// leave closes the request. The entry may not notice it.
func (r clusterRequest) leave(isNoticed bool) {
	if r.entry.life != r.life {
		return
	}
	r.entry.cluster.record("the caller of %s leaves %s", r.job, r.entry.name)
	delete(r.entry.onAnswer, r.waiter)
	if !isNoticed {
		return
	}
	r.entry.do(func() { r.entry.handle(dispatch.CallerLeft{Job: r.job, Waiter: r.waiter}) })
}

// follow submits a job at the entry of its submission, and again when its caller would.
func (c *cluster) follow(job plannedJob, submission int) {
	if submission == job.submissions {
		return
	}
	again := func(delay time.Duration) { c.after(delay, func() { c.follow(job, submission+1) }) }
	e := c.entries[(job.entry+submission)%len(c.entries)]
	if e.isDown {
		again(timing.CallerRetryDelay)
		return
	}
	submitted := clusterJob(job.id, job.tasks, job.runTime)
	submitted.RemainingTime = job.deadline
	submitted.Payload = job.prefix + submitted.Payload
	isOver := false
	request := e.submit(submitted, func(answer dispatch.Answer) {
		isOver = true
		if _, isFailed := answer.(dispatch.Failed); !isFailed || !c.noFailedAgain {
			again(retryDelayAfter(answer))
		}
	})
	c.after(job.patience, func() {
		if !isOver {
			isOver = true
			request.leave(!job.isSilent)
			again(timing.CallerRetryDelay)
		}
	})
}

// retryDelayAfter returns when a caller submits its job again after an answer: at once if the answer says how the job has ended or that it
// did not run, and after timing.CallerRetryDelay if it learns neither.
func retryDelayAfter(answer dispatch.Answer) time.Duration {
	switch answer.(type) {
	case dispatch.Completed, dispatch.Failed, dispatch.NotRun:
		return 0
	default:
		return timing.CallerRetryDelay
	}
}
