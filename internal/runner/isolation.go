// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/timing"
)

// Isolation
//
// Inputs: how long no entry has had a session, whether ends are unacknowledged.
// Rule: an agent that has had no session for timing.IsolationTimeout and holds unacknowledged ends requests no lease from its worker, until an
// entry has a session again.
// Reason: owners do not wait longer for the ends of an agent that can tell nobody, and run the tasks again. The worker's lease must have expired
// by then, so that the earlier ends do not count. Without a session nothing runs on the worker that would end with its lease.

// recordSessions records at each tick whether an entry has a session.
func (r *Runner) recordSessions(now time.Time) {
	if len(r.sessions) > 0 || r.lastInSession.IsZero() {
		r.lastInSession = now
	}
}

// isIsolated reports whether the agent can tell no entry of the ends that it holds.
func (r *Runner) isIsolated(now time.Time) bool {
	hasEnds := len(r.earlierEnds) > 0 || r.worker != nil && len(r.worker.unacknowledged) > 0
	return hasEnds && len(r.sessions) == 0 && now.Sub(r.lastInSession) >= timing.IsolationTimeout
}
