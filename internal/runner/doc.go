// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package runner runs the tasks of entries on one worker. It is the decision part of an agent.
//
// A Runner is a state machine without I/O: Handle applies one event at a given time and returns the effects to carry
// out, in order. Package agent feeds it and carries the effects out; package session sends those that go to entries.
//
// # What it owns
//
// The queue of tasks that wait for resources, the state of each run that may be on the worker, the sessions of the
// entries with their leases, the incarnation of the worker, and the ends of runs that no owner has acknowledged.
// All of it is in memory. A new process learns from the worker's first listing what an earlier one left running.
//
// # What it relies on
//
// The times in package timing, and the worker's promises: it ends runs whose lease expired, rejects calls with a lower
// fencing token, rejects a run number that it has seen end or stop, and ends a stopped run within Limits.Stop.
//
// # What it guarantees
//
// Two runs of a task never overlap on this worker, and a task is reported as not started only if no run of it began.
// A start without an answer is therefore decided by a listing that fences it, before the task runs again.
//
// # When a neighbour dies
//
//	entry   its session's lease expires, its tasks are stopped and its queued tasks are dropped (session.go)
//	worker  a new incarnation, a refused connection or a removal ends all runs as lost (incarnation.go); a worker
//	        that does not answer gets no new tasks and no new leases, and its runs are reported lost once their
//	        leases have expired (lease.go)
//	agent   the worker ends the runs when their lease expires, or the next process stops them as orphans (orphan.go)
//	store   no effect: a runner does not use it
//
// # Where the rules are
//
//	admission.go    when the worker accepts tasks
//	health.go       slowness and failure rate
//	ejection.go     when the worker is ejected, and what that means
//	judge.go        how runs go, for the ejection
//	probe.go        who probes an ejected worker
//	queue.go        waiting for resources; a newer session replaces a task of an older one
//	reservation.go  who gets the resources that become free
//	shares.go       how the worker is divided while several kinds and zones wait for it
//	headroom.go     what long tasks leave free for shorter ones
//	urgency.go      which of several tasks starts first
//	start.go        starts and their answers, starts without an answer
//	stop.go         stops, their retry, and when a stopped run has ended
//	renew.go        how often the worker is called, and what an answer shows of it
//	listing.go      what the worker's listings say of its runs
//	crash.go        crashes of the worker, and who hears of them
//	evidence.go     which runs were running when it crashed
//	suspect.go      tasks beside which nothing is started
//	lease.go        the worker's lease and its expiry
//	orphan.go       runs that an earlier process of the agent started
//	acknowledge.go  ends that the worker has to remember until an owner recorded them
package runner
