// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

const (
	// maxSlowness is the slowness from which a worker is unhealthy; see isHealthy. It was 2.5 until commit bba2d87; not
	// varied alone.
	maxSlowness = 3.5
	// maxFailureRate is the failure rate from which a worker is unhealthy; see isHealthy. Not measured.
	maxFailureRate = 0.25
)

// isHealthy reports whether the latest runs on the worker went well.
//
// Inputs: the slowness (how many times its usual time a task takes) and the failure rate (0 to 1) that the agent
// reports with the load; package runner averages them over the latest runs.
//
// Rule: the slowness is below maxSlowness and the failure rate below maxFailureRate.
//
// Reason: an unhealthy worker gets tasks only if no healthy one has resources (plan.go), its runs may be moved
// (move.go), and failed runs on it count less (attempts.go).
//
// Measured: commit bba2d87, with the moving of runs and other changes: score of vtf-bokning 0.926 before and after, of
// dyfrdwy-prod 0.924 and 0.920.
func (a *agent) isHealthy() bool {
	return a.load.Slowness < maxSlowness && a.load.FailureRate < maxFailureRate
}

// isAgentHealthy reports whether an agent is in session and its worker healthy.
func (d *Dispatcher) isAgentHealthy(id AgentID) bool {
	a, ok := d.agents[id]
	return ok && a.isHealthy()
}
