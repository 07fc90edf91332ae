// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/evacuation"
	"sailhead/internal/timing"
	"sailhead/internal/worker"
)

// Limits bound the queue of a runner and set its times. The zero value is not usable; see DefaultLimits.
type Limits struct {
	// Session is how long the tasks of an entry may run after the agent sent the last ping that the entry echoed.
	Session time.Duration
	// Ping is the interval between pings on a session with tasks, and IdlePing the interval on a session without tasks.
	Ping     time.Duration
	IdlePing time.Duration
	// Lease is the length of the leases that are requested from the worker.
	Lease time.Duration
	// Stop is the longest time between the worker's answer to a stop and the end of the run, on the worker's clock.
	Stop time.Duration
	// Queue is the largest number of queued tasks.
	Queue int
	// NoEjection disables the ejection of a worker on which too many runs fail; see ejection.go.
	NoEjection bool
	// NoShares disables shares: free resources are offered by urgency alone; see shares.go.
	NoShares bool
}

// defaultQueueLimit is the default of Limits.Queue. Tasks wait in the queue only for a repeated start, so more queued tasks than any worker
// can run are a fault of the entries.
const defaultQueueLimit = 512

// DefaultLimits returns the limits for a worker that grants leases of up to maxLease and stops runs within stopTime.
func DefaultLimits(maxLease, stopTime time.Duration) Limits {
	return Limits{
		Session:  timing.SessionLease,
		Ping:     timing.PingInterval,
		IdlePing: timing.IdlePingInterval,
		Lease:    min(maxLease, timing.WorkerLease),
		Stop:     stopTime,
		Queue:    defaultQueueLimit,
	}
}

// Runner runs tasks on one worker. It is not safe for concurrent use.
type Runner struct {
	limits Limits
	// fence is the fencing token of all calls to the worker.
	fence uint64
	// worker is the current incarnation of the worker, or nil while none is known.
	worker *incarnation
	// candidate is the record of an incarnation that may have replaced the current one; see candidate.go.
	candidate *worker.Record
	// endedIncarnations are the latest incarnations that have ended, oldest first.
	endedIncarnations []worker.Incarnation
	// crashes are the latest crashes of the worker, oldest first.
	crashes []crashReport
	// earlierEnds are the unacknowledged ends of ended incarnations, oldest first.
	earlierEnds []*unacknowledgedEnd
	// storedEnds are the ends that are to be stored, as last emitted at endsStoredAt.
	storedEnds   []Update
	endsStoredAt time.Time
	// unsettled are tasks of ended incarnations that are not reported as lost yet, oldest first.
	unsettled []unsettledTask
	// unansweredStarts are the starts without an answer when the worker crashed, oldest first.
	unansweredStarts []unansweredStart
	sessions         map[SessionID]*session
	// orderedSessions are the same sessions in the order in which they were opened.
	orderedSessions []*session
	// tasks are the queued and active tasks by name, without the tasks that wait in supersededBy.
	tasks map[string]*task
	// queue are the tasks in stateQueued.
	queue []*task
	// reservations are the waiting reservations of all sessions, and offers the offers without an answer.
	reservations []*reservation
	offers       map[OfferID]*offer
	// offered is the sum of the unused resources of the offers.
	offered   worker.Resources
	lastOffer OfferID
	lastStart uint64
	// hadWorker is set once this process has known an incarnation of the worker.
	hadWorker bool
	// lastKnowsAllEnds is the value of knowsAllEnds when the load was last marked as due because of it.
	lastKnowsAllEnds bool
	// lastInSession is when an entry last had a session at a tick, or when the first tick was handled.
	lastInSession time.Time
	// lastTick is when the latest tick was handled.
	lastTick     time.Time
	lateness     lateness
	shuttingDown bool
	// evacuations is the state of the evacuated availability zones, merged from all entries. isEvacuated is set if the worker's zone is
	// evacuated.
	evacuations evacuation.State
	isEvacuated bool
	ejection    ejectionState
	health      health
	// sentHealth is the value of health when the load was last marked as due because of it.
	sentHealth health
	speed      speed
	// sentTimeFactor is the value of the time factor when the load was last marked as due because of it.
	sentTimeFactor float64
	// now is the time of the event that is being handled, for methods without a parameter for it.
	now     time.Time
	sharing sharing
	// effects collects the effects of the event that is being handled.
	effects []Effect
}

