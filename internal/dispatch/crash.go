// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sailhead/internal/runner"
)

// This file decides what becomes of a task under which workers have crashed.
//
// Inputs: the crashes that agents report, with the runs that were on the worker and which of them was started last; whether an
// agent that comes back describes another incarnation of its worker than before its session was lost.
//
// Rule: a task under which a worker has crashed is a suspect until a run of it is done. It is given up with the second crash if its run was
// the latest on that worker and had lasted about as long as the run at an earlier crash, with the third if it had lasted as long as at two
// earlier ones, and with the fourth in any case. Crashes under runs that may have ended before, or never begun, do not count for that, but
// the fifth crash of all gives the task up too. A task that is given up does not run again, at this entry or at another one: its job has
// failed, and fails again when it is submitted.
//
// Reason: a task may crash each worker that starts it. Each crash ends all other runs on the worker, which is away for
// seconds. All tasks on the worker are suspects, and agents start nothing beside one for some time (runner/suspect.go): the
// task that crashes its worker is then the latest one there, while another one is only hit by chance. A worker that has not
// answered for some time may have crashed before a start was sent to it, or after the end of a run that nobody heard. Isolation
// rules out other tasks, not other causes, such as a process that is killed: those come at any moment of a run, while a task that
// crashes its workers does so each time after about as long. The crashes are counted by task, not by job under way: the job may be dropped
// and submitted again, here or at another entry, or get another owner. Every entry hears of every crash, from its own agents or from
// another entry.
//
// Measured: in virtual time with 11 workers, one such job: 34 workers crashed in 8 s without the rule, two with it. Among others
// (package overload, 48 workers, half of all cores used, 1 % of the most frequent kind of job crash workers): 10.4 crashes for
// each such job without the rule, 2.0 with it; other jobs on time 0.628 -> 0.997. None of 10,358 other jobs is given up, and 5 in 10,000
// if each second crash counts and suspects are not isolated. At 0.9 of all cores: 5.7 -> 1.7 crashes, 0.452 -> 0.874 on time, none of
// 18,596 given up. If such tasks crash their workers 190 ms after the start, when others may run beside them: 2.6 and 2.5 crashes. Where
// each worker is killed every 20 s under whatever runs there, 1 of 42,079 jobs is given up, and 13 if ages are not compared.

const (
	// maxIsolatedCrashes is how many workers may crash under runs of a task that had lasted about as long, if the last of them was the
	// latest on its worker, and maxAlikeCrashes how many if it was not, as other runs began there after suspectTime of package runner.
	// The users' rules allow to give a task up after two.
	maxIsolatedCrashes = 2
	maxAlikeCrashes    = 3
	// maxCrashes is how many workers may crash under a task in any case. After three the users' rules allow two more starts. Measured: with
	// three 77 in place of 32 of 41,870 jobs are given up while each worker is killed every 4 s.
	maxCrashes = 4
	// maxPossibleCrashes is the same with those crashes at which the run may not have been running: the users' rules allow five
	// starts if each of them crashes a worker.
	maxPossibleCrashes = 5
	// ageTolerance and ageShare say how much the ages of two runs at the crashes of their workers may differ for one cause: by
	// the former, and by that part, 0 to 1, of the smaller one. Design: as much as a busy agent is late to send a start or to notice a
	// crash. Measured: of 41,870 jobs on workers that are killed every 4 s 32 are given up with 5 ms, 57 with 15 ms, 69 with 20 ms, all
	// without maxAlikeCrashes.
	ageTolerance = 15 * time.Millisecond
	ageShare     = 0.1
	// suspicionTime is how long a crash counts. Source: the state of an ended job is kept for as long (status_s, 120 on every site), and
	// callers submit a job again within seconds.
	suspicionTime = 2 * time.Minute
	// maxSuspects bounds the tasks that are remembered. Design: all tasks on 100 workers, some 200 bytes each, 0.4 MB.
	maxSuspects = 2048
)

// Crash is the crash of a worker under a run of a task.
type Crash struct {
	Agent       AgentID
	Incarnation string
	Run         uint32
	// WasRunning is set if the run was running for certain, and IsLatest if besides no start was sent to the worker after its own.
	WasRunning bool
	IsLatest   bool
	// Age is the time from when its start was sent until the worker crashed.
	Age time.Duration
}

// suspicion is what is known of a task under which workers have crashed.
type suspicion struct {
	// crashes has one crash for each incarnation.
	crashes []Crash
	// latest is when the latest crash was reported.
	latest time.Time
}

// suspects holds the tasks under which workers have crashed, by their names.
type suspects map[string]suspicion

