// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"maps"
	"slices"
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// This file infers crashes of workers that no agent reports.
//
// Inputs: what ran at an agent when its session ended, and the incarnation of its worker; the one that it describes when it is back.
//
// Rule: if it is another one, the earlier one counts as a possible crash under these runs.
//
// Reason: the agent may have died with its worker, or restarted since, and a task that crashes whole VMs would never be given up. Whether
// the runs were still running is not known.

// lostSession is what ran at an agent when its session ended.
type lostSession struct {
	// incarnation is that of the agent's worker at that time.
	incarnation worker.Incarnation
	runs        []runner.CrashedRun
	at          time.Time
}

// rememberLost remembers the runs at an agent whose session has ended, if there are any. Whether its worker has crashed under them
// may not be reported: the agent may have died with the worker or restarted since. Nor is it known whether they were still running.
func (d *Dispatcher) rememberLost(id AgentID, lost lostSession) {
	if len(lost.runs) > 0 {
		d.lostSessions[id] = lost
	}
}

// endingRunsAt returns the runs of dropped jobs at an agent in session that have not ended, in the order of their names.
func (d *Dispatcher) endingRunsAt(id AgentID) []runner.CrashedRun {
	var runs []runner.CrashedRun
	for _, name := range slices.Sorted(maps.Keys(d.endingRuns)) {
		if run := d.endingRuns[name]; run.agent == id && run.endedBy.IsZero() {
			runs = append(runs, runner.CrashedRun{RunID: runner.RunID{Task: name, Run: run.run}})
		}
	}
	return runs
}

// workerReplaced counts a crash if an agent's worker is another incarnation than when the session with the agent was lost.
func (d *Dispatcher) workerReplaced(now time.Time, a *agent) {
	lost, ok := d.lostSessions[a.id]
	if !ok || lost.incarnation == a.record.Incarnation() {
		return
	}
	delete(d.lostSessions, a.id)
	d.workerCrashed(now, a.id, runner.Crash{Incarnation: lost.incarnation, Runs: lost.runs})
}

// workerHeard forgets what ran at an agent when its session ended, once the agent has heard from the same incarnation of its
// worker: until then an agent that has restarted may name an incarnation that has ended.
func (d *Dispatcher) workerHeard(a *agent) {
	if lost, ok := d.lostSessions[a.id]; ok && lost.incarnation == a.record.Incarnation() {
		delete(d.lostSessions, a.id)
	}
}
