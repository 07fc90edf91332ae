// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"math"
	"time"

	"sailhead/internal/shares"
	"sailhead/internal/worker"
)

// This file applies what agents tell of the room that long tasks leave free for shorter ones. Package runner decides on it (headroom.go).

// room is the time that bounds the tasks for which a service may still have resources, after a job of it has found none: only tasks that
// take less time may find some.
type room time.Duration

const (
	roomForNone   room = 0
	roomForOthers room = math.MaxInt64
)

// rooms holds the least room that the jobs of a placement have left until now, by the names of the services.
type rooms map[string]room

// isFull reports whether there is no room for a job.
func (r rooms) isFull(j *job) bool {
	left, ok := r[j.Kind.Service]
	return ok && room(j.shortestTask()) >= left
}

// note notes the room that is left after a job.
func (r rooms) note(j *job, left room) {
	if earlier, ok := r[j.Kind.Service]; ok {
		left = min(left, earlier)
	}
	r[j.Kind.Service] = left
}

// shortestTask returns the estimated time of the job's shortest tasks.
func (j *job) shortestTask() time.Duration {
	shortest := j.times[0].task
	for _, step := range j.times {
		shortest = min(shortest, step.task)
	}
	return shortest
}

// headroomAt returns what tasks have to leave free at an agent for shorter ones.
func (d *Dispatcher) headroomAt(a *agent) []shares.Bound {
	if d.limits.NoShares {
		return nil
	}
	return a.load.Headroom
}

// mostlyFullShare is the part, 0 to 1, of the agents without room for the longest tasks above which room counts as kept.
const mostlyFullShare = 0.9

// isRoomKept reports whether next to no agent has room for the longest tasks while some keep room for shorter ones. It is
// false while the entry does not keep up (congestion.go), as each reservation costs messages.
func (d *Dispatcher) isRoomKept(agents []*agent, needs worker.Resources) bool {
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
