// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package model

import "time"

// MaxUrgency is the highest urgency of a kind; 0 is the lowest.
const MaxUrgency = 9

// Load is the load of a worker, as its guard reports it.
type Load struct {
	Worker string
	// Slots is the number of tasks that the worker runs at a time, Running how many it runs now.
	Slots   int
	Running int
	// Queued counts the waiting tasks of each urgency.
	Queued [MaxUrgency + 1]int
	// Work is the expected work of the waiting tasks of each urgency.
	Work [MaxUrgency + 1]time.Duration
	// Rest is the expected work that the running tasks have left.
	Rest time.Duration
	// Share is the part of the slots that each urgency has used lately.
	Share [MaxUrgency + 1]float64
	// Mean is the worker's mean service time over all kinds.
	Mean time.Duration
	// Leaving is set while the worker accepts no new tasks.
	Leaving bool
	// Measured is when the guard measured the load, by its own clock.
	Measured time.Time
}

// IsNewer reports whether the load was measured after the other.
func (l Load) IsNewer(other Load) bool {
	return l.Measured.After(other.Measured)
}

// Ahead counts the tasks that a new one of the urgency would wait for.
func (l Load) Ahead(urgency int) int {
	count := l.Running
	for _, queued := range l.Queued[urgency:] {
		count += queued
	}
	return count
}

// WorkAhead is the expected work of the tasks that a new one of the urgency would wait for.
func (l Load) WorkAhead(urgency int) time.Duration {
	work := l.Rest
	for _, each := range l.Work[urgency:] {
		work += each
	}
	return work
}

// ShareAbove is the part of the slots that more urgent tasks have used lately.
func (l Load) ShareAbove(urgency int) float64 {
	var share float64
	for _, each := range l.Share[urgency+1:] {
		share += each
	}
	return share
}
