// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package forecast

import (
	"math"
	"time"
)

const (
	// waitWeight is the weight of the latest wait in the averages.
	waitWeight = 0.05
	// priorDeviation is the mean deviation of waits from their forecasts, as a fraction of the latter, that is assumed before the first one.
	priorDeviation = 0.5
)

// Accuracy tracks by how much the waits of one kind differ from their forecasts. The zero value assumes forecasts that are right on
// average.
type Accuracy struct {
	// expected and actual are moving averages of expected and actual waits, in seconds, and deviation one of the differences between an actual
	// wait and the expected one times the ratio of the averages. All are zero before the first wait.
	expected, actual, deviation float64
}

// Observe records the actual wait of a job, or how long it had waited when it was refused.
func (a *Accuracy) Observe(expected, actual time.Duration) {
	if expected <= 0 {
		return
	}
	if a.expected == 0 {
		a.expected, a.actual, a.deviation = expected.Seconds(), expected.Seconds(), priorDeviation*expected.Seconds()
	}
	off := math.Abs(actual.Seconds() - a.ratio()*expected.Seconds())
	a.expected += waitWeight * (expected.Seconds() - a.expected)
	a.actual += waitWeight * (actual.Seconds() - a.actual)
	a.deviation += waitWeight * (off - a.deviation)
}

// ratio returns the ratio of actual to expected waits.
func (a *Accuracy) ratio() float64 {
	if a.expected == 0 {
		return 1
	}
	return a.actual / a.expected
}

// longestRatio returns the ratio of the longest usual wait to the expected one: the mean ratio and one mean deviation more. It is at least 1, as
// forecasts that were too long say little about the next one.
func (a *Accuracy) longestRatio() float64 {
	if a.expected == 0 {
		return 1 + priorDeviation
	}
	return max(1, (a.actual+a.deviation)/a.expected)
}
