// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package timing holds the times that keep two runs of one task apart when processes stop answering, and those that
// decide when another process is taken for dead. They only make sense together: change one and the tests of this
// package say which relation breaks.
//
// Each wait that ends in a second run of a task must be longer than everything that can keep the first run alive:
//
//	a session is cut    agent stops the entry's runs after SessionLease, the worker within StopTime
//	the agent dies too  the worker's lease runs out WorkerLease after the last renewal
//	entry reruns        RerunDelay after it lost the session: the sum of the three, of which StopTime covers the
//	                    drift of the worker's clock (2 % of WorkerLease) if the agent died at the last moment
//	caller retries      CallerRetryAfter, with nothing left of the job that it gave up
//
// Durable jobs must not lose the end of a run that was done, so they wait longer, for the agent or the worker to come
// back and report it: DurableRerunDelay and DurableLossDelay.
package timing

import "time"

// Given by the users' platform.
const (
	// CallerRetryAfter is when a caller submits its job again after silence or a broken connection. Source: resend_ms,
	// 1,300 on every site.
	CallerRetryAfter = 1300 * time.Millisecond
	// StopTime is the longest time between the answer to a stop and the end of the run. Source: stop_ms, 50 on every
	// site. Agents use their setting stop_time, which has the same source; entries have no such setting.
	StopTime = 50 * time.Millisecond
)

// The session between an entry and an agent.
const (
	// PingInterval is the time between two pings of an agent on one session: two lost pings are not yet SuspectAfter.
	PingInterval = 120 * time.Millisecond
	// IdlePingInterval is the time between two pings on a session over which no task is running: one late ping is not yet SuspectAfter, and
	// the lease of a session never gets shorter than three of them. It saves about a third of the pings: most sessions have no task at most
	// times.
	IdlePingInterval = 200 * time.Millisecond
	// SessionLease is how long an entry's runs may go on after the agent sent the last ping that the entry echoed. It counts on the agent's
	// steady clock from when the ping was sent, so a late echo does not extend it: five pings, and RerunDelay must stay below
	// CallerRetryAfter.
	SessionLease = 600 * time.Millisecond
	// SuspectAfter is the silence of an agent after which an entry sends it no new tasks: more than two pings.
	SuspectAfter = 300 * time.Millisecond
	// CloseAfter is the silence of an agent after which an entry closes the session: before SessionLease, so that the agent has a new
	// session to accept by the time it stops the old runs.
	CloseAfter = 560 * time.Millisecond
)

// The lease between an agent and its worker.
const (
	// WorkerLease is the longest lease that an agent asks its worker for: the runs of an agent that died end after it.
	WorkerLease = 550 * time.Millisecond
	// RenewInterval is the time between two renewals while runs are on the worker: nine renewals in a lease.
	RenewInterval = 60 * time.Millisecond
	// WorkerUnresponsiveAfter is how long a worker may leave renewals unanswered before the agent takes no new tasks and stops extending
	// the leases: five renewals.
	WorkerUnresponsiveAfter = 300 * time.Millisecond
	// ClockDriftDivisor bounds the drift of a worker's clock: one part in 50, which is the 2 % of the users' page.
	ClockDriftDivisor = 50
)

// RerunDelay is how long after an entry lost its session with an agent the agent's runs have ended: a living agent
// stops them when the session's lease is over, and those of a dead agent end with the worker's lease.
const RerunDelay = SessionLease + WorkerLease + StopTime

