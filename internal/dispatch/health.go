// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import "time"

const (
	// maxSlowness is the slowness from which a worker is unhealthy; see isHealthy.
	maxSlowness = 2.5
	// maxFailureRate is the failure rate from which a worker is unhealthy; see isHealthy.
	maxFailureRate = 0.25
)

// isHealthy reports whether the latest runs on the worker went well.
//
// Inputs: the slowness (the duration of tasks as a multiple of the usual one) and the failure rate (0 to 1) that the agent
// reports with the load; package runner averages them over the latest runs.
//
// Rule: the slowness is below maxSlowness, the failure rate below maxFailureRate, and the worker is not ejected.
//
// Reason: an unhealthy worker gets tasks only if no healthy one has resources (plan.go) and the job meets its limit there
// (isTooSlow), its runs may be moved (move.go), and failed runs on it count less (attempts.go).
func (a *agent) isHealthy() bool {
	return a.load.Slowness < maxSlowness && !a.isFailing() && !a.load.IsEjected
}

// isFailing reports whether the failure rate of the latest runs on the worker is too high for a healthy worker.
func (a *agent) isFailing() bool {
	return a.load.FailureRate >= maxFailureRate
}

// isTooSlow reports whether a job had better wait for another worker than be placed on this one now.
//
// Inputs: the slowness and the time factor of the worker, the longest chain of the job and its distance (distance.go), for how long the job has
// waited, startBy, and when the job expires.
//
// Rule: a worker is too slow until the job has waited for as long as it would take longer there than on a usual worker, or until startBy if
// that comes sooner. Differences below minSpeedRatio do not count. After that a healthy worker is not too slow, and an unhealthy one is if the
// job would not end there before it expires.
//
// Reason: a worker of the usual speed may have resources soon. A job that waits for it no longer than that can save loses little if none has.
// A worker that is permanently slow is better than none, while a job that is placed on a worker that hangs is not answered at all.
func (a *agent) isTooSlow(now time.Time, j *job) bool {
	usual, work := j.criticalPath(), j.criticalPathAt(a)
	if !a.isHealthy() {
		work = time.Duration(a.load.Slowness * float64(work))
	}
	isSlower := float64(work) > minSpeedRatio*float64(usual)
	if isSlower && now.Before(earlier(j.startBy, j.arrived.Add(work-usual))) {
		return true
	}
	return !a.isHealthy() && now.Add(work).After(j.expiresAt())
}

// isAgentHealthy reports whether an agent is in session and its worker is healthy.
func (d *Dispatcher) isAgentHealthy(id AgentID) bool {
	a, ok := d.agents[id]
	return ok && a.isHealthy()
}
