// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"math"
	"time"
)

// Speed of the worker
//
// Inputs: the run time and the expected time of each successful run, as for the slowness (health.go).
// Rule: the time factor is the geometric mean of the ratio of the two over the lifetime of the worker's incarnation.
// Runs whose ratio is far from the present factor do not count, nor do those on a worker that is temporarily slow.
// Reason: machines differ permanently in speed. A machine that always takes 1.7 times as long is not faulty, but a long
// job on it is late. Entries divide the run times that they learn by the factor, so that expected times are those of a
// worker with factor 1.

const (
	// speedRuns is the number of runs over which the factor is averaged. priorRuns is the number of runs for which the
	// initial assumption of a factor of 1 counts.
	speedRuns = 64
	priorRuns = 8
	// maxSpeedRatio is the largest ratio, in either direction, between the ratio of a counted run and the present
	// factor.
	maxSpeedRatio = 3
	// maxSteadySlowness is the slowness above which a worker counts as temporarily slow.
	maxSteadySlowness = 2
	// minSpeedChange is the smallest change of the factor that is sent to entries at once.
	minSpeedChange = 0.05
)

// speed estimates the worker's speed. The zero value is that of an unknown worker.
type speed struct {
	// logarithm is the mean logarithm of the ratios, and runs the number of runs in it.
	logarithm float64
	runs      int
}

// timeFactor returns the ratio of the worker's run times to the expected ones.
func (s speed) timeFactor() float64 { return math.Exp(s.logarithm) }

// observe returns the speed updated with the ratio of a successful run.
func (s speed) observe(ratio float64) speed {
	difference := math.Log(ratio) - s.logarithm
	if math.Abs(difference) > math.Log(maxSpeedRatio) {
		return s
	}
	s.runs = min(s.runs+1, speedRuns)
	s.logarithm += difference / float64(s.runs+priorRuns)
	return s
}

// updateSpeed updates the speed with a successful run, and sends the load if the factor differs enough from the one last
// sent.
func (r *Runner) updateSpeed(t *task, listed time.Duration) {
	if !t.hasComparableRunTime() || t.stretch(listed) <= 0 || r.health.slowness() > maxSteadySlowness {
		return
	}
	r.speed = r.speed.observe(t.stretch(listed))
	if math.Abs(r.speed.timeFactor()-r.sentTimeFactor) > minSpeedChange {
		r.sentTimeFactor = r.speed.timeFactor()
		r.markLoadDue()
	}
}
