// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"time"

	"sailhead/internal/runner"
)

// This file decides what becomes of a task under which workers have crashed.
//
// Inputs: the crashes that agents report, with the runs that were on the worker and which of them was started last; whether an
// agent that comes back describes another incarnation of its worker than before its session was lost.
//
// Rule: a task under which a worker has crashed is a suspect until a run of it is done. It is given up with the second crash if its run was
// the latest on that worker and had lasted about as long as the run at an earlier crash, unless workers crash for other causes
// (crashhistory.go), with the third if it had lasted as long as at two earlier ones, and with the fourth in any case. Crashes under runs that
// may have ended before, or never begun, do not count for that. The third crash of all gives the task up too if two of them count, the ages
// are alike but for what a busy worker is late, and workers do not crash for many other causes, and the fifth in any case. A task that is
// given up does not run again, at this entry or at another one: its job has failed, and fails again when it is submitted.
//
// Reason: a task may crash each worker that starts it. Each crash ends all other runs on the worker, which is away for
// seconds. All tasks on the worker are suspects, and agents start nothing beside one for some time (runner/suspect.go): the
// task that crashes its worker is then the latest one there, while another one is only hit by chance. A worker that has not
// answered for some time may have crashed before a start was sent to it, or after the end of a run that nobody heard. Isolation
// rules out other tasks, not other causes, such as a process that is killed: those come at any moment of a run, while a task that
// crashes its workers does so each time after about as long, which a busy agent measures too late. The crashes are counted by task, not by job under way: the job may be dropped
// and submitted again, here or at another entry, or get another owner. Every entry hears of every crash, from its own agents or from
// another entry.

const (
	// maxIsolatedCrashes is how many workers may crash under runs of a task that had lasted about as long, if the last of these runs was the
	// latest on its worker and that crash may not be chance, and maxAlikeCrashes how many otherwise: other runs may have begun on the worker
	// after suspectTime of package runner.
	// The users' rules allow to give a task up after two.
	maxIsolatedCrashes = 2
	maxAlikeCrashes    = 3
	// maxCrashes is how many workers may crash under a task in any case. After three the users' rules allow two more starts.
	maxCrashes = 4
	// maxLikelyCrashes is how many workers may crash under a task, whether or not its runs were running each time, if they were at
	// minLikelyCertain of them and no other causes are likely.
	maxLikelyCrashes = 3
	minLikelyCertain = 2
	// maxPossibleCrashes is the same with those crashes at which the run may not have been running: the users' rules allow five
	// starts if each of them crashes a worker.
	maxPossibleCrashes = 5
	// ageTolerance and ageShare say how much the ages of two runs at the crashes of their workers may differ for one cause: by the former,
	// and by that part, 0 to 1, of the smaller one, besides what busy agents measure too much.
	ageTolerance = 5 * time.Millisecond
	// lateTolerance is the same for a third crash: a busy worker crashes later than another one would.
	lateTolerance = 50 * time.Millisecond
	ageShare      = 0.1
	// suspicionTime is how long a crash counts. Source: the state of an ended job is kept for as long (status_s, 120 on every site), and
	// callers submit a job again within seconds.
	suspicionTime = 2 * time.Minute
	// maxSuspects bounds the tasks that are remembered: all tasks on 100 workers, some 200 bytes each, 0.4 MB.
	maxSuspects = 2048
)

// isSuspect reports whether a worker has crashed under a task.
func (d *Dispatcher) isSuspect(t *task) bool {
	return d.suspects.isSuspect(t.name)
}

// workerCrashed counts the crash of a worker for each run that was on it, and gives up the tasks that are due. It passes the
// crash on to other entries if it was not known.
func (d *Dispatcher) workerCrashed(now time.Time, agent AgentID, crash runner.Crash) {
	isSpread := false
	d.crashHistory.add(now, agent, crash)
	others := d.crashHistory.otherCauses(now, d.knownAgents)
	for _, run := range crash.Runs {
		counted := Crash{
			Agent: agent, Incarnation: crash.Incarnation, Run: run.Run, WasRunning: run.WasRunning, IsLatest: run.IsLatest,
			Age: run.Age, AgeError: run.AgeError, others: others,
		}
		isNew := d.suspects.add(now, run.Task, counted)
		if isNew && !isSpread {
			isSpread = true
			d.emit(PropagateCrash{Agent: agent, Crash: crash})
		}
		if !isNew {
			continue
		}
		if isEvidence(run) || d.suspects.haveOneCause(run.Task) {
			d.crashHistory.noteCaused(agent, crash.Incarnation)
		}
		d.countForKind(now.Add(-crash.Age), run)
		if j, t := d.find(run.Task); t != nil {
			d.giveUpIfDue(now, j)
			d.interruptIfContained(now, j, run)
		}
	}
	d.updateContainment(now)
}

// giveUpIfDue ends a job of which a task must not run again.
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

// giveUp ends a job because workers crashed under a task of it.
func (d *Dispatcher) giveUp(now time.Time, j *job, t *task) {
	crashes := d.suspects[t.name].crashes
	d.emit(j.decisionMade(now, DecisionGivenUp{Crashes: crashes}).withRun(t.name, t.run, t.agent))
	if j.isDurable {
		d.emit(DurableGivenUp{Job: j.ID})
	}
	d.endJob(now, j, Failed{Reason: fmt.Sprintf("%d workers crashed under task %s", len(crashes), t.name)})
}

// forgetCrashes removes what was learned too long ago.
func (d *Dispatcher) forgetCrashes(now time.Time) {
	limit := now.Add(-suspicionTime)
	d.suspects.forgetBefore(limit)
	for id, lost := range d.lostSessions {
		if lost.at.Before(limit) {
			delete(d.lostSessions, id)
		}
	}
}
