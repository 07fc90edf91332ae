// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"math"
	"time"

	"sailhead/internal/shares"
	"sailhead/internal/worker"
)

// This file applies the headroom that long tasks leave to shorter ones, as reported by the agents. Package runner decides on it
// (headroom.go).

// durationBound bounds the duration of the tasks for which a service may still have resources after none were found for one of its jobs:
// only tasks with a shorter duration may find some.
type durationBound time.Duration

const (
	fitsNone durationBound = 0
	fitsAny  durationBound = math.MaxInt64
)

// durationBounds holds, by service name, the smallest room left by the jobs of a placement so far.
type durationBounds map[string]durationBound

// isFull reports whether no task of a job is short enough for the room left.
func (r durationBounds) isFull(j *job) bool {
	left, ok := r[j.Kind.Service]
	return ok && durationBound(j.shortestTask()) >= left
}

// add records the room that is left after a job.
func (r durationBounds) add(j *job, left durationBound) {
	if earlier, ok := r[j.Kind.Service]; ok {
		left = min(left, earlier)
	}
	r[j.Kind.Service] = left
}

// shortestTask returns the estimated duration of the job's shortest tasks.
func (j *job) shortestTask() time.Duration {
	shortest := j.times[0].task
	for _, step := range j.times {
		shortest = min(shortest, step.task)
	}
	return shortest
}

// headroomAt returns the resources that tasks have to leave free at an agent for shorter ones.
func (d *Dispatcher) headroomAt(a *agent) []shares.HeadroomBound {
	if d.limits.NoShares {
		return nil
	}
	return a.load.Headroom
}

// mostlyFullShare is the share of agents without resources for the longest tasks above which isHeadroomKept may hold.
const mostlyFullShare = 0.9

// isHeadroomKept reports whether nearly all agents lack resources for the longest tasks while some keep headroom for shorter ones. It
// is false while the entry is congested (congestion.go), as each reservation costs messages.
func (d *Dispatcher) isHeadroomKept(agents []*agent, needs worker.Resources) bool {
	full, keeping := 0, 0
	for _, a := range agents {
		if !needs.Fits(a.freeForLongest()) {
			full++
		}
		if len(d.headroomAt(a)) > 0 {
			keeping++
		}
	}
	return keeping > 0 && float64(full) > mostlyFullShare*float64(len(agents)) && !d.congestion.isLimited()
}

// freeForLongest returns the free resources that the longest tasks may use without an offer.
func (a *agent) freeForLongest() worker.Resources {
	free := a.unreserved()
	free.CPU -= shares.HeadroomCPU(a.load.Headroom, math.MaxInt64)
	return free
}
