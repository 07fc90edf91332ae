// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

// MaxAttempts returns how many runs of a task may fail before its job has failed, at least 1.
func (k Kind) MaxAttempts() int {
	return max(k.Attempts, 1)
}

// extraAttempts is how many more runs may fail if the latest failed on an unhealthy worker; see maxAttempts.
const extraAttempts = 3

// maxAttempts returns how many runs of a task may fail, the latest of them at a given agent.
//
// Inputs: the attempts of the job's kind, the health of the worker where the latest run failed, whether the job is
// durable.
//
// Rule: Kind.MaxAttempts, and extraAttempts more if the job is not durable and the latest run failed on an unhealthy
// worker. Runs that were stopped, lost or not started do not count.
//
// Reason: a run that failed on a worker where many runs fail says little of the task. Durable jobs get no extra
// attempts: package durable counts their failed runs from the store, where the health of the worker is not recorded,
// and both must end the job after the same run.
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
