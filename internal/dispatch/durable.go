// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"
)

// This file applies the decisions of package durable about durable jobs. Package durable records them in the store,
// counts their failed runs, and answers their callers; the dispatcher runs their tasks like those of other jobs
// (runs.go). Durable jobs have no waiters and no time limit, and their tasks wait longer for a lost agent (rerun.go).
//
// The dispatcher counts no failed runs of durable tasks. The end of a run can be reported to it and to package durable, in
// any order, and two counts of the same ends could differ.

// acceptDurable adds a durable job and marks the tasks that are already done. A hand-over of a job with the same ID is
// withdrawn.
func (d *Dispatcher) acceptDurable(now time.Time, e DurableAccepted) {
	if _, ok := d.jobs[e.Job.ID]; ok {
		return
	}
	if earlier, ok := d.handedOver[e.Job.ID]; ok {
		d.replyHandedOver(now, earlier, Interrupted{Reason: "the job is kept from now on"})
		d.withdrawHandOver(now, earlier)
	}
	j := d.newJob(now, e.Job)
	j.isDurable = true
	j.startBy = j.doubledAt()
	j.recoveredAt = e.NotBefore
	for _, t := range j.tasks {
		t.failures = e.Failures[t.name]
		t.notBefore = e.NotBefore
		if !e.NotBefore.IsZero() {
			t.unreported = &unreportedRun{since: e.NotBefore}
		}
		if slices.Contains(e.DoneTasks, t.name) {
			t.state = taskDone
			j.open[t.step]--
		}
	}
	d.add(j)
	d.emit(j.decisionMade(now, DecisionAccepted{Tasks: len(j.tasks), Objective: j.objective, IsDurable: true}))
	d.giveUpIfDue(now, j)
}

// dropDurable removes durable jobs and stops their runs.
func (d *Dispatcher) dropDurable(now time.Time, ids []string) {
	for _, id := range ids {
		if j, ok := d.jobs[id]; ok && j.isDurable {
			d.emit(j.decisionMade(now, DecisionDropped{}))
			d.drop(now, j)
		}
	}
}

// endDurableTask applies what package durable has recorded of a task after the end of a run. The run may be one that this
// dispatcher did not report, for example one that an earlier owner of the job started. If the task is done, a run of it at
// this entry is stopped. Otherwise a run here goes on, and the task runs again if its latest run here has failed.
func (d *Dispatcher) endDurableTask(now time.Time, e DurableTaskEnded) {
	j, t := d.find(e.Task)
	if t == nil || !j.isDurable || t.state == taskDone {
		return
	}
	if e.Failed {
		t.failures = e.Failures
		if t.state == taskFailed {
			d.rerunAfter(now, j, t, 0)
		}
		return
	}
	if t.state == taskSent {
		d.emit(j.decisionMade(now, DecisionDoneEarlier{}).withRun(t.name, t.run, t.agent))
		d.emit(StopTask{Agent: t.agent, Name: t.name})
	}
	t.isRunTimeRepresentative = false
	d.completeTask(now, j, t)
}

// DurableRuns returns the number of tasks of durable jobs with a run that may be in progress or may have ended without a
// report.
func (d *Dispatcher) DurableRuns(now time.Time) int {
	count := 0
	for _, j := range d.jobs {
		if !j.isDurable {
			continue
		}
		for _, t := range j.tasks {
			if t.mayRun(now) {
				count++
			}
		}
	}
	return count
}
