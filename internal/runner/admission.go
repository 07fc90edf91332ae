// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/timing"
)

// Admission
//
// Inputs: the shutdown of the agent, the worker's record, the answers to renewals and starts, the listing of runs.
// Rule: rejectionReason returns the first condition that prevents new tasks. While there is one, Load.Accepts is false and
// queued tasks wait. If the worker is only full, tasks are accepted into the queue. Load.Accepts is also false while the
// worker is ejected, although some starts are accepted then (ejectedReason).
// Reason: the entry places a rejected task on another worker at once. A task that was sent to a worker that does not
// answer can run elsewhere only after its lease has expired.

// Reasons for rejecting new tasks.
const (
	reasonShuttingDown       = "the agent is shutting down"
	reasonNoWorker           = "the worker is down"
	reasonNotDescribed       = "the worker has not described itself since it started again"
	reasonDraining           = "the worker is draining"
	reasonEvacuated          = "the worker's availability zone is evacuated"
	reasonUnresponsive       = "the worker is unresponsive"
	reasonRunsUnknown        = "the runs on the worker are not known yet"
	reasonUnhealthy          = "the worker is unhealthy"
	reasonUnacknowledgedEnds = "too many ends are unacknowledged"
	reasonLeaseHeldBack      = "stopped runs on the worker have not ended"
	reasonOrphans            = "the worker still runs tasks of an earlier agent"
	reasonEjected            = "the worker is ejected"
	reasonSessionExpired     = "the session's lease has expired"
	reasonQueueFull          = "the queue is full"
)

const (
	// unhealthyBackoff is how long the worker gets no tasks after it rejected a call as unhealthy.
	unhealthyBackoff = 400 * time.Millisecond
	// fullBackoff is how long no task is started after the worker rejected one for lack of resources although the runner's own count had
	// room for it. It is the time until the next listing.
	fullBackoff = timing.RenewInterval
)

// rejectionReason returns why new tasks are rejected, or "" if they are accepted.
func (r *Runner) rejectionReason(now time.Time) string {
	switch {
	case r.shuttingDown:
		return reasonShuttingDown
	case r.worker == nil:
		return reasonNoWorker
	case !r.worker.isDescribed:
		return reasonNotDescribed
	case r.worker.record.Draining:
		return reasonDraining
	case r.evacuations.IsEvacuated(r.worker.record.Zone):
		return reasonEvacuated
	case r.worker.isUnresponsive(now):
		return reasonUnresponsive
	case !r.worker.knowsAllRuns:
		return reasonRunsUnknown
	case now.Before(r.worker.unhealthyUntil):
		return reasonUnhealthy
	case len(r.worker.unacknowledged) >= maxUnacknowledged:
		return reasonUnacknowledgedEnds
	case len(r.worker.orphans) > 0:
		return reasonOrphans
	case r.isLeaseHeldBack(now):
		return reasonLeaseHeldBack
	default:
		return ""
	}
}

// startRejectionReason returns why a task of a session is rejected, or "" if it is queued.
func (r *Runner) startRejectionReason(now time.Time, id SessionID, t Task) string {
	if !r.isSessionValid(now, id) {
		return reasonSessionExpired
	}
	if reason := r.rejectionReason(now); reason != "" {
		return reason
	}
	if reason := r.ejectedReason(id, t); reason != "" {
		return reason
	}
	if len(r.queue) >= r.limits.Queue {
		return reasonQueueFull
	}
	return ""
}

const (
	// minLoadInterval is the shortest time between two load messages on a session.
	minLoadInterval = 20 * time.Millisecond
	// loadIntervalPerSession is how much each session adds to the interval between load messages; see loadInterval. It limits an agent to 125 load
	// messages a second to entries without tasks or reservations here, regardless of the number of entries.
	loadIntervalPerSession = 8 * time.Millisecond
)

// loadInterval returns the shortest time between two load messages on a session.
//
// Inputs: whether tasks or reservations of the session changed since the last load message, the number of sessions.
//
// Rule: minLoadInterval after a change of the session's own tasks or reservations. After changes by other entries,
// loadIntervalPerSession times the number of sessions, at least minLoadInterval and at most the ping interval: the load is then sent
// together with a ping.
//
// Reason: an entry receives the loads of all its agents, so the interval determines how much each entry has to read, and
// the number of sessions how much an agent has to write. An entry with tasks here releases its own count of them with
// the next load message.
func (r *Runner) loadInterval(s *session) time.Duration {
	if s.ownLoadDue {
		return minLoadInterval
	}
	return max(minLoadInterval, min(r.limits.Ping, time.Duration(len(r.sessions))*loadIntervalPerSession))
}

// markLoadDue marks the load as due for every session. It is sent at the end of the current event or when loadInterval
// has passed.
func (r *Runner) markLoadDue() {
	for _, s := range r.sessions {
		s.loadDue = true
	}
}

// sendLoads sends the load on the sessions for which it is due.
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

// currentLoad returns the load that entries use for placement. Queued tasks and offers count as used resources.
func (r *Runner) currentLoad(now time.Time) Load {
	load := Load{
		KnowsAllEnds: r.knowsAllEnds(now), ShuttingDown: r.shuttingDown,
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
	mayAccept := r.rejectionReason(now) == ""
	load.IsEjected = mayAccept && r.isEjected()
	load.Accepts = mayAccept && !load.IsEjected
	return load
}
