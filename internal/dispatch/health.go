// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import "time"

const (
	// maxSlowness is the slowness from which a worker is unhealthy; see isHealthy.
	maxSlowness = 2.5
	// maxFailureRate is the failure rate from which a worker is unhealthy; see isHealthy.
	maxFailureRate = 0.25
	// maxSpeedWaitShare is the part, 0 to 1, of its slack for which a job waits for a worker that is fast enough; see isTooSlow.
	maxSpeedWaitShare = 0.3
	// speedMargin is by how many times the time of a job on a worker is taken for longer, as it is an estimate.
	speedMargin = 1.1
)

// isHealthy reports whether the latest runs on the worker went well.
//
// Inputs: the slowness (how many times its usual time a task takes) and the failure rate (0 to 1) that the agent
// reports with the load; package runner averages them over the latest runs.
//
// Rule: the slowness is below maxSlowness, the failure rate below maxFailureRate, and the worker is not ejected.
//
// Reason: an unhealthy worker gets tasks only if no healthy one has resources (plan.go) and the job is in time there
// (isTooSlow), its runs may be moved (move.go), and failed runs on it count less (attempts.go).
func (a *agent) isHealthy() bool {
	return a.load.Slowness < maxSlowness && !a.isFailing() && !a.load.IsEjected
}

// isFailing reports whether many of the latest runs on the worker failed.
func (a *agent) isFailing() bool {
	return a.load.FailureRate >= maxFailureRate
}

// isTooSlow reports whether a job that is placed on the worker now would be late for that reason.
//
// Inputs: the slowness and the time factor of the worker, the longest chain of the job and its distance (distance.go), its objective or, if that
// can no longer be reached, when its answer is useless, how long it has waited.
//
// Rule: a chain that takes as many times longer as the worker is slow ends after that. A worker that is slow for good, but healthy, is
// not too slow for a job that has waited for maxSpeedWaitShare of its slack.
//
// Reason: a job that waits for a healthy worker is served sooner than one on a worker that hangs. On a worker that is slow for good short
// jobs are in time and long ones are late, so each gets a worker that suits it while there is one; late is better than refused.
func (a *agent) isTooSlow(now time.Time, j *job) bool {
	limit := j.arrived.Add(j.objective)
	if now.After(j.startBy) {
		limit = j.arrived.Add(j.uselessAfter())
	}
	usual := j.chainAt(a)
	if !a.isHealthy() {
		return now.Add(time.Duration(a.load.Slowness * float64(usual))).After(limit)
	}
	end := now.Add(time.Duration(speedMargin * float64(usual)))
	return end.After(limit) && now.Before(j.waitsUntil(maxSpeedWaitShare))
}

// isAgentHealthy reports whether an agent is in session and its worker healthy.
func (d *Dispatcher) isAgentHealthy(id AgentID) bool {
	a, ok := d.agents[id]
	return ok && a.isHealthy()
}
