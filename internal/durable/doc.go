// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package durable manages jobs that survive the loss of any process. Acceptances and ends are written to the platform's store
// before they are reported to callers or acknowledged to agents.
//
// # Ownership
//
// Jobs are partitioned into shards by a hash of their ids. Each shard has at most one owner, the entry whose claim is in the
// store. A claim is bound to the owner's lease: the store removes it when the lease expires. The revision of the claim is the
// fencing token of every write to the shard, so that the store rejects writes of a former owner.
//
// [Coordinator] is the part of an entry that owns shards. It is a state machine without I/O: [Coordinator.Handle] takes an
// [Event] and a time and returns [Effect] values for the entry to carry out. Each policy has its own file:
//
//	lease.go      renewal of the lease; when an owner must assume that it has expired
//	claim.go      which entry may claim a shard, and when
//	recovery.go   how long a new owner waits before it starts runs
//	release.go    loss of a shard, surrender to a new owner, release at shutdown
//	commit.go     rate of commits, retry of unconfirmed commits
//	ends.go       when the end of a run is acknowledged
//	nojobs.go     when an end is acknowledged while no durable job is known
//	storedends.go when the ends that agents have stored are read, recorded and removed
//	job.go        how many failed runs end a job
//	admission.go  which jobs are accepted
//	query.go      state queries that wait for the end of the job
//
// [Client] and [NewServer] carry requests between entries: a caller may send a request to any entry, but only the owner of the
// job's shard can answer it.
//
// # Assumptions
//
//   - The store applies a transaction completely or not at all, its revisions increase, and the expiry of a lease removes the
//     keys that are bound to it.
//   - Clock rates differ by at most two percent; see leaseSafetyDivisor. Wall clocks are not compared.
//   - The dispatcher (package dispatch) starts and stops the runs. Agents stop the runs of an entry within timing.SessionLease
//     after they lose the session with it, resend the ends of runs until they are acknowledged, and store those that are not
//     acknowledged within timing.EndStoreDelay. An agent that cannot do so lets its worker's lease expire, unless it is in
//     session with another entry.
//
// # Failures
//
//	this process exits      its claims expire with the lease; other entries claim the shards and read the jobs
//	it is frozen or         its lease expires, and it drops its shards before it does anything else (lease.go)
//	partitioned
//	the owner of a shard    other entries answer NotOwner or InDoubt for its jobs until a new owner serves the shard
//	the store               no jobs are accepted, and commits are retried; runs continue until the lease expires, then the
//	                        shards are dropped
//	an agent                the dispatcher waits timing.DurableRerunDelay for it and reads the ends that it has stored, then
//	                        runs its tasks elsewhere
//	the path to an agent    the same; the agent stores the ends, and they are recorded as if it had reported them
package durable
