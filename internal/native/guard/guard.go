// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package guard decides when the tasks of one worker start, and starts none twice.
//
// It is a state machine without I/O: events go in, effects come out.
package guard

import (
	"math/rand/v2"
	"time"

	"sailhead/internal/native/admission"
	"sailhead/internal/native/model"
)

// Task is one task that an owner asks the guard to start.
type Task struct {
	ID       model.TaskID
	Owner    string
	Service  string
	Kind     string
	Urgency  int
	Deadline time.Time
	// Due orders tasks of the same urgency; it lies later for larger jobs, and never after the deadline.
	Due      time.Time
	Expected time.Duration
	// MaxWait is the longest expected wait with which the owner wants the task queued; 0 is any.
	MaxWait time.Duration
	Payload []byte
	Trace   string
}

// Limits bound what a guard holds.
type Limits struct {
	Slots int
	Queue int
	// Records is the largest number of tasks remembered, waiting and running ones included.
	Records int
	// Retention is how long after its deadline a task is remembered.
	Retention time.Duration
}

// Event is what happens to a guard: StartAsked, ReportAsked, Ended, Drained or Ticked.
type Event interface{ isEvent() }

// StartAsked is an owner's request to start a task.
type StartAsked struct{ Task Task }

// ReportAsked asks for a task's outcome and fences a task that never arrived, or, to withdraw it, that waits.
type ReportAsked struct {
	ID       model.TaskID
	Deadline time.Time
	Withdraw bool
}

// Ended is the end of a running task at the backend server.
type Ended struct {
	ID      model.TaskID
	Outcome model.Outcome
}

// Drained sets whether the worker accepts new tasks.
type Drained struct{ Leaving bool }

// Ticked lets time pass.
type Ticked struct{}

func (StartAsked) isEvent()  {}
func (ReportAsked) isEvent() {}
func (Ended) isEvent()       {}
func (Drained) isEvent()     {}
func (Ticked) isEvent()      {}

// Effect is what a guard wants done: RunTask or Answer.
type Effect interface{ isEffect() }

// RunTask starts the task at the backend server; it occurs once for a task.
type RunTask struct{ Task Task }

// Answer gives the outcome of a task to all who wait for it.
type Answer struct {
	ID      model.TaskID
	Outcome model.Outcome
}

func (RunTask) isEffect() {}
func (Answer) isEffect()  {}

type taskState int

const (
	stateQueued taskState = iota
	stateRunning
	stateEnded
	// stateFenced is a task that never started here and never will.
	stateFenced
)

type record struct {
	task     Task
	state    taskState
	outcome  model.Outcome
	position int
	started  time.Time
	// expected is the service time that was expected when the task came.
	expected time.Duration
}

// Guard holds the tasks of one worker. It is not safe for concurrent use.
type Guard struct {
	limits    Limits
	records   map[model.TaskID]*record
	queue     queue
	running   int
	leaving   bool
	estimator *admission.Estimator
	random    *rand.Rand
	usage     usage
	// mean is the mean service time of all kinds, the latest weighing most.
	mean time.Duration
	// progressed is when a task last ended, or the last free slot was taken.
	lastProgress time.Time
	// forgotten is when old records were last looked for.
	lastCleanUp time.Time
}

// meanWeight is the number of tasks over which the mean service time is taken.
const meanWeight = 32

// A worker is stuck when it ends no task for stuckFactor mean service times, and leastPatience at least.
const (
	stuckFactor     = 4
	minStuckTimeout = 500 * time.Millisecond
)

// forgetShare is the part of the retention after which old records are looked for again.
const forgetShare = 8

// New returns a guard without tasks.
func New(limits Limits, random *rand.Rand) *Guard {
	return &Guard{
		limits:    limits,
		records:   make(map[model.TaskID]*record),
		estimator: admission.NewEstimator(),
		random:    random,
	}
}

// Load returns what the guard says of its worker.
func (g *Guard) Load(now time.Time) model.Load {
	load := model.Load{Slots: g.limits.Slots, Running: g.running, Leaving: g.leaving, Measured: now}
	load.Mean = g.mean
	load.Rest = time.Duration(g.running) * g.mean / 2
	load.Leaving = load.Leaving || g.isStuck(now)
	load.Share = g.usage.shares(now, g.limits.Slots)
	for _, r := range g.queue {
		load.Queued[r.task.Urgency]++
		load.Work[r.task.Urgency] += r.expected
	}
	return load
}

// Active is a waiting or running task.
type Active struct {
	Task   Task
	Queued bool
	Since  time.Time
}

// ActiveTasks returns the waiting and running tasks.
func (g *Guard) ActiveTasks() []Active {
	var active []Active
	for _, r := range g.records {
		if r.state == stateQueued || r.state == stateRunning {
			active = append(active, Active{Task: r.task, Queued: r.state == stateQueued, Since: r.started})
		}
	}
	return active
}

// IsIdle reports whether no task waits or runs.
func (g *Guard) IsIdle() bool {
	return g.running == 0 && len(g.queue) == 0
}

// Handle takes in an event and returns its effects in order.
func (g *Guard) Handle(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case StartAsked:
		return g.start(now, e.Task)
	case ReportAsked:
		return g.report(e)
	case Ended:
		return g.end(now, e)
	case Drained:
		g.leaving = e.Leaving
		return nil
	case Ticked:
		return g.tick(now)
	default:
		return nil
	}
}

