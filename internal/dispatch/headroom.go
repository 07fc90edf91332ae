// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"math"
	"time"

	"sailhead/internal/shares"
	"sailhead/internal/worker"
)

// This file applies the headroom that long tasks leave free for shorter ones. The agents determine it (runner/headroom.go) and report
// it with their load.

// durationBound is the duration below which a task may still find free resources after a job of the same service found too few.
// Longer tasks need not be tried.
type durationBound time.Duration

const (
	// fitsNone means that no task may find resources.
	fitsNone durationBound = 0
	// fitsAny means that tasks of any duration may find resources.
	fitsAny durationBound = math.MaxInt64
)

// durationBounds holds, by service name, the smallest bound that resulted from the jobs placed so far in one call of place.
type durationBounds map[string]durationBound

// isFull reports whether no task of a job is below the bound of its service.
func (r durationBounds) isFull(j *job) bool {
	left, ok := r[j.Kind.Service]
	return ok && durationBound(j.shortestTask()) >= left
}

// add lowers the bound of a job's service to the one that resulted from placing the job.
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

// headroomAt returns the resources that tasks have to leave free for shorter ones at an agent.
func (d *Dispatcher) headroomAt(a *agent) []shares.HeadroomBound {
	if d.limits.NoShares {
		return nil
	}
	return a.load.Headroom
}

// mostlyFullShare is the share of agents without resources for the longest tasks above which isHeadroomKept may be true.
const mostlyFullShare = 0.9

// isHeadroomKept reports whether nearly all agents lack resources for the longest tasks while at least one keeps headroom for shorter
// ones. It is false while the entry is congested (congestion.go), as each reservation costs messages.
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
