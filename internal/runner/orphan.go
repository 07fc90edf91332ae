// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/worker"
)

// Orphaned runs
//
// Inputs: listed runs and ends that this process did not start, left behind by an earlier agent process.
// Rule: an orphaned run is stopped like a task's run (stop.go). The worker gets no new tasks until every orphan has
// ended, nor before a listing that was requested at least Limits.Stop after the incarnation was first seen. Ends of
// orphans are kept and resent like those of durable tasks (acknowledge.go), because they may belong to durable jobs.
// Reason: the entry that owned the run has lost its session with the earlier process and places the task elsewhere. The
// resource usage of an orphan is unknown, and some workers accept starts that exceed their capacity. A run that the
// earlier process was stopping may not be listed; it has ended after Limits.Stop.

// stopOrphan stops a listed run that this process did not start.
func (r *Runner) stopOrphan(now time.Time, run worker.Run) {
	if known, ok := r.worker.orphans[run.Name]; ok && known.run >= run.Run {
		return
	}
	r.worker.orphans[run.Name] = r.newStop(now, run.Name, run.Run)
	r.markLoadDue()
}

// resolveOrphans removes the orphans that have ended according to a listing requested at sent.
func (r *Runner) resolveOrphans(sent time.Time, listed map[string]worker.Run) {
	for name, orphan := range r.worker.orphans {
		if _, isListed := listed[name]; !isListed && orphan.hasEnded(sent, r.stopBound()) {
			r.removeOrphan(name)
		}
	}
}

// endOrphan applies the end of a run that this process did not start.
func (r *Runner) endOrphan(now time.Time, end worker.End) {
	if orphan, ok := r.worker.orphans[end.Name]; ok && orphan.run <= end.Run {
		r.removeOrphan(end.Name)
	}
	if hasResult(end.Ending) {
		r.retainUnreportedEnd(now, end)
	}
}

func (r *Runner) removeOrphan(name string) {
	delete(r.worker.orphans, name)
	r.markLoadDue()
}

// updateKnowsAllRuns records that every run of an earlier process is known, if a listing requested at sent is late enough. Any such
// run is either listed or was being stopped and has ended.
func (r *Runner) updateKnowsAllRuns(sent time.Time, mayBeStale bool) {
	w := r.worker
	if w.knowsAllRuns || mayBeStale || w.clock == 0 || !sent.After(w.firstSeen.Add(r.stopBound())) {
		return
	}
	w.knowsAllRuns = true
	r.markLoadDue()
}

// knowsAllEnds reports whether this process knows of every run that has ended on the worker, except in the latest moment:
// it has learned what an earlier process left there, and the worker responds. The ends of an ended incarnation are lost
// with it.
func (r *Runner) knowsAllEnds(now time.Time) bool {
	if r.worker == nil {
		return r.hadWorker
	}
	return r.worker.knowsAllRuns && !r.worker.isUnresponsive(now)
}

// sendLoadIfKnowledgeChanged sends the load when knowsAllEnds changes, because an owner of durable jobs may be waiting for it.
func (r *Runner) sendLoadIfKnowledgeChanged(now time.Time) {
	if knowsAllEnds := r.knowsAllEnds(now); knowsAllEnds != r.lastKnowsAllEnds {
		r.lastKnowsAllEnds = knowsAllEnds
		r.markLoadDue()
	}
}
