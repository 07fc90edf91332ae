// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"math"
	"time"

	"sailhead/internal/worker"
)

// Limits bound what a runner holds and how long it waits.
type Limits struct {
	// Session is how long an entry's tasks run on after the ping that it last echoed.
	Session time.Duration
	// Ping is the time between two pings.
	Ping time.Duration
	// Hold is the longest lease that the worker grants.
	Hold time.Duration
	// Stop is the longest time that a stop takes at the worker.
	Stop time.Duration
	// Queue is the largest number of tasks that wait for room.
	Queue int
}

// DefaultLimits returns the limits for a worker that grants and stops as given. A session and a lease together
// are shorter than the time after which a caller comes back whose entry is gone.
func DefaultLimits(hold, stop time.Duration) Limits {
	return Limits{
		Session: 600 * time.Millisecond, Ping: 120 * time.Millisecond,
		Hold: min(hold, maxHold), Stop: stop, Queue: 512,
	}
}

// maxHold is the longest lease that is asked for: a dead agent's runs have ended after it.
const maxHold = 550 * time.Millisecond

const (
	// holdPause is the time between two holds while tasks run.
	holdPause = 60 * time.Millisecond
	// idlePause is the time between two holds while nothing runs.
	idlePause = 300 * time.Millisecond
	// holdWait is how long a hold waits for an end at the worker.
	holdWait = 500 * time.Millisecond
	// silence is how long a worker may leave all holds unanswered before it gets no new leases.
	silence = 300 * time.Millisecond
	// repeatPause is the time between two calls to stop the same run.
	repeatPause = 40 * time.Millisecond
	// retryPause is the shortest time between two calls of which the first was not answered: a worker that ends
	// its connections would be called without end.
	retryPause = 20 * time.Millisecond
	// unhealthyTime is how long a worker that refused a call as unhealthy gets no tasks.
	unhealthyTime = 400 * time.Millisecond
	// loadPause is the shortest time between two loads to a session.
	loadPause = 4 * time.Millisecond
	// driftDivisor bounds the drift of the worker's clock: one part in so many.
	driftDivisor = 50
	// fenceStep is added to a fencing token that the worker has seen surpassed.
	fenceStep = 1 << 20
	// runStep is added to the number of a run that the worker calls outdated.
	runStep = 16
	// maxPastLives is how many ended lives of the worker are remembered.
	maxPastLives = 32
)

// Runner runs tasks on one worker. It is not safe for concurrent use.
type Runner struct {
	limits   Limits
	fence    uint64
	life     *life
	past     []string
	sessions map[SessionID]*session
	tasks    map[string]*task
	queue    []*task
	leaving  bool
	health   health
	effects  []Effect
}

// life is one life of the worker.
type life struct {
	record worker.Record
	// began is when this process heard of the life.
	began time.Time
	// used is what the runs that may be there take.
	used worker.Room
	// lastSeen is the number of the last end that was taken in.
	lastSeen uint64
	// unnoted are the ends that the worker must not forget yet, by their numbers.
	unnoted map[uint64]*unnotedEnd
	// ended is when the last end was taken note of.
	ended time.Time
	// answered is when a hold that was answered was last asked for.
	answered time.Time
	// granted is when a lease was last asked for.
	granted time.Time
	// held is when a hold was last sent.
	held time.Time
	// waiting is set while a hold waits at the worker, and waitAfter is when the next may.
	waiting   bool
	waitAfter time.Time
	// clock is the worker's clock, as read at clockRead.
	clock     time.Duration
	clockRead time.Time
	// foreign are the runs that the worker lists and nobody here asked for, with the time of the last stop.
	foreign map[string]time.Time
	// unhealthyUntil is until when the worker gets no new tasks.
	unhealthyUntil time.Time
	// fullUntil is until when the worker is taken to be full.
	fullUntil time.Time
}

// New returns a runner without a worker. The fencing token should be above those of earlier processes.
func New(limits Limits, fence uint64) *Runner {
	return &Runner{
		limits:   limits,
		fence:    fence,
		sessions: make(map[SessionID]*session),
		tasks:    make(map[string]*task),
	}
}

// Handle takes in an event and returns its effects in order.
func (r *Runner) Handle(now time.Time, event Event) []Effect {
	r.effects = nil
	switch e := event.(type) {
	case SessionOpened:
		r.openSession(now, e)
	case SessionClosed:
		r.closeSession(now, e.Session)
	case PongHeard:
		r.hearPong(e)
	case StartAsked:
		r.askStart(now, e)
	case StopAsked:
		r.askStop(now, e)
	case EndNoted:
		r.noted(e.Name, e.Run)
	case WorkerSeen:
		r.seeWorker(now, e.Record)
	case WorkerRecalled:
		r.recall(now, e.Record)
	case WorkerLeft:
		r.seeLeft(e.ID)
	case StartAnswered:
		r.startAnswered(now, e)
	case StopAnswered:
		r.stopAnswered(now, e)
	case HoldAnswered:
		r.holdAnswered(now, e)
	case LeaveAsked:
		r.leave()
	case Ticked:
		r.tick(now)
	}
	r.fill(now)
	r.sendLoads(now)
	return r.effects
}

