// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package timing defines the time-outs, intervals and leases that prevent two runs of one task from overlapping when processes stop
// responding, and those after which a process is considered unreachable. They depend on each other: the tests of this package check the
// relations and name the one that a change breaks.
//
// Every delay before a second run of a task must be longer than anything that can keep the first run alive:
//
//	session lost        the agent stops the entry's runs after SessionLease, the worker ends them within MaxStopTime
//	agent dies too      the worker's lease expires WorkerLease after the last renewal
//	entry reruns        RerunDelay after it lost the session: the sum of the three, of which MaxStopTime covers the
//	                    drift of the worker's clock (2 % of WorkerLease) if the agent died at the last moment
//	caller retries      after CallerRetryDelay, when nothing of the abandoned job is running any more
//
// Durable jobs must not lose the result of a completed run, so they wait longer for the agent or the worker to come back and report it:
// DurableRerunDelay and DurableLossDelay. These waits prove nothing about the result. An agent stores what it can report to no owner within them
// (EndStoreDelay), or lets its worker's lease expire (IsolationTimeout), and the owner reads the store after them.
package timing

import "time"

// Limits given by the users' platform.
const (
	// CallerRetryDelay is how long a caller waits before it resubmits a job that got no answer or whose connection broke. Source:
	// resend_ms, 1,300 on every site.
	CallerRetryDelay = 1300 * time.Millisecond
	// MaxStopTime is the longest time between a worker's answer to a stop request and the end of the run. Source: stop_ms, 50 on every site.
	// Agents use their setting stop_time, which has the same source; entries have no such setting.
	MaxStopTime = 50 * time.Millisecond
)

// Sessions between entries and agents.
const (
	// PingInterval is the interval at which an agent sends pings on a session. Two intervals must be shorter than SuspectAfter.
	PingInterval = 120 * time.Millisecond
	// IdlePingInterval is the ping interval of a session without running tasks. One late ping must not yet reach SuspectAfter, and the
	// session's lease must cover at least three intervals. As most sessions have no task most of the time, the longer interval saves about
	// a third of all pings.
	IdlePingInterval = 200 * time.Millisecond
	// SessionLease is how long an entry's runs may continue after the agent sent the last ping that the entry echoed. It is measured on the
	// agent's clock from when the ping was sent, so that a late echo does not extend it. It covers five pings, and is bounded by RerunDelay,
	// which must stay below CallerRetryDelay.
	SessionLease = 600 * time.Millisecond
	// SuspectAfter is how long an agent may be silent before an entry stops sending it new tasks: more than two ping intervals.
	SuspectAfter = 300 * time.Millisecond
	// SessionCloseTimeout is how long an agent may be silent before an entry closes the session. It is shorter than SessionLease, so that the
	// agent can have accepted a new session by the time it stops the old runs.
	SessionCloseTimeout = 560 * time.Millisecond
)

// Leases between an agent and its worker.
const (
	// WorkerLease is the longest lease that an agent requests from its worker. If the agent dies, its runs end when the lease expires.
	WorkerLease = 550 * time.Millisecond
	// RenewInterval is the interval of lease renewals while tasks run on the worker: nine renewals per lease.
	RenewInterval = 60 * time.Millisecond
	// WorkerUnresponsiveAfter is how long a worker may leave renewals unanswered before the agent accepts no new tasks and stops extending
	// the leases: five renewals.
	WorkerUnresponsiveAfter = 300 * time.Millisecond
	// ClockDriftDivisor bounds the drift of a worker's clock to one part in 50, the 2 % that the users' protocol page states.
	ClockDriftDivisor = 50
)

// RerunDelay is the delay after the loss of a session until all of its runs have ended and tasks can be started again: a live agent stops
// them when the session's lease expires, and those of a dead agent end with the worker's lease.
const RerunDelay = SessionLease + WorkerLease + MaxStopTime

