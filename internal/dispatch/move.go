// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"sailhead/internal/timing"
)

const (
	// minMoveGain is the least time that a move must save, as a fraction of the expected run time; see isStuck. Estimates are
	// often wrong by as much.
	minMoveGain = 0.5
	// maxMoves is the largest number of moves of a task.
	maxMoves = 2
)

// moveStuckRuns stops stuck runs that a healthy worker could run. Once the agent has reported the stop, the task is
// placed again, on another worker if possible. Because its job has started, it gets the next resources that become free.
func (d *Dispatcher) moveStuckRuns(now time.Time) {
	if !d.hasUnhealthyWorker() {
		return
	}
	for _, j := range d.jobsByArrival() {
		for _, t := range j.tasks {
			isOtherAndHealthy := func(a *agent) bool { return a.id != t.agent && a.isHealthy() }
			if d.isStuck(now, j, t) && d.hasWorker(j, t, isOtherAndHealthy) {
				d.moveRun(now, j, t)
			}
		}
	}
}

func (d *Dispatcher) hasUnhealthyWorker() bool {
	for _, a := range d.agents {
		if !a.isHealthy() {
			return true
		}
	}
	return false
}

// isStuck reports whether a task whose run is on an unhealthy worker would end sooner, and still in time, on another one.
//
// Inputs: the time since the run was sent, the expected run time of the task, the slowness of the worker, the number of
// times the task was moved, the expiry of the job.
//
// Rule: the worker is unhealthy; a stop and a new run take less time than the current run still needs (remainingTime), by
// more than minMoveGain of the expected run time; the task was moved fewer than maxMoves times, and neither failed on this
// worker nor was moved from it before; and a new run would end before the job expires. Durable jobs do not expire.
//
// Reason: without moves, jobs wait for runs on slow or hanging workers. The rule depends on the worker's health because
// the expected time of a single run is often wrong by a factor of two.
func (d *Dispatcher) isStuck(now time.Time, j *job, t *task) bool {
	if t.state != taskSent || t.moves >= maxMoves || t.avoids(t.agent) {
		return false
	}
	a, ok := d.agents[t.agent]
	if !ok || a.isHealthy() {
		return false
	}
	expected := j.times[t.step].task
	gain := a.remainingTime(j.timeAt(t.step, a), now.Sub(t.placedAt)) - timing.MaxStopTime - expected
	isInTime := j.isDurable || now.Add(expected).Before(j.expiresAt())
	return float64(gain) > minMoveGain*float64(expected) && isInTime
}

// remainingTime returns how much longer a run that was sent elapsed ago is expected to take on the worker: the usual time
// multiplied by the worker's slowness, minus elapsed. A run that has exceeded this time is expected to take as long again
// as it has exceeded it by.
func (a *agent) remainingTime(usual, elapsed time.Duration) time.Duration {
	left := time.Duration(a.load.Slowness*float64(usual)) - elapsed
	return left.Abs()
}

// moveRun stops the run of a task, so that the task runs again on another worker.
func (d *Dispatcher) moveRun(now time.Time, j *job, t *task) {
	t.moves++
	t.avoidAgent()
	d.emit(StopTask{Agent: t.agent, Name: t.name})
	d.emit(j.decisionMade(now, DecisionMoved{}).withRun(t.name, t.run, t.agent))
}
