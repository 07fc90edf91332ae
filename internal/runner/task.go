// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// state is where a task stands.
type state int

const (
	// stateQueued waits for room or for an earlier run of the same task to end.
	stateQueued state = iota
	// stateStarting has a start under way.
	stateStarting
	// stateChecking has a start without an answer; a listing will tell.
	stateChecking
	// stateRunning is known to run.
	stateRunning
	// stateStopping is being stopped; its end or a listing will tell.
	stateStopping
)

// task is a task that waits or may be at the worker.
type task struct {
	Task
	session SessionID
	state   state
	arrived time.Time
	// began is when the start was sent, for the present run.
	began time.Time
	// lastStopSent is when the last stop was sent, and stopAnswered when the worker took one.
	lastStopSent time.Time
	stopAnswered time.Time
	// resolveAfter makes only listings that were asked for later tell about the run.
	resolveAfter time.Time
	// mayHaveRun is set once a run may have begun.
	mayHaveRun bool
	// rerunAfterStop is set while the task is to run once more after the present run is settled.
	rerunAfterStop bool
	// supersededBy is the same task of a newer session, which waits for this one to end.
	supersededBy *task
	// progress is the run's progress when it was last listed, and looked when that was.
	progress int
	listedAt time.Time
}

// handleStart takes a task in or says that it is not started.
func (r *Runner) handleStart(now time.Time, e StartRequested) {
	s, ok := r.sessions[e.Session]
	if !ok {
		return
	}
	s.handledStarts = max(s.handledStarts, e.Number)
	s.loadDue = true
	if earlier, exists := r.tasks[e.Task.Name]; exists && earlier.session == e.Session {
		return
	}
	reason := r.refusalReason(now)
	if reason == "" && !r.isSessionValid(now, e.Session) {
		reason = "the session's lease has run out"
	}
	if reason == "" && len(r.queue) >= r.limits.Queue {
		reason = "the queue is full"
	}
	if reason != "" {
		r.sendUpdate(e.Session, Update{Name: e.Task.Name, Run: e.Task.Run, Outcome: OutcomeNotStarted, Reason: reason})
		return
	}
	t := &task{Task: e.Task, session: e.Session, arrived: now}
	if earlier, exists := r.tasks[e.Task.Name]; exists {
		r.supersede(now, earlier, t)
		return
	}
	r.tasks[t.Name] = t
	r.queue = append(r.queue, t)
}

// supersedeTimeout is how long a task may wait for an earlier run of it to end.
const supersedeTimeout = 500 * time.Millisecond

// supersede ends a task that another session owned; the newer one waits for that end.
func (r *Runner) supersede(now time.Time, earlier, t *task) {
	t.rerunAfterStop = true
	t.MaxWait = max(t.MaxWait, supersedeTimeout)
	t.Run = max(t.Run, earlier.Run+1)
	earlier.supersededBy = t
	r.stop(now, earlier)
}

func (r *Runner) handleStop(now time.Time, e StopRequested) {
	t, ok := r.tasks[e.Name]
	if ok && t.session == e.Session {
		r.stop(now, t)
	}
}

// stopTasksOf stops the tasks of a session that has ended.
func (r *Runner) stopTasksOf(now time.Time, id SessionID) {
	for _, name := range slices.Sorted(maps.Keys(r.tasks)) {
		if t := r.tasks[name]; t.session == id {
			r.stop(now, t)
		}
	}
}

// stop ends a task wherever it stands.
func (r *Runner) stop(now time.Time, t *task) {
	t.rerunAfterStop = false
	switch t.state {
	case stateQueued:
		r.unqueue(t)
		r.finish(t, OutcomeNotStarted, "the task was stopped before its start")
	case stateStopping:
	default:
		r.beginStop(now, t)
	}
}

// active returns the tasks that may be at the worker, in the order of their names.
func (r *Runner) active() []*task {
	var active []*task
	for _, t := range r.tasks {
		if t.state != stateQueued {
			active = append(active, t)
		}
	}
	slices.SortFunc(active, func(a, b *task) int { return strings.Compare(a.Name, b.Name) })
	return active
}

// hasActive reports whether a task may be at the worker.
func (r *Runner) hasActive() bool {
	return len(r.tasks) > len(r.queue)
}

func (r *Runner) unqueue(t *task) {
	if at := slices.Index(r.queue, t); at >= 0 {
		r.queue = slices.Delete(r.queue, at, at+1)
	}
}

// finish drops a task and tells its owner the outcome.
func (r *Runner) finish(t *task, outcome Outcome, reason string) {
	delete(r.tasks, t.Name)
	if t.state != stateQueued && r.worker != nil {
		r.worker.used = r.worker.used.Minus(t.Needs)
	}
	r.markLoadDue()
	if outcome == OutcomeNotStarted && t.mayHaveRun {
		outcome = OutcomeStopped
	}
	r.sendUpdate(t.session, Update{Name: t.Name, Run: t.Run, Outcome: outcome, Reason: reason, Checkpoint: t.Checkpoint})
	if t.supersededBy != nil {
		r.tasks[t.Name] = t.supersededBy
		r.queue = append(r.queue, t.supersededBy)
	}
}

func (r *Runner) sendUpdate(id SessionID, update Update) {
	if _, ok := r.sessions[id]; ok {
		r.emit(SendUpdate{Session: id, Update: update})
	}
}
