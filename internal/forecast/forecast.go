// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package forecast

import (
	"fmt"
	"time"
)

const (
	// minJobs is the number of jobs of a kind that may wait whatever the rate. If none could wait, a rate that once fell to zero would never
	// recover, and a rate of few placements is inaccurate.
	minJobs = 4
)

// Backlog describes the queue in front of a job.
type Backlog struct {
	// Jobs is the number of jobs in front of it, Tasks the number of their waiting tasks.
	Jobs, Tasks int
}

// Forecast is the prediction for a job that would have to wait.
type Forecast struct {
	Ahead Backlog
	// PerSecond is the rate at which waiting tasks are placed. IsKnown is false if there is too little data for a rate; Wait is zero then.
	PerSecond float64
	IsKnown   bool
	// Wait is the expected time until the first task of the job is placed, capped at MaxWait.
	Wait time.Duration
	// Limit is the longest expected wait at which the job is still accepted. It allows for the usual error of forecasts.
	Limit time.Duration
}

// MaxWait is the cap of expected waits.
const MaxWait = time.Minute

// New returns the forecast for a job whose first task has to be placed within allowedWait.
//
// Inputs: the queue in front of the job at this entry, the rate at which such tasks were placed recently, and the accuracy of earlier
// forecasts.
//
// Rule: the expected wait is the number of tasks in front of the job, plus its first one, divided by the rate that one placement more would
// make. It is too long if a wait that is
// longer than expected, by no more than usual, would exceed allowedWait.
//
// Reason: a job that is accepted and then refused has made its caller wait in vain.
func New(now time.Time, ahead Backlog, rate *Rate, accuracy *Accuracy, allowedWait time.Duration) Forecast {
	f := Forecast{Ahead: ahead, Limit: time.Duration(float64(max(allowedWait, 0)) / accuracy.longestRatio())}
	f.PerSecond, f.IsKnown = rate.PerSecond(now)
	if f.IsKnown {
		f.Wait = timeToPlace(ahead.Tasks+1, rate.highestPerSecond())
	}
	return f
}

// timeToPlace returns how long it takes to place a number of tasks at a rate, capped at MaxWait.
func timeToPlace(tasks int, perSecond float64) time.Duration {
	if seconds := float64(tasks) / perSecond; perSecond > 0 && seconds < MaxWait.Seconds() {
		return time.Duration(seconds * float64(time.Second))
	}
	return MaxWait
}

// IsTooLong reports whether the job should be rejected because its expected wait is too long.
func (f Forecast) IsTooLong() bool {
	return f.IsKnown && f.Ahead.Jobs >= minJobs && f.Wait > f.Limit
}

// String formats the forecast for logs.
func (f Forecast) String() string {
	return fmt.Sprintf("ahead_jobs=%d ahead_tasks=%d placed_per_second=%.0f wait=%s limit=%s",
		f.Ahead.Jobs, f.Ahead.Tasks, f.PerSecond, f.Wait.Round(time.Millisecond), f.Limit.Round(time.Millisecond))
}
