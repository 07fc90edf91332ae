// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/timing"
	"sailhead/internal/worker"
)

// Orphaned runs
//
// Inputs: runs and ends that the worker lists and that this process did not start, as an earlier process of the agent
// leaves them behind.
// Rule: an orphaned run is stopped every stopRetryInterval until it is no longer listed, and the worker gets no new tasks
// until then. Ends of orphans are resent to all entries for timing.OrphanEndTimeout after the incarnation was first
// seen: they may belong to durable jobs.
// Reason: the entry that owned the run has lost its session with the earlier process and will place the task elsewhere.
// Measured: see timing.OrphanEndTimeout.

// stopOrphan stops a listed run that this process did not start.
func (r *Runner) stopOrphan(now time.Time, run worker.Run) {
	lastStop, isKnown := r.worker.orphans[run.Name]
	if isKnown && now.Sub(lastStop) < stopRetryInterval {
		return
	}
	r.worker.orphans[run.Name] = now
	r.emitStop(run.Name, run.Run)
	r.markLoadDue()
}

// forgetEndedOrphans removes the orphans that are no longer listed.
func (r *Runner) forgetEndedOrphans(listed map[string]worker.Run) {
	for name := range r.worker.orphans {
		if _, isListed := listed[name]; !isListed {
			delete(r.worker.orphans, name)
			r.markLoadDue()
		}
	}
}

// retainOrphanEnd makes the worker remember the end of an orphan, for a limited time.
func (r *Runner) retainOrphanEnd(now time.Time, end worker.End) {
	expires := r.worker.firstSeen.Add(timing.OrphanEndTimeout)
	if hasResult(end.Ending) && now.Before(expires) && len(r.worker.unacknowledged) < maxUnacknowledged {
		r.worker.unacknowledged[end.Number] = &unacknowledgedEnd{update: updateOf(end), expires: expires}
	}
}
