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
// Inputs: the runs at an agent and the incarnation of its worker when its session ended; the incarnation that the agent describes
// when it reconnects.
//
// Rule: if the incarnations differ, the earlier one counts as a possible crash under these runs.
//
// Reason: the agent may have died with its worker, or have restarted since, so it reports no crash, and a task that crashes whole
// VMs would never be given up. The crash is only possible, as the runs may have ended before.

// lostSession holds the runs at an agent when its session ended.
type lostSession struct {
	// incarnation is the incarnation of the agent's worker at that time.
	incarnation worker.Incarnation
	runs        []runner.CrashedRun
	at          time.Time
}

// storeLostSession stores the runs at an agent whose session has ended, if there are any. A crash of its worker under them may go
// unreported, as the agent may have died with the worker or have restarted since. The runs may have ended before the crash.
func (d *Dispatcher) storeLostSession(id AgentID, lost lostSession) {
	if len(lost.runs) > 0 {
		d.lostSessions[id] = lost
	}
}

// endingRunsAt returns the runs of dropped jobs at an agent in session that have not ended, sorted by task name.
func (d *Dispatcher) endingRunsAt(id AgentID) []runner.CrashedRun {
	var runs []runner.CrashedRun
	for _, name := range slices.Sorted(maps.Keys(d.endingRuns)) {
		if run := d.endingRuns[name]; run.agent == id && run.endedBy.IsZero() {
			runs = append(runs, runner.CrashedRun{RunID: runner.RunID{Task: name, Run: run.run}})
		}
	}
	return runs
}

// inferCrash counts a crash if an agent's worker is another incarnation than when the session with the agent was lost.
func (d *Dispatcher) inferCrash(now time.Time, a *agent) {
	lost, ok := d.lostSessions[a.id]
	if !ok || lost.incarnation == a.record.Incarnation() {
		return
	}
	delete(d.lostSessions, a.id)
	d.workerCrashed(now, a.id, runner.Crash{Incarnation: lost.incarnation, Runs: lost.runs})
}

// discardLostSession discards the stored runs of an agent once the agent has heard from the same incarnation of its worker. Until then a
// restarted agent may describe an incarnation that has ended.
func (d *Dispatcher) discardLostSession(a *agent) {
	if lost, ok := d.lostSessions[a.id]; ok && lost.incarnation == a.record.Incarnation() {
		delete(d.lostSessions, a.id)
	}
}
