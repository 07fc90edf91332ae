// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package durable owns the jobs that survive the loss of any process: what was accepted and what has ended is written to the
// platform's store before it is reported to callers or acknowledged to agents.
//
// # What it owns
//
// Jobs are split by the hash of their ids into shards. Each shard has at most one owner, the entry whose claim is in the
// store. A claim is bound to the owner's lease: the store removes it when the lease expires. Its revision is the fencing
// token of every write for the shard, so a former owner cannot write any more.
//
// [Coordinator] is the part of an entry that owns shards. It is a state machine without I/O: [Coordinator.Handle] takes an
// [Event] and a time and returns [Effect] values for the entry to carry out. Its rules are in one file each:
//
//	lease.go      renewal of the lease; when an owner must assume that it has expired
//	claim.go      who may claim a shard, and when
//	recovery.go   what a new owner waits for before it starts runs
//	release.go    loss of a shard, surrender to a new owner, release at shutdown
//	commit.go     pacing of commits, retry of an unanswered one
//	ends.go       when the end of a run is acknowledged
//	job.go        how many failed runs end a job
//	admission.go  which jobs are accepted
//	query.go      state queries that wait for the job's end
//
// [Client] and [NewServer] carry requests between entries: a caller may ask any entry, only the owner of the job's shard can
// answer.
//
// # What it relies on
//
//   - The store: a transaction is written as a whole or not at all, revisions rise, an expired lease removes its keys.
//   - Clocks that advance at the same rate within two percent; see leaseSafetyDivisor. Wall clocks are not compared.
//   - The dispatcher (package dispatch) starts and stops the runs; the agents stop the runs of an entry within
//     timing.SessionLease after they lose it, and resend ends until they are acknowledged.
//
// # What happens when something fails
//
//	this process dies       its claims expire with the lease; other entries claim the shards and read the jobs
//	it is frozen or cut off its lease expires, and it drops its shards before it does anything else (lease.go)
//	the owner of a shard    other entries answer NotOwner or InDoubt for its jobs until a new owner serves the shard
//	the store               nothing is accepted, and commits are repeated; runs continue until the lease expires, then the
//	                        shards are dropped
//	an agent                the dispatcher waits timing.DurableRerunDelay for it, then runs its tasks elsewhere
package durable
