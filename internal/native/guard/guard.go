// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package guard

import (
	"math/rand/v2"
	"time"

	"sailhead/internal/native/admission"
	"sailhead/internal/native/model"
)

// Limits are the bounds of a guard.
type Limits struct {
	// Slots is the number of tasks that run at a time.
	Slots int
	// Queue is the largest number of tasks that wait.
	Queue int
	// Records is the largest number of tasks in the table, waiting and running ones included.
	Records int
	// Retention is how long after its deadline the record of a task is retained.
	Retention time.Duration
}

// Guard starts the tasks of one worker. It is not safe for concurrent use.
type Guard struct {
	limits  Limits
	records map[model.TaskID]*record
	queue   queue
	// running counts the records in stateRunning.
	running   int
	leaving   bool
	estimator *admission.Estimator
	random    *rand.Rand
	usage     usage
	// mean is the moving average of the service times of all kinds; see meanWeight.
	mean time.Duration
	// lastProgress is when a task last ended, or the last free slot was last taken.
	lastProgress time.Time
	// lastCleanUp is when old records were last removed.
	lastCleanUp time.Time
}

// cleanUpDivisor sets the interval of cleanUp, a part of the retention.
const cleanUpDivisor = 8

// New returns a guard without tasks.
func New(limits Limits, random *rand.Rand) *Guard {
	return &Guard{
		limits:    limits,
		records:   make(map[model.TaskID]*record),
		estimator: admission.NewEstimator(),
		random:    random,
	}
}

// Active is a waiting or running task.
type Active struct {
	Task   Task
	Queued bool
	// Since is when the task came if it waits, and when it started if it runs.
	Since time.Time
}

// ActiveTasks returns the waiting and running tasks in no particular order.
func (g *Guard) ActiveTasks() []Active {
	var active []Active
	for _, r := range g.records {
		if !r.isFinal() {
			active = append(active, Active{Task: r.task, Queued: r.state == stateQueued, Since: r.since})
		}
	}
	return active
}

// IsIdle reports whether no task waits or runs.
func (g *Guard) IsIdle() bool {
	return g.running == 0 && len(g.queue) == 0
}

// Handle applies one event and returns its effects in order.
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

// start queues a new task, refuses it, or answers for one that is known.
func (g *Guard) start(now time.Time, task Task) []Effect {
	if r, known := g.records[task.ID]; known {
		return g.answerKnown(r)
	}
	if refusal, refused := g.refuse(now, task); refused {
		return []Effect{Answer{ID: task.ID, Outcome: refusal}}
	}
	expected := g.estimator.Of(task.Kind, task.Expected).Mean
	r := &record{task: task, state: stateQueued, since: now, expected: expected}
	if g.mean == 0 {
		g.mean = expected
	}
	g.records[task.ID] = r
	g.queue.add(r)
	return g.fillSlots(now)
}

// answerKnown repeats the outcome of a task. A task without an outcome gets its Answer when it ends.
func (g *Guard) answerKnown(r *record) []Effect {
	if !r.isFinal() {
		return nil
	}
	return []Effect{Answer{ID: r.task.ID, Outcome: r.outcome}}
}

// report answers with the outcome of a task. An unknown task is fenced first, so that a start of it that arrives later
// does not run it. A waiting task is fenced if it is to be withdrawn.
func (g *Guard) report(asked ReportAsked) []Effect {
	r, known := g.records[asked.ID]
	switch {
	case known && r.state == stateQueued && asked.Withdraw:
		g.queue.remove(r)
		return []Effect{g.fence(r, "the task was withdrawn")}
	case known:
		return g.answerKnown(r)
	case len(g.records) >= g.limits.Records:
		// Without a record the guard cannot promise that the task never starts.
		outcome := model.TaskFailed{Cause: model.CauseUnknown, Reason: "the guard's table is full"}
		return []Effect{Answer{ID: asked.ID, Outcome: outcome}}
	}
	r = &record{task: Task{ID: asked.ID, Deadline: asked.Deadline}}
	g.records[asked.ID] = r
	return []Effect{g.fence(r, "the task never arrived")}
}

// fence records that the task never starts here.
func (g *Guard) fence(r *record, reason string) Effect {
	r.state = stateFenced
	r.outcome = model.TaskNotStarted{Reason: reason}
	return Answer{ID: r.task.ID, Outcome: r.outcome}
}

// end records the outcome of a running task and starts the next one.
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

// fillSlots starts waiting tasks while slots are free. Waiting tasks that are too late are fenced before.
func (g *Guard) fillSlots(now time.Time) []Effect {
	effects := g.dropLate(now)
	for g.running < g.limits.Slots && len(g.queue) > 0 {
		r := g.queue.next()
		r.state = stateRunning
		r.since = now
		g.running++
		if g.running == g.limits.Slots {
			g.lastProgress = now
		}
		effects = append(effects, RunTask{Task: r.task})
	}
	return effects
}

// tick applies what depends on time alone.
func (g *Guard) tick(now time.Time) []Effect {
	if now.Sub(g.lastCleanUp) >= g.limits.Retention/cleanUpDivisor {
		g.cleanUp(now)
	}
	return g.fillSlots(now)
}

// cleanUp removes the records of tasks that ended or were fenced and whose deadline is past by the retention.
func (g *Guard) cleanUp(now time.Time) {
	g.lastCleanUp = now
	before := now.Add(-g.limits.Retention)
	for id, r := range g.records {
		if r.isFinal() && r.task.Deadline.Before(before) {
			delete(g.records, id)
		}
	}
}