func (r *Runner) emit(effect Effect) {
	r.effects = append(r.effects, effect)
}

// IsIdle reports whether no task waits or runs.
func (r *Runner) IsIdle() bool {
	return len(r.tasks) == 0
}

// Life returns the record of the worker, and whether one is known.
func (r *Runner) Life() (worker.Record, bool) {
	if r.life == nil {
		return worker.Record{}, false
	}
	return r.life.record, true
}

// Counts returns the numbers of sessions, waiting tasks and tasks at the worker.
func (r *Runner) Counts() (sessions, waiting, active int) {
	return len(r.sessions), len(r.queue), len(r.tasks) - len(r.queue)
}

func (r *Runner) tick(now time.Time) {
	r.tickSessions(now)
	r.dropWaiting(now)
	if r.life == nil {
		return
	}
	r.repeatStops(now)
	r.lookAtHealth(now)
	r.retell(now)
	r.hold(now)
	r.expireLease(now)
}

// lookAtHealth takes in how the runs go on, and has the entries told if that changes what they do.
func (r *Runner) lookAtHealth(now time.Time) {
	before := r.health.slowness()
	r.health.look(now, r.active())
	if math.Abs(r.health.slowness()-before) > healthChange {
		r.markLoad()
	}
}

// healthChange is the change of the worker's slowness of which entries are told at once.
const healthChange = 0.3

// leave refuses what waits and all new tasks.
func (r *Runner) leave() {
	r.leaving = true
	r.markLoad()
	for _, t := range r.queue {
		r.forget(t, OutcomeNotStarted, "the agent is leaving")
	}
	r.queue = nil
}

// seeWorker takes in a heartbeat; those of ended lives and those that were overtaken change nothing.
func (r *Runner) seeWorker(now time.Time, record worker.Record) {
	if r.isPast(record.ID) {
		return
	}
	if r.life != nil && r.life.record.ID == record.ID {
		if record.Sequence < r.life.record.Sequence {
			return
		}
		r.update(now, record)
		return
	}
	if r.life != nil {
		r.addPast(r.life.record.ID)
	}
	r.endLife("another life of the worker began")
	r.life = &life{
		record: record, began: now, answered: now,
		foreign: make(map[string]time.Time), unnoted: make(map[uint64]*unnotedEnd),
	}
	r.health = health{}
	r.readClock(record.Clock, now)
	r.describeWorker()
	r.hold(now)
}

// recall takes up the worker of an earlier process unless a heartbeat has told of one. Its clock is unknown
// until it answers, so that it gets no task before it is known to live.
func (r *Runner) recall(now time.Time, record worker.Record) {
	if r.life == nil && !r.isPast(record.ID) {
		r.seeWorker(now, record)
	}
}

// update takes in a later heartbeat of the same life.
func (r *Runner) update(now time.Time, record worker.Record) {
	changed := record.Draining != r.life.record.Draining || record.Capacity != r.life.record.Capacity
	r.life.record = record
	r.readClock(record.Clock, now)
	if !changed {
		return
	}
	r.describeWorker()
	if record.Draining {
		for _, t := range r.queue {
			r.forget(t, OutcomeNotStarted, "the worker is draining")
		}
		r.queue = nil
	}
}

func (r *Runner) seeLeft(id string) {
	if r.life != nil && r.life.record.ID == id {
		r.endLife("the worker has left")
	}
	r.addPast(id)
}

// endLife ends every run of the worker's present life.
func (r *Runner) endLife(reason string) {
	if r.life == nil {
		return
	}
	r.life = nil
	for _, t := range r.active() {
		r.forget(t, OutcomeLost, reason)
	}
	r.markLoad()
}

func (r *Runner) isPast(id string) bool {
	for _, each := range r.past {
		if each == id {
			return true
		}
	}
	return false
}

func (r *Runner) addPast(id string) {
	if r.isPast(id) {
		return
	}
	r.past = append(r.past, id)
	if len(r.past) > maxPastLives {
		r.past = r.past[1:]
	}
}

// readClock takes in the worker's clock; the reading is at most as old as the answer that carried it.
func (r *Runner) readClock(clock time.Duration, received time.Time) {
	if clock <= 0 || r.life == nil {
		return
	}
	r.life.clock = clock
	r.life.clockRead = received
}

// until returns the end of a lease that begins now, on the worker's clock; nothing if the clock is unknown.
func (r *Runner) until(now time.Time) time.Duration {
	if r.life.clock == 0 {
		return 0
	}
	return r.life.clock + now.Sub(r.life.clockRead) + r.limits.Hold
}

// isSilent reports whether the worker has left all holds unanswered for some time.
func (l *life) isSilent(now time.Time) bool {
	return now.Sub(l.answered) > silence
}