// Durable jobs.
const (
	// DurableRerunDelay is how long a task of a durable job waits for its agent after the session was lost, before it runs again. A longer
	// cut of an agent that holds an unrecorded end lets the task run twice.
	DurableRerunDelay = 8 * time.Second
	// DurableLossDelay is how long beyond its lease an agent keeps a durable task of an unresponsive worker before it reports the run as
	// lost.
	DurableLossDelay = 7 * time.Second
	// OrphanEndTimeout is how long an agent keeps the ends of runs that its earlier process started, for an owner to record: longer than a
	// failover takes (ClaimLease + RecoveryDelay).
	OrphanEndTimeout = 12 * time.Second
	// ClaimLease is the time of the store's lease that an entry's claims of shards live by: one renewal a second for each entry fits the
	// store's rates.
	ClaimLease = 6 * time.Second
	// RecoveryDelay is how long after the earlier owner of a shard stopped the new one starts runs: agents stop its runs within
	// SessionLease and report unrecorded ends within EndResendInterval.
	RecoveryDelay = 2500 * time.Millisecond
	// EndResendInterval is the time between two reports of an end that no owner has recorded.
	EndResendInterval = 300 * time.Millisecond
)

// Changes of the platform's store.
const (
	// StoreWatchTimeout is how long a watch of the store waits for a change before it is answered empty.
	StoreWatchTimeout = 1500 * time.Millisecond
	// StoreCallTimeout bounds a call to the store, beyond the time that a watch waits. The store answers within 4 ms.
	StoreCallTimeout = 700 * time.Millisecond
	// StoreRetryDelay is the pause after a call that the store did not answer: 83 entries and agents then make 415 calls a second, of the
	// 7,200 that their store takes, and EvacuationTime allows some attempts.
	StoreRetryDelay = 200 * time.Millisecond
	// MinStoreWatchPause is the least time between the answer to a watch that brought members and the next watch, so that changes in quick
	// succession come together. Each change is told to all entries, so the pause grows by StoreWatchShare with each entry, up to
	// MaxStoreWatchPause: then all of them together call the store 200 times a second, however many members change, as long as there are no more than 160 entries.
	MinStoreWatchPause = 200 * time.Millisecond
	MaxStoreWatchPause = 800 * time.Millisecond
	StoreWatchShare    = 5 * time.Millisecond
	// StoreUpdateLifetime is how long after the last answer of the store an entry relies on what it said. Longer than
	// a watch may take.
	StoreUpdateLifetime = 2500 * time.Millisecond
)

// News between entries, and from entries to agents.
const (
	// ExchangeInterval is the mean time between two exchanges of an entry with a random other one; a single one takes up to half as much
	// longer. News reaches all entries in a few exchanges without the store: about four for 13 entries, 2 s; a configuration may take 3 s
	// with the store and 6 s more without it.
	ExchangeInterval = 450 * time.Millisecond
	// PeerCallTimeout is the longest time of a call to another entry: 100 round trips between availability zones.
	PeerCallTimeout = 400 * time.Millisecond
	// EvacuationTime is how long after the evacuation of an availability zone was acknowledged nothing more may start there.
	// Source: evac_ms, 5,000 on the site that has it, for VMs in touch with a store that is in order.
	EvacuationTime = 5 * time.Second
	// EvacuationGrace is how much longer it may take while the store turns VMs away or they are cut from it, and it is neither
	// down nor slow. Source: max_stretch_ms, 6,000 there.
	EvacuationGrace = 6 * time.Second
)

// StorePropagationDelay is the longest time from a change of the store until an entry has it, if the store is in order but the entry's
// connection fell silent just before: the watch runs into its time-out, and the next one is made after the longest pause.
const StorePropagationDelay = StoreWatchTimeout + StoreCallTimeout + StoreRetryDelay + MaxStoreWatchPause + StoreCallTimeout

// StoreWatchPause returns the pause after a watch that brought members, for a number of entries.
func StoreWatchPause(entries int) time.Duration {
	return min(max(time.Duration(entries)*StoreWatchShare, MinStoreWatchPause), MaxStoreWatchPause)
}

// PeerPropagationDelay is the longest time until an entry without the store has heard of what all others know, if the first entry that
// it asks does not answer: two exchanges, the first of which times out.
const PeerPropagationDelay = 2*(ExchangeInterval+ExchangeInterval/2) + 2*PeerCallTimeout