// learn adds what another report of the same crash tells, and returns false if that is nothing new.
func (c *Crash) learn(again Crash) bool {
	isNew := again.WasRunning && !c.WasRunning || again.IsLatest && !c.IsLatest
	if isNew {
		c.Age = again.Age
	}
	c.WasRunning = c.WasRunning || again.WasRunning
	c.IsLatest = c.IsLatest || again.IsLatest
	return isNew
}

// add counts a crash. It returns false if that tells nothing new.
func (s suspects) add(now time.Time, task string, crash Crash) bool {
	known := s[task]
	isSame := func(other Crash) bool { return other.Agent == crash.Agent && other.Incarnation == crash.Incarnation }
	if at := slices.IndexFunc(known.crashes, isSame); at >= 0 {
		return known.crashes[at].learn(crash)
	}
	if len(known.crashes) == 0 && len(s) >= maxSuspects {
		s.forgetOldest()
	}
	s[task] = suspicion{crashes: append(known.crashes, crash), latest: now}
	return true
}

// forgetOldest removes the task whose latest crash is the oldest.
func (s suspects) forgetOldest() {
	var oldest string
	for task, known := range s {
		if oldest == "" || known.latest.Before(s[oldest].latest) {
			oldest = task
		}
	}
	delete(s, oldest)
}

// forgetBefore removes the tasks whose latest crash was before a time.
func (s suspects) forgetBefore(limit time.Time) {
	for task, known := range s {
		if known.latest.Before(limit) {
			delete(s, task)
		}
	}
}

// isSuspect reports whether a worker has crashed under a task.
func (s suspects) isSuspect(task string) bool {
	return len(s[task].crashes) > 0
}

// mustGiveUp reports whether so many workers have crashed under a task that it is not run again.
func (s suspects) mustGiveUp(task string) bool {
	crashes := s[task].crashes
	certain := make([]Crash, 0, len(crashes))
	for _, c := range crashes {
		if c.WasRunning {
			certain = append(certain, c)
		}
	}
	return len(crashes) >= maxPossibleCrashes || len(certain) >= maxCrashes || haveOneCause(certain)
}

// haveOneCause reports whether crashes under a task were most likely caused by it, as its runs had lasted about as long each time: two if
// at the later one its run was the latest on the worker, or three. The first crash alone says nothing, whether its run was the latest
// or not: the task was no suspect then, so it was not isolated.
func haveOneCause(crashes []Crash) bool {
	for i, later := range crashes {
		alike := 1
		for _, earlier := range crashes[:i] {
			if areAlike(earlier.Age, later.Age) {
				alike++
			}
		}
		if alike >= maxAlikeCrashes || alike >= maxIsolatedCrashes && later.IsLatest {
			return true
		}
	}
	return false
}

// areAlike reports whether the ages of two runs at the crashes of their workers are about the same.
func areAlike(a, b time.Duration) bool {
	tolerance := ageTolerance + time.Duration(ageShare*float64(min(a, b)))
	return (a - b).Abs() <= tolerance
}

// isSuspect reports whether a worker has crashed under a task.
func (d *Dispatcher) isSuspect(t *task) bool {
	return d.suspects.isSuspect(t.name)
}

// workerCrashed counts the crash of a worker for each run that was on it, and gives up the tasks that are due. It passes the
// crash on to other entries if it was not known.
func (d *Dispatcher) workerCrashed(now time.Time, agent AgentID, crash runner.Crash) {
	isSpread := false
	for _, run := range crash.Runs {
		counted := Crash{
			Agent: agent, Incarnation: crash.Incarnation, Run: run.Run, WasRunning: run.WasRunning, IsLatest: run.IsLatest, Age: run.Age,
		}
		isNew := d.suspects.add(now, run.Task, counted)
		if isNew && !isSpread {
			isSpread = true
			d.emit(SpreadCrash{Agent: agent, Crash: crash})
		}
		if !isNew {
			continue
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

// lostSession is what ran at an agent when its session ended.
type lostSession struct {
	// incarnation is that of the agent's worker at that time.
	incarnation string
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
	if !ok || lost.incarnation == a.record.ID {
		return
	}
	delete(d.lostSessions, a.id)
	d.workerCrashed(now, a.id, runner.Crash{Incarnation: lost.incarnation, Runs: lost.runs})
}

// workerHeard forgets what ran at an agent when its session ended, once the agent has heard from the same incarnation of its
// worker: until then an agent that has restarted may name an incarnation that has ended.
func (d *Dispatcher) workerHeard(a *agent) {
	if lost, ok := d.lostSessions[a.id]; ok && lost.incarnation == a.record.ID {
		delete(d.lostSessions, a.id)
	}
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
