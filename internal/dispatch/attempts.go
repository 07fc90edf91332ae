// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

// MaxAttempts returns the number of failed runs of a task, at least 1, after which its job has failed.
func (k Kind) MaxAttempts() int {
	return max(k.Attempts, 1)
}

// extraAttempts is the number of additional failed runs allowed if the latest failed on an unhealthy worker; see maxAttempts.
const extraAttempts = 3

// maxAttempts returns the number of failed runs of a task after which its job has failed, given the agent of the latest run.
//
// Inputs: the attempts of the job's kind, the health of the worker on which the latest run failed, whether the job is
// durable.
//
// Rule: Kind.MaxAttempts, plus extraAttempts if the job is not durable and the latest run failed on an unhealthy worker. Runs
// that were stopped, lost or not started do not count.
//
// Reason: a failure on a worker where many runs fail is weak evidence against the task. Durable jobs get no extra attempts:
// package durable counts their failed runs and ends them, and the store does not record the health of the worker.
func (d *Dispatcher) maxAttempts(j *job, id AgentID) int {
	attempts := j.Kind.MaxAttempts()
	if j.isDurable {
		return attempts
	}
	if a, ok := d.agents[id]; ok && !a.isHealthy() {
		attempts += extraAttempts
	}
	return attempts
}
