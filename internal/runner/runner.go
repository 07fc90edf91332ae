// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"math"
	"time"

	"sailhead/internal/timing"
	"sailhead/internal/worker"
)

// Limits bound what a runner holds and how long it waits.
type Limits struct {
	// Session is how long an entry's tasks run on after the ping that it last echoed.
	Session time.Duration
	// Ping is the time between two pings.
	Ping time.Duration
	// Lease is the longest lease that the worker grants.
	Lease time.Duration
	// Stop is the longest time that a stop takes at the worker.
	Stop time.Duration
	// Queue is the largest number of tasks that wait for room.
	Queue int
}

// DefaultLimits returns the limits for a worker that grants and stops as given. A session and a lease together
// are shorter than the time after which a caller comes back whose entry is gone.
func DefaultLimits(hold, stop time.Duration) Limits {
	return Limits{
		Session: timing.SessionLease, Ping: timing.PingInterval,
		Lease: min(hold, timing.WorkerLease), Stop: stop, Queue: 512,
	}
}

const (
	// idleRenewInterval is the time between two holds while nothing runs.
	idleRenewInterval = 300 * time.Millisecond
	// longPollTimeout is how long a hold waits for an end at the worker.
	longPollTimeout = 500 * time.Millisecond
	// stopRetryInterval is the time between two calls to stop the same run.
	stopRetryInterval = 40 * time.Millisecond
	// minRetryInterval is the shortest time between two calls of which the first was not answered: a worker that ends
	// its connections would be called without end.
	minRetryInterval = 20 * time.Millisecond
	// unhealthyBackoff is how long a worker that refused a call as unhealthy gets no tasks.
	unhealthyBackoff = 400 * time.Millisecond
	// loadInterval is the shortest time between two loads to a session.
	loadInterval = 4 * time.Millisecond
	// fenceStep is added to a fencing token that the worker has seen surpassed.
	fenceStep = 1 << 20
	// runStep is added to the number of a run that the worker calls outdated.
	runStep = 16
	// maxEndedIncarnations is how many ended lives of the worker are remembered.
	maxEndedIncarnations = 32
)

// Runner runs tasks on one worker. It is not safe for concurrent use.
type Runner struct {
	limits            Limits
	fence             uint64
	worker            *incarnation
	endedIncarnations []string
	sessions          map[SessionID]*session
	tasks             map[string]*task
	queue             []*task
	shuttingDown      bool
	health            health
	effects           []Effect
}

// life is one life of the worker.
type incarnation struct {
	record worker.Record
	// firstSeen is when this process heard of the life.
	firstSeen time.Time
	// used is what the runs that may be there take.
	used worker.Resources
	// lastEndNumber is the number of the last end that was taken in.
	lastEndNumber uint64
	// unacknowledged are the ends that the worker must not forget yet, by their numbers.
	unacknowledged map[uint64]*unacknowledgedEnd
	// ended is when the last end was taken note of.
	lastEnd time.Time
	// lastAnswered is when a hold that was answered was last asked for.
	lastAnswered time.Time
	// lastRenewal is when a lease was last asked for.
	lastRenewal time.Time
	// lastRenewSent is when a hold was last sent.
	lastRenewSent time.Time
	// longPolling is set while a hold waits at the worker, and waitAfter is when the next may.
	longPolling   bool
	longPollAfter time.Time
	// clock is the worker's clock, as read at clockRead.
	clock     time.Duration
	clockRead time.Time
	// orphans are the runs that the worker lists and nobody here asked for, with the time of the last stop.
	orphans map[string]time.Time
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
	case PongReceived:
		r.handlePong(e)
	case StartRequested:
		r.handleStart(now, e)
	case StopRequested:
		r.handleStop(now, e)
	case EndAcknowledged:
		r.acknowledge(e.Name, e.Run)
	case HeartbeatReceived:
		r.handleHeartbeat(now, e.Record)
	case WorkerRecalled:
		r.handleRecalled(now, e.Record)
	case WorkerLeft:
		r.handleWorkerLeft(e.ID)
	case StartAnswered:
		r.handleStartAnswer(now, e)
	case StopAnswered:
		r.handleStopAnswer(now, e)
	case RenewAnswered:
		r.handleRenewAnswer(now, e)
	case ShutdownRequested:
		r.beginShutdown()
	case Ticked:
		r.tick(now)
	}
	r.startQueued(now)
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
func (r *Runner) Worker() (worker.Record, bool) {
	if r.worker == nil {
		return worker.Record{}, false
	}
	return r.worker.record, true
}

// Counts returns the numbers of sessions, waiting tasks and tasks at the worker.
func (r *Runner) Counts() (sessions, waiting, active int) {
	return len(r.sessions), len(r.queue), len(r.tasks) - len(r.queue)
}

