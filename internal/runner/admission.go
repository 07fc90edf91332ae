// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/timing"
)

// When the worker accepts tasks
//
// Inputs: the shutdown of the agent, the worker's record, the answers to renewals and starts, its listing of runs.
// Rule: refusalReason returns the first condition that prevents new tasks. Load.Accepts is false while there is one, and
// queued tasks wait. A worker that is only full accepts tasks into the queue. Load.Accepts is false also
// while the worker is ejected, although some starts are accepted then (ejectedReason).
// Reason: the entry places a rejected task elsewhere at once. A task that is sent to a worker which does not answer can
// run elsewhere only after its lease has expired.

// The reasons for which new tasks are rejected.
const (
	reasonShuttingDown       = "the agent is shutting down"
	reasonNoWorker           = "the worker is down"
	reasonNotDescribed       = "the worker has not described itself since it started again"
	reasonDraining           = "the worker is draining"
	reasonEvacuated          = "the worker's availability zone is evacuated"
	reasonUnresponsive       = "the worker is unresponsive"
	reasonNotSurveyed        = "the runs on the worker are not known yet"
	reasonUnhealthy          = "the worker is unhealthy"
	reasonUnacknowledgedEnds = "too many ends are unacknowledged"
	reasonOrphans            = "the worker still runs tasks of an earlier agent"
	reasonEjected            = "the worker is ejected"
	reasonSessionExpired     = "the session's lease has expired"
	reasonQueueFull          = "the queue is full"
)

const (
	// unhealthyBackoff is how long a worker gets no tasks after it rejected a call as unhealthy.
	unhealthyBackoff = 400 * time.Millisecond
	// fullBackoff is how long no task is started after the worker rejected one for lack of resources although it fits by the runner's own
	// count: the time to the next listing.
	fullBackoff = timing.RenewInterval
)

// refusalReason returns why the worker gets no new tasks, or "" if it accepts them.
func (r *Runner) refusalReason(now time.Time) string {
	switch {
	case r.shuttingDown:
		return reasonShuttingDown
	case r.worker == nil:
		return reasonNoWorker
	case !r.worker.isDescribed:
		return reasonNotDescribed
	case r.worker.record.Draining:
		return reasonDraining
	case r.evacuations.Has(r.worker.record.Zone):
		return reasonEvacuated
	case r.worker.isUnresponsive(now):
		return reasonUnresponsive
	case !r.worker.isSurveyed:
		return reasonNotSurveyed
	case now.Before(r.worker.unhealthyUntil):
		return reasonUnhealthy
	case len(r.worker.unacknowledged) >= maxUnacknowledged:
		return reasonUnacknowledgedEnds
	case len(r.worker.orphans) > 0:
		return reasonOrphans
	default:
		return ""
	}
}

// startRefusalReason returns why the start of a task of a session is rejected, or "" if the task is queued.
func (r *Runner) startRefusalReason(now time.Time, id SessionID, t Task) string {
	if reason := r.refusalReason(now); reason != "" {
		return reason
	}
	if reason := r.ejectedReason(id, t); reason != "" {
		return reason
	}
	if !r.isSessionValid(now, id) {
		return reasonSessionExpired
	}
	if len(r.queue) >= r.limits.Queue {
		return reasonQueueFull
	}
	return ""
}

const (
	// minLoadInterval is the shortest time between two loads on a session.
	minLoadInterval = 20 * time.Millisecond
	// loadShare is the part of the interval between loads that each session adds; see loadInterval. It bounds what an agent sends to
	// entries that have nothing here to 125 loads a second, however many they are.
	loadShare = 8 * time.Millisecond
)

// loadInterval returns the shortest time between two loads on a session.
//
// Inputs: whether tasks or reservations of the session changed since the last load, the number of sessions.
//
// Rule: minLoadInterval after a change of its own. For changes by other entries loadShare for each session, at least
// minLoadInterval and at most the interval of pings, with which the load then goes.
//
// Reason: each entry gets the loads of all its agents, so their pace decides what an entry has to read, and the number of
// sessions what an agent has to write. An entry with tasks here frees its own count of them by the next load.
func (r *Runner) loadInterval(s *session) time.Duration {
	if s.ownLoadDue {
		return minLoadInterval
	}
	return max(minLoadInterval, min(r.limits.Ping, time.Duration(len(r.sessions))*loadShare))
}

// markLoadDue makes the runner send the load to every entry, at the end of the current event or when loadInterval has
// passed.
func (r *Runner) markLoadDue() {
	for _, s := range r.sessions {
		s.loadDue = true
	}
}

// sendLoads sends the load to the entries for which it is due.
func (r *Runner) sendLoads(now time.Time) {
	for _, s := range r.sessionsInOrder() {
		if s.loadDue && now.Sub(s.loadSent) >= r.loadInterval(s) {
			s.loadDue = false
			s.ownLoadDue = false
			s.loadSent = now
			r.emit(SendLoad{Session: s.id, Handled: s.lastHandledStart, Load: r.currentLoad(now)})
		}
	}
}

// currentLoad returns the load that entries use for placement. It counts queued tasks and offers as used resources.
func (r *Runner) currentLoad(now time.Time) Load {
	load := Load{
		KnowsAllEnds: r.hasHeard(now), ShuttingDown: r.shuttingDown,
		Slowness: r.health.slowness(), FailureRate: r.health.failureRate(), TimeFactor: r.speed.timeFactor(),
	}
	if r.worker == nil {
		return load
	}
	load.Used = r.worker.unavailable().Plus(r.offered)
	load.HasReservations = r.hasReservations(now)
	load.Headroom = r.bounds(now)
	for _, t := range r.queue {
		load.Used = load.Used.Plus(t.Needs)
	}
	mayAccept := r.refusalReason(now) == ""
	load.IsEjected = mayAccept && r.isEjected()
	load.Accepts = mayAccept && !load.IsEjected
	return load
}