func (g *Guard) start(now time.Time, task Task) []Effect {
	if r, known := g.records[task.ID]; known {
		return g.answerKnown(r)
	}
	if refusal, refused := g.refuse(now, task); refused {
		return []Effect{Answer{ID: task.ID, Outcome: refusal}}
	}
	expected := g.estimator.Of(task.Kind, task.Expected).Mean
	r := &record{task: task, state: stateQueued, started: now, expected: expected}
	if g.mean == 0 {
		g.mean = expected
	}
	g.records[task.ID] = r
	g.queue.add(r)
	return g.fillSlots(now)
}

// answerKnown repeats an outcome; a task without one is answered at its end.
func (g *Guard) answerKnown(r *record) []Effect {
	if r.state == stateQueued || r.state == stateRunning {
		return nil
	}
	return []Effect{Answer{ID: r.task.ID, Outcome: r.outcome}}
}

// refuse decides whether a new task cannot be taken, and says why.
func (g *Guard) refuse(now time.Time, task Task) (model.TaskNotStarted, bool) {
	estimate := g.estimator.Of(task.Kind, task.Expected)
	load := g.Load(now)
	wait := admission.Wait(load, task.Urgency)
	refusal := model.TaskNotStarted{RetryAfter: admission.RetryAfter(wait, g.random)}
	switch {
	case g.isStuck(now):
		refusal.Reason = "the backend server ends no tasks"
	case g.leaving:
		refusal.Leaving = true
		refusal.Reason = "the worker is leaving"
	case len(g.records) >= g.limits.Records:
		refusal.Reason = "the guard's table is full"
	case len(g.queue) >= g.limits.Queue:
		refusal.Reason = "the worker's queue is full"
	case task.MaxWait > 0 && wait > task.MaxWait:
		refusal.Reason = "the worker is busy"
	case now.Add(wait + estimate.High).After(task.Deadline):
		refusal.Reason = "the task cannot end in time"
	default:
		return model.TaskNotStarted{}, false
	}
	return refusal, true
}

func (g *Guard) report(asked ReportAsked) []Effect {
	r, known := g.records[asked.ID]
	switch {
	case known && r.state == stateQueued && asked.Withdraw:
		g.queue.remove(r)
		return []Effect{g.fence(r, "the task was withdrawn")}
	case known:
		return g.answerKnown(r)
	case len(g.records) >= g.limits.Records:
		outcome := model.TaskFailed{Cause: model.CauseUnknown, Reason: "the guard's table is full"}
		return []Effect{Answer{ID: asked.ID, Outcome: outcome}}
	}
	r = &record{task: Task{ID: asked.ID, Deadline: asked.Deadline}}
	g.records[asked.ID] = r
	return []Effect{g.fence(r, "the task never arrived")}
}

// fence makes sure that the task never starts here.
func (g *Guard) fence(r *record, reason string) Effect {
	r.state = stateFenced
	r.outcome = model.TaskNotStarted{Reason: reason}
	return Answer{ID: r.task.ID, Outcome: r.outcome}
}

func (g *Guard) end(now time.Time, ended Ended) []Effect {
	r, known := g.records[ended.ID]
	if !known || r.state != stateRunning {
		return nil
	}
	g.running--
	g.lastProgress = now
	r.state = stateEnded
	r.outcome = ended.Outcome
	r.task.Payload = nil
	if done, ok := ended.Outcome.(model.TaskDone); ok {
		g.estimator.Add(r.task.Kind, done.ServiceTime)
		g.usage.add(now, r.task.Urgency, done.ServiceTime)
		g.mean += (done.ServiceTime - g.mean) / meanWeight
	}
	answer := Answer(ended)
	return append([]Effect{answer}, g.fillSlots(now)...)
}

// fillSlots starts waiting tasks on free slots; those that can no longer end in time are answered.
func (g *Guard) fillSlots(now time.Time) []Effect {
	effects := g.dropLate(now)
	for g.running < g.limits.Slots && len(g.queue) > 0 {
		r := g.queue.next()
		r.state = stateRunning
		r.started = now
		g.running++
		if g.running == g.limits.Slots {
			g.lastProgress = now
		}
		effects = append(effects, RunTask{Task: r.task})
	}
	return effects
}

// dropLate fences the waiting tasks whose usual time passes their deadline.
func (g *Guard) dropLate(now time.Time) []Effect {
	var effects []Effect
	isStuck := g.isStuck(now)
	late := g.queue.filter(func(task Task) bool {
		if isStuck {
			return true
		}
		estimate := g.estimator.Of(task.Kind, task.Expected)
		return now.Add(estimate.Median).After(task.Deadline)
	})
	for _, r := range late {
		g.queue.remove(r)
		r.task.Payload = nil
		effects = append(effects, g.fence(r, "the task could no longer end in time"))
	}
	return effects
}

func (g *Guard) tick(now time.Time) []Effect {
	if now.Sub(g.lastCleanUp) >= g.limits.Retention/forgetShare {
		g.forget(now)
	}
	return g.fillSlots(now)
}

// isStuck reports whether all slots are taken and no task has ended for much longer than tasks take.
func (g *Guard) isStuck(now time.Time) bool {
	patience := max(stuckFactor*g.mean, minStuckTimeout)
	return g.running >= g.limits.Slots && now.Sub(g.lastProgress) > patience
}

// forget drops the records whose deadline lies further back than the retention.
func (g *Guard) forget(now time.Time) {
	g.lastCleanUp = now
	before := now.Add(-g.limits.Retention)
	for id, r := range g.records {
		if r.state >= stateEnded && r.task.Deadline.Before(before) {
			delete(g.records, id)
		}
	}
}
