// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package forecast

import (
	"fmt"
	"time"
)

const (
	// waitShare is the part, 0 to 1, of the time for which a job may wait that its expected wait may take. Waits scatter about the forecast, as
	// tasks that need more than others wait longer.
	waitShare = 0.65
	// minJobs is how many jobs of a kind may wait whatever the rate. Without any the rate would stay at zero once nothing was placed, and the
	// rate of few is uncertain.
	minJobs = 4
)

// Ahead is what waits before a job.
type Ahead struct {
	// Jobs is the number of jobs, Tasks that of their tasks that wait.
	Jobs, Tasks int
}

// Forecast is what is expected of a job that would have to wait.
type Forecast struct {
	Ahead Ahead
	// PerSecond is the rate at which tasks are placed that wait. IsKnown is false if too little was seen for a rate; Wait is zero then.
	PerSecond float64
	IsKnown   bool
	// Wait is the expected time until the first task of the job is placed, MaxWait if it is longer.
	Wait time.Duration
	// Limit is the longest expected wait with which the job is accepted.
	Limit time.Duration
}

// MaxWait is the longest wait that a forecast tells apart.
const MaxWait = time.Minute

// New returns the forecast for a job that may wait for some time until its first task is placed.
//
// Inputs: the tasks that wait before it at this entry, the rate at which such tasks were placed lately.
//
// Rule: the tasks before it and its first one take their number divided by the rate.
func New(now time.Time, ahead Ahead, rate *Rate, mayWait time.Duration) Forecast {
	f := Forecast{Ahead: ahead, Limit: time.Duration(waitShare * float64(max(mayWait, 0)))}
	f.PerSecond, f.IsKnown = rate.PerSecond(now)
	if f.IsKnown {
		f.Wait = timeOf(ahead.Tasks+1, f.PerSecond)
	}
	return f
}

// timeOf returns how long some tasks take at a rate.
func timeOf(tasks int, perSecond float64) time.Duration {
	if seconds := float64(tasks) / perSecond; perSecond > 0 && seconds < MaxWait.Seconds() {
		return time.Duration(seconds * float64(time.Second))
	}
	return MaxWait
}

// IsTooLong reports whether the job should be refused, as it would wait for too long.
func (f Forecast) IsTooLong() bool {
	return f.IsKnown && f.Ahead.Jobs >= minJobs && f.Wait > f.Limit
}

// String returns the figures of the forecast for logs.
func (f Forecast) String() string {
	return fmt.Sprintf("ahead_jobs=%d ahead_tasks=%d placed_per_second=%.0f wait=%s limit=%s",
		f.Ahead.Jobs, f.Ahead.Tasks, f.PerSecond, f.Wait.Round(time.Millisecond), f.Limit.Round(time.Millisecond))
}
