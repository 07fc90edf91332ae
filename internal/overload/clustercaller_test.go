// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"time"

	"sailhead/internal/dispatch"
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

// submit submits a job to the entry. answered is called with its answer.
func (e *clusterEntry) submit(job dispatch.Job, answered func(dispatch.Answer)) clusterRequest {
	e.lastWaiter++
	request := clusterRequest{entry: e, life: e.life, job: job.ID, waiter: e.lastWaiter}
	e.onAnswer[request.waiter] = func(answer dispatch.Answer) {
		e.cluster.record("%s answers %s with %T", e.name, job.ID, answer)
		answered(answer)
	}
	e.cluster.record("%s is submitted to %s", job.ID, e.name)
	job.Received = e.cluster.now
	e.do(func() { e.handle(dispatch.Submitted{Job: job, Waiter: request.waiter}) })
	return request
}

// leave closes the request, which the entry notices at once.
func (r clusterRequest) leave() {
	if r.entry.life != r.life {
		return
	}
	r.entry.cluster.record("the caller of %s leaves %s", r.job, r.entry.name)
	delete(r.entry.onAnswer, r.waiter)
	r.entry.do(func() { r.entry.handle(dispatch.CallerLeft{Job: r.job, Waiter: r.waiter}) })
}
