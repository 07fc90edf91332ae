// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package runner implements the decision logic of an agent, which runs the tasks of entries on one worker.
//
// A Runner is a state machine without I/O: Handle applies one event at a given time and returns the effects to carry
// out, in order. Package agent passes events to it and carries the effects out; package session sends the effects that
// are addressed to entries.
//
// # State
//
// The queue of tasks that wait for resources, the state of each run that may be on the worker, the sessions of the
// entries with their leases, the incarnation of the worker, and the ends of runs that no owner has acknowledged.
// All state is in memory. After a restart of the agent, the worker's first listing shows the runs that are left from
// the earlier process.
//
// # Assumptions
//
// The times in package timing, and the guarantees of the worker: it ends runs whose lease has expired, rejects calls
// with a lower fencing token, rejects a run number that it has already seen end or stop, and ends a stopped run within
// Limits.Stop.
//
// # Guarantees
//
// Two runs of a task never overlap on this worker, and a task is reported as not started only if no run of it started.
// A start call without an answer is therefore resolved by a listing with a higher fencing token before the task runs
// again.
//
// # Failures of other processes
//
//	entry   the lease of its session expires, its active tasks are stopped and its queued tasks dropped (session.go)
//	worker  a new incarnation, a refused connection or a removal ends all runs as lost (incarnation.go); a worker
//	        that does not answer gets no new tasks and no new leases, and its runs are reported as lost once their
//	        leases have expired (lease.go)
//	agent   the worker ends the runs when their lease expires, or the next process stops them as orphans (orphan.go)
//	path to the owners of durable jobs
//	        ends that no entry acknowledges are stored (storedend.go); an agent without any session lets the worker's
//	        lease expire (isolation.go)
//	store   no effect on runs; ends are stored once it answers again
//
// # Files
//
//	admission.go    when the worker accepts tasks
//	health.go       slowness and failure rate
//	ejection.go     when the worker is ejected, and what that means
//	judge.go        results of runs as input of the ejection
//	probe.go        which entries probe an ejected worker
//	queue.go        waiting for resources; replacing a task of an earlier session by that of a newer one
//	reservation.go  which reservation gets the resources that become free
//	shares.go       fair sharing of the worker between kinds and availability zones
//	headroom.go     resources that long tasks leave free for shorter ones
//	urgency.go      the order in which tasks start
//	start.go        start calls and their answers, start calls without an answer
//	stop.go         stop calls, their retries, and when a stopped run has ended
//	renew.go        how often the worker is called, and what its answers show
//	listing.go      the runs and ends in the worker's listings
//	crash.go        crashes of the worker, and the entries that are informed of them
//	unanswered.go   answers to starts that arrive after a crash
//	evidence.go     which runs were running when the worker crashed
//	suspect.go      tasks beside which no other task is started
//	lease.go        the worker's lease and its expiry
//	orphan.go       runs that an earlier process of the agent started
//	acknowledge.go  ends that the worker keeps until an owner has recorded them
//	storedend.go    which of these ends are kept in the platform's store
//	isolation.go    when an agent can tell no entry of the ends that it holds
package runner
