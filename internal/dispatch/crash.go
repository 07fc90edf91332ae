// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"time"

	"sailhead/internal/runner"
)

// This file decides whether a task under which workers have crashed may run again.
//
// Inputs: the crashes that agents report, with the runs that were on the worker and which of them was started last; whether an
// agent that reconnects describes another incarnation of its worker than before its session was lost.
//
// Rule: a task under which a worker has crashed is a suspect until a run of it is done. A crash is certain if the run was certainly
// running, and likely if it was likely running (runner/evidence.go); otherwise the run may well have ended before the crash, or may
// not have begun. Counting only certain crashes, the task is given up
//
//   - after the second, if its run was the latest on that worker and had about the same age as at an earlier crash,
//     unless workers crash for other causes (crashhistory.go);
//   - after the third, if its run had about the same age as at two earlier crashes.
//
// Ages that differ by more also count as about the same if both crashes came early in the run, and the VM was busy at the one at which
// the run was older.
//
// Counting certain and likely crashes, it is also given up after the fourth in any case. Counting all crashes, it is also given up
//
//   - after the third, if two of the three are certain, its runs had about the same age at all three, with an allowance for the delay
//     of a busy worker, and workers do not crash for many other causes;
//   - after the fifth in any case.
//
// A task that was given up does not run again at this or any other entry: its job has failed, and fails again when it is resubmitted.
//
// Reason: a task may crash every worker that starts it. Each crash ends all other runs on the worker, which is then unavailable
// for seconds. All tasks on the worker become suspects, and for some time agents start nothing beside a suspect (runner/suspect.go):
// a task that crashes its worker is then the latest one there, while any other task is present only by chance. A worker that has not
// responded for some time may have crashed before a start was sent to it, or after the end of a run that was not reported. If the
// report of an end was lost, the crash can be a likely one although the run had ended. The next run, whose report is lost in the same
// way, has the same age, so similar ages of likely crashes show no common cause. Isolation excludes other tasks as the cause, but
// not causes such as a killed process. Those occur at any age of a run, while a task that crashes its workers does so at about the
// same age each time, which a busy agent overestimates. On a busy worker the same task crashes later, by some tens of milliseconds.
// For a short task that is much of its run time, and any other crash is as likely to come then. For a long one it is still early in
// the run. Crashes are counted by task and not by job in progress, as the job may be dropped and submitted again, at this or another
// entry, or get another owner. Every entry learns of every crash, from its own agents or from another entry.

const (
	// maxIsolatedCrashes is the number of certain crashes at about the same age after which a task is given up, if at the last of
	// them its run was the latest on the worker and workers do not crash for other causes. By the users' rules a task may be given
	// up after two.
	maxIsolatedCrashes = 2
	// maxSimilarAgeCrashes is the number of certain crashes at about the same age if the conditions of maxIsolatedCrashes do not
	// hold: other runs may have been started beside the task once suspectTime of package runner had passed.
	maxSimilarAgeCrashes = 3
	// maxCrashes is the number of certain and likely crashes after which a task is given up in any case. After three the users'
	// rules allow two more starts.
	maxCrashes = 4
	// maxBusyCrashes is the number of crashes at about the same age, certain or not, after which a task is given up if at least
	// minBusyCertain of them are certain and workers do not crash for many other causes.
	maxBusyCrashes = 3
	minBusyCertain = 2
	// maxPossibleCrashes is the number of crashes, certain or not, after which a task is given up in any case. The users' rules
	// allow five starts if each of them crashes a worker.
	maxPossibleCrashes = 5
	// ageTolerance and ageShare bound the difference between the ages of two runs that count as about the same: ageTolerance, plus
	// ageShare (0 to 1) of the lower age. The measuring error of the agents comes on top.
	ageTolerance = 5 * time.Millisecond
	// busyAgeTolerance replaces ageTolerance for maxBusyCrashes, as a busy worker crashes later than an idle one.
	busyAgeTolerance = 50 * time.Millisecond
	ageShare         = 0.1
	// earlyShare is the share of a task's usual run time, 0 to 1, within which a crash is early. A random moment of the run is that
	// early once in twenty times, so two early crashes under one task are rarely a coincidence.
	earlyShare = 0.05
	// suspicionTime is how long a crash counts. The state of an ended job is kept as long (status_s, 120 on every site), and
	// callers submit a job again within seconds.
	suspicionTime = 2 * time.Minute
	// maxSuspects bounds the number of suspects: all tasks on 100 workers, which take 0.4 MB at some 200 bytes each.
	maxSuspects = 2048
)

// isSuspect reports whether a worker has crashed under a task.
func (d *Dispatcher) isSuspect(t *task) bool {
	return d.suspects.isSuspect(t.name)
}

// workerCrashed records the crash of a worker for each run that was on it, and ends the jobs whose tasks must not run again.
// It passes the crash on to the other entries if it is new to this one.
func (d *Dispatcher) workerCrashed(now time.Time, agent AgentID, crash runner.Crash) {
	isPropagated := false
	d.crashHistory.add(now, agent, crash)
	others := d.crashHistory.otherCauses(now, d.knownAgents)
	for _, run := range crash.Runs {
		counted := Crash{
			Agent: agent, Incarnation: crash.Incarnation, Run: run.Run, WasRunning: run.WasRunning, WasLikelyRunning: run.WasLikelyRunning,
			IsLatest: run.IsLatest, Age: run.Age, AgeError: run.AgeError, Expected: run.Expected, WasBusy: run.WasBusy, others: others,
		}
		isNew := d.suspects.add(now, run.Task, counted)
		if isNew && !isPropagated {
			isPropagated = true
			d.propagate(PropagateCrash{Agent: agent, Crash: crash})
		}
		if !isNew {
			continue
		}
		if isEvidence(run) || d.suspects.haveCommonCause(run.Task) {
			d.crashHistory.markCaused(agent, crash.Incarnation)
		}
		d.recordKindEvidence(now.Add(-crash.Age), run)
		if j, t := d.find(run.Task); t != nil {
			d.giveUpIfDue(now, j)
			d.interruptIfContained(now, j, run)
		}
	}
	d.updateContainment(now)
}

// giveUpIfDue ends a job if one of its tasks must not run again.
func (d *Dispatcher) giveUpIfDue(now time.Time, j *job) {
	if len(d.suspects) == 0 {
		return
	}
	for _, t := range j.tasks {
		if t.state != taskDone && d.suspects.mustGiveUp(t.name) {
			d.giveUp(now, j, t)
			return
		}
	}
}

// giveUp ends a job because workers crashed under one of its tasks.
func (d *Dispatcher) giveUp(now time.Time, j *job, t *task) {
	crashes := d.suspects[t.name].crashes
	d.emit(j.decisionMade(now, DecisionGivenUp{Crashes: crashes}).withRun(t.name, t.run, t.agent))
	if j.isDurable {
		d.emit(DurableGivenUp{Job: j.ID})
	} else {
		j.recordNumber = d.recordShare.propagated
		d.shareRecords()
	}
	d.endJob(now, j, Failed{Reason: fmt.Sprintf("%d workers crashed under task %s", len(crashes), t.name)})
}

// expireCrashes removes suspects and lost sessions older than suspicionTime.
func (d *Dispatcher) expireCrashes(now time.Time) {
	limit := now.Add(-suspicionTime)
	d.suspects.removeBefore(limit)
	for id, lost := range d.lostSessions {
		if lost.at.Before(limit) {
			delete(d.lostSessions, id)
		}
	}
}