func (r *Runner) tick(now time.Time) {
	r.tickSessions(now)
	r.expireQueued(now)
	if r.worker == nil {
		return
	}
	r.retryStops(now)
	r.updateHealth(now)
	r.resendUnacknowledged(now)
	r.renew(now)
	r.expireLease(now)
}

// updateHealth takes in how the runs go on, and has the entries told if that changes what they do.
func (r *Runner) updateHealth(now time.Time) {
	before := r.health.slowness()
	r.health.update(now, r.active())
	if math.Abs(r.health.slowness()-before) > minHealthChange {
		r.markLoadDue()
	}
}

// minHealthChange is the change of the worker's slowness of which entries are told at once.
const minHealthChange = 0.3

// beginShutdown refuses what waits and all new tasks.
func (r *Runner) beginShutdown() {
	r.shuttingDown = true
	r.markLoadDue()
	for _, t := range r.queue {
		r.finish(t, OutcomeNotStarted, "the agent is leaving")
	}
	r.queue = nil
}

// handleHeartbeat takes in a heartbeat; those of ended lives and those that were overtaken change nothing.
func (r *Runner) handleHeartbeat(now time.Time, record worker.Record) {
	if r.hasEnded(record.ID) {
		return
	}
	if r.worker != nil && r.worker.record.ID == record.ID {
		if record.Sequence < r.worker.record.Sequence {
			return
		}
		r.update(now, record)
		return
	}
	if r.worker != nil {
		r.rememberEnded(r.worker.record.ID)
	}
	r.endIncarnation("another life of the worker began")
	r.worker = &incarnation{
		record: record, firstSeen: now, lastAnswered: now,
		orphans: make(map[string]time.Time), unacknowledged: make(map[uint64]*unacknowledgedEnd),
	}
	r.health = health{}
	r.readClock(record.Clock, now)
	r.announceWorker()
	r.renew(now)
}

// handleRecalled takes up the worker of an earlier process unless a heartbeat has told of one. Its clock is unknown
// until it answers, so that it gets no task before it is known to live.
func (r *Runner) handleRecalled(now time.Time, record worker.Record) {
	if r.worker == nil && !r.hasEnded(record.ID) {
		r.handleHeartbeat(now, record)
	}
}

// update takes in a later heartbeat of the same life.
func (r *Runner) update(now time.Time, record worker.Record) {
	changed := record.Draining != r.worker.record.Draining || record.Capacity != r.worker.record.Capacity
	r.worker.record = record
	r.readClock(record.Clock, now)
	if !changed {
		return
	}
	r.announceWorker()
	if record.Draining {
		for _, t := range r.queue {
			r.finish(t, OutcomeNotStarted, "the worker is draining")
		}
		r.queue = nil
	}
}

func (r *Runner) handleWorkerLeft(id string) {
	if r.worker != nil && r.worker.record.ID == id {
		r.endIncarnation("the worker has left")
	}
	r.rememberEnded(id)
}

// endIncarnation ends every run of the worker's present life.
func (r *Runner) endIncarnation(reason string) {
	if r.worker == nil {
		return
	}
	r.worker = nil
	for _, t := range r.active() {
		r.finish(t, OutcomeLost, reason)
	}
	r.markLoadDue()
}

func (r *Runner) hasEnded(id string) bool {
	for _, each := range r.endedIncarnations {
		if each == id {
			return true
		}
	}
	return false
}

func (r *Runner) rememberEnded(id string) {
	if r.hasEnded(id) {
		return
	}
	r.endedIncarnations = append(r.endedIncarnations, id)
	if len(r.endedIncarnations) > maxEndedIncarnations {
		r.endedIncarnations = r.endedIncarnations[1:]
	}
}

// readClock takes in the worker's clock; the reading is at most as old as the answer that carried it.
func (r *Runner) readClock(clock time.Duration, received time.Time) {
	if clock <= 0 || r.worker == nil {
		return
	}
	r.worker.clock = clock
	r.worker.clockRead = received
}

// leaseUntil returns the end of a lease that begins now, on the worker's clock; nothing if the clock is unknown.
func (r *Runner) leaseUntil(now time.Time) time.Duration {
	if r.worker.clock == 0 {
		return 0
	}
	return r.worker.clock + now.Sub(r.worker.clockRead) + r.limits.Lease
}

// isUnresponsive reports whether the worker has left all holds unanswered for some time.
func (l *incarnation) isUnresponsive(now time.Time) bool {
	return now.Sub(l.lastAnswered) > timing.WorkerUnresponsiveAfter
}
