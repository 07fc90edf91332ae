// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"math"
	"time"
)

// Speed of the worker
//
// Inputs: the run time and the expected time of each run that is done, both as for the slowness (health.go).
// Rule: the time factor is the mean ratio of the two, by its logarithm, over the life of the worker. Runs that take far longer or shorter
// than by the present factor do not count, nor do those of a worker that is slow for the moment.
// Reason: machines differ in speed for good. One that always takes 1.7 times as long is not ill, but a long job is late there. Entries
// divide the run times that they learn by the factor, so that expected times are those of a worker of the factor 1.

const (
	// speedRuns is the number of runs over which the factor is averaged, and priorRuns how many runs the assumption counts for that it is 1.
	speedRuns = 64
	priorRuns = 8
	// maxSpeedRatio is by how many times the ratio of a run may differ from the present factor.
	maxSpeedRatio = 3
	// maxSteadySlowness is the slowness from which a worker is slow for the moment.
	maxSteadySlowness = 2
	// minSpeedChange is the change of the factor that is sent to entries.
	minSpeedChange = 0.05
)

// speed is what is known of the worker's speed. The zero value is that of an unknown worker.
type speed struct {
	// logarithm is the mean logarithm of the ratios, and runs the number of runs in it.
	logarithm float64
	runs      int
}

// timeFactor returns by how many times runs take longer than expected.
func (s speed) timeFactor() float64 { return math.Exp(s.logarithm) }

// observe returns the speed with a run that is done.
func (s speed) observe(ratio float64) speed {
	difference := math.Log(ratio) - s.logarithm
	if math.Abs(difference) > math.Log(maxSpeedRatio) {
		return s
	}
	s.runs = min(s.runs+1, speedRuns)
	s.logarithm += difference / float64(s.runs+priorRuns)
	return s
}

// noteSpeed learns the speed of the worker from a run that is done, and sends the load if it has changed by enough since that was last due to it.
func (r *Runner) noteSpeed(t *task, listed time.Duration) {
	if !t.showsRunTime() || t.stretch(listed) <= 0 || r.health.slowness() > maxSteadySlowness {
		return
	}
	r.speed = r.speed.observe(t.stretch(listed))
	if math.Abs(r.speed.timeFactor()-r.toldTimeFactor) > minSpeedChange {
		r.toldTimeFactor = r.speed.timeFactor()
		r.markLoadDue()
	}
}
