// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"
)

const (
	// stuckStretch is how many times its usual time a run lasts on an unsound worker before it is moved.
	stuckStretch = 2.5
	// minStuck is the shortest time after which a run is moved.
	minStuck = 60 * time.Millisecond
	// maxMoves is how often a task is moved.
	maxMoves = 2
)

// moveStuck stops the runs that last too long on unsound workers if a sound one has room and time is left, so
// that they run again there.
func (d *Dispatcher) moveStuck(now time.Time) {
	if !d.hasUnhealthy() {
		return
	}
	for _, j := range d.jobsInOrder() {
		for _, t := range j.tasks {
			if t.state == taskSent && d.isStuck(now, j, t) && d.hasHealthyCapacity(j, t) {
				t.moves++
				t.avoid = append(t.avoid, t.agent)
				d.emit(StopTask{Agent: t.agent, Name: t.name})
				d.emit(j.decisionMade(now, DecisionMoved{}).withRun(t.name, t.run, t.agent))
			}
		}
	}
}

func (d *Dispatcher) hasUnhealthy() bool {
	for _, a := range d.agents {
		if !a.isHealthy() {
			return true
		}
	}
	return false
}

// isStuck reports whether a run lasts too long on an unsound worker, and may still be done in time elsewhere.
func (d *Dispatcher) isStuck(now time.Time, j *job, t *task) bool {
	a, ok := d.agents[t.agent]
	if !ok || a.isHealthy() || t.moves >= maxMoves || slices.Contains(t.avoid, t.agent) {
		return false
	}
	expected := j.Steps[t.step].Expected
	limit := max(time.Duration(stuckStretch*float64(expected)), minStuck)
	return now.Sub(t.placed) > limit && (j.isDurable || now.Add(expected).Before(j.expiresAt()))
}

// hasHealthyCapacity reports whether a sound worker, other than the task's own, has room for it.
func (d *Dispatcher) hasHealthyCapacity(j *job, t *task) bool {
	needs := j.Steps[t.step].Needs
	for _, a := range d.agents {
		if a.id != t.agent && a.isHealthy() && a.accepts(j.Kind.Service) && needs.Fits(a.free()) {
			return true
		}
	}
	return false
}