// Durable jobs.
const (
	// DurableRerunDelay is how long a task of a durable job waits for its agent to report or store the end of its run after the session was
	// lost, before it is run again.
	DurableRerunDelay = 8 * time.Second
	// EndStoreDelay is how long an end stays unacknowledged before its agent stores it. Owners record ends within milliseconds.
	EndStoreDelay = 2 * time.Second
	// EndStoreInterval is the shortest time between two writes of an agent's ends to the store.
	EndStoreInterval = 500 * time.Millisecond
	// EndStoreRetryDelay is the longest delay before the retry of such a write that failed.
	EndStoreRetryDelay = 600 * time.Millisecond
	// IsolationTimeout is how long an agent may be without a session before it lets its worker's lease expire because of the ends that it
	// holds.
	IsolationTimeout = 5 * time.Second
	// StoredEndsInterval is the interval at which an owner reads the stored ends while the ends of runs are not reported to it.
	StoredEndsInterval = time.Second
	// StoredEndsMaxAge is how old the latest read of the stored ends may be when a task whose run was not reported runs again. It allows for
	// one read without an answer.
	StoredEndsMaxAge = 2 * time.Second
	// DurableLossDelay is how long after the lease expired an agent keeps a durable task of an unresponsive worker before it reports the
	// run as lost.
	DurableLossDelay = 7 * time.Second
	// ClaimLease is the TTL of the store lease to which an entry's shard claims are attached. Each entry renews it once a
	// second, which is within the store's rate limits.
	ClaimLease = 6 * time.Second
	// RecoveryDelay is how long after the previous owner of a shard stopped the new owner waits before it starts runs. Agents stop the
	// previous owner's runs within SessionLease and report unrecorded ends within EndResendInterval.
	RecoveryDelay = 2500 * time.Millisecond
	// EndResendInterval is the interval at which an agent resends an end that no owner has recorded.
	EndResendInterval = 300 * time.Millisecond
)

// Watches of the platform's store.
const (
	// StoreWatchTimeout is how long a watch waits for a change before the store returns an empty answer.
	StoreWatchTimeout = 1500 * time.Millisecond
	// StoreCallTimeout is the time-out of a call to the store; for a watch it is added to StoreWatchTimeout. The store answers within 4 ms.
	StoreCallTimeout = 700 * time.Millisecond
	// StoreRetryDelay is the delay before the retry of a call that the store did not answer. While it does not answer, 83 entries and agents
	// make 415 calls a second, of the 7,200 that their store can take. The delay also leaves time for several attempts within
	// EvacuationDeadline.
	StoreRetryDelay = 200 * time.Millisecond
	// MinStoreWatchPause is the minimum delay between the answer to a watch that returned member changes and the next watch, so that changes
	// in quick succession are batched. As each change is sent to every entry, the delay grows by StoreWatchPausePerEntry up to
	// MaxStoreWatchPause. With up to 160 entries all of them together then make 200 watch calls a second, however many members change.
	MinStoreWatchPause      = 200 * time.Millisecond
	MaxStoreWatchPause      = 800 * time.Millisecond
	StoreWatchPausePerEntry = 5 * time.Millisecond
	// StoreDataMaxAge is how long after the store's last answer an entry treats the data as current. It is longer than a watch may
	// take.
	StoreDataMaxAge = 2500 * time.Millisecond
)

// Propagation of updates between entries, and from entries to agents.
const (
	// ExchangeInterval is the mean interval at which an entry exchanges state with a random peer; a single interval is up to half as long
	// again. Without the store an update reaches all entries in a few exchanges: about four for 13 entries, or 2 s. A new configuration may
	// take 3 s to propagate with the store and 6 s more without it.
	ExchangeInterval = 450 * time.Millisecond
	// PeerCallTimeout is the time-out of a call to another entry: 100 round trips between availability zones.
	PeerCallTimeout = 400 * time.Millisecond
	// EvacuationDeadline is the time after the acknowledgement of a zone's evacuation from which no task may start there. Source: evac_ms, 5,000
	// on the site that has it, for VMs that can reach a working store.
	EvacuationDeadline = 5 * time.Second
	// EvacuationGrace is the additional time allowed while the store rejects calls of VMs or they are disconnected from it, and the store is
	// neither down nor slow. Source: max_stretch_ms, 6,000 on the same site.
	EvacuationGrace = 6 * time.Second
)

// StorePropagationDelay is the longest time from a change in the store until an entry receives it, if the store works but the entry's
// connection stopped responding just before: the watch times out, and the next one is made after the longest pause.
const StorePropagationDelay = StoreWatchTimeout + StoreCallTimeout + StoreRetryDelay + MaxStoreWatchPause + StoreCallTimeout

// StoreWatchPause returns the delay after a watch that returned member changes, for the given number of entries. See MinStoreWatchPause.
func StoreWatchPause(entries int) time.Duration {
	return min(max(time.Duration(entries)*StoreWatchPausePerEntry, MinStoreWatchPause), MaxStoreWatchPause)
}

// PeerPropagationDelay is the longest time until an entry that cannot reach the store learns from a peer what all others know, if the first
// peer does not answer: two exchanges, the first of which times out.
const PeerPropagationDelay = 2*(ExchangeInterval+ExchangeInterval/2) + 2*PeerCallTimeout