// New returns a runner without a worker. The fencing token must be higher than those of earlier processes of the agent.
// If it is not, the runner raises it when the worker rejects a call.
func New(limits Limits, fence uint64) *Runner {
	return &Runner{
		limits:   limits,
		fence:    fence,
		sessions: make(map[SessionID]*session),
		tasks:    make(map[string]*task),
		offers:   make(map[OfferID]*offer),
		sharing:  newSharing(),
	}
}

// Handle applies an event that happened at now and returns the effects to carry out, in order.
func (r *Runner) Handle(now time.Time, event Event) []Effect {
	r.effects = nil
	r.now = now
	r.apply(now, event)
	r.applyEvacuation()
	r.applyEjection(now)
	r.startQueued(now)
	r.pollIfDue(now)
	r.offerFreeResources(now)
	r.sendLoadIfKnowledgeChanged(now)
	r.sendLoads(now)
	return r.effects
}

func (r *Runner) apply(now time.Time, event Event) {
	switch e := event.(type) {
	case SessionOpened:
		r.openSession(now, e)
	case SessionClosed:
		r.closeSession(now, e.Session)
	case PongReceived:
		r.handlePong(now, e)
	case StartRequested:
		r.handleStart(now, e)
	case StopRequested:
		r.handleStop(now, e)
	case ReservationRequested:
		r.reserve(e)
	case OfferAnswered:
		r.answerOffer(now, e)
	case EndAcknowledged:
		r.acknowledge(e.Name, e.Run)
	case HeartbeatReceived:
		r.handleHeartbeat(now, e.Record)
	case StoredWorkerLoaded:
		r.handleStoredWorker(now, e.Record)
	case WorkerLeft:
		r.handleWorkerLeft(now, e)
	case StartAnswered:
		r.handleStartAnswer(now, e)
	case StopAnswered:
		r.handleStopAnswer(now, e)
	case RenewAnswered:
		r.handleRenewAnswer(now, e)
	case EvacuationsReceived:
		r.evacuations = r.evacuations.Merge(e.State)
	case ShutdownRequested:
		r.beginShutdown()
	case Ticked:
		r.tick(now)
	}
}

// tick runs the checks that depend on time. Their order matters: sessions end and queued tasks expire even while no
// worker is known, and the lease is checked after the renewal.
func (r *Runner) tick(now time.Time) {
	r.recordTick(now)
	r.tickSessions(now)
	r.recordSessions(now)
	r.expireQueued(now)
	r.expireOffers(now)
	r.expireProbes(now)
	r.resendEarlierEnds(now)
	r.updateStoredEnds(now)
	r.finishUnsettled(now)
	r.expireUnansweredStarts(now)
	if r.worker == nil {
		return
	}
	r.retryStops(now)
	r.reportOverdueStops(now)
	r.updateLeaseHeldBack(now)
	r.expireIsolation(now)
	r.updateHealth(now)
	r.updateEjection(now)
	r.updateShares(now)
	r.resendUnacknowledged(now)
	r.renew(now)
	r.expireLease(now)
}

// beginShutdown rejects the queued tasks and all new ones. Active runs continue.
func (r *Runner) beginShutdown() {
	r.shuttingDown = true
	r.dropAllReservations()
	r.rejectQueued(reasonShuttingDown, anyTask)
}

func (r *Runner) emit(effect Effect) {
	r.effects = append(r.effects, effect)
}

// IsIdle reports whether no task is queued or active.
func (r *Runner) IsIdle() bool {
	return len(r.tasks) == 0
}

// Worker returns the latest record of the worker. ok is false while there is no record that describes the current incarnation.
func (r *Runner) Worker() (record worker.Record, ok bool) {
	if r.worker == nil || !r.worker.isDescribed {
		return worker.Record{}, false
	}
	return r.worker.record, true
}

// Counts returns the numbers of sessions, of queued tasks and of tasks that may be on the worker.
func (r *Runner) Counts() (sessions, queued, active int) {
	return len(r.sessions), len(r.queue), len(r.tasks) - len(r.queue)
}
