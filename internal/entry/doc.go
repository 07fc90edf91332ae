// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package entry implements the entry process, which accepts jobs from the platform's callers. It runs the dispatcher
// (package dispatch) and the coordinator of durable jobs (package durable) and connects them to callers, agents, other
// entries and the platform's store. It makes no decisions about jobs itself.
//
// An entry owns the jobs it has accepted, in memory, while their callers wait; the shards of durable jobs that it has
// claimed in the store; one session with each agent it has chosen (choice.go); and the connections on which it hands
// jobs over to other entries (package handover).
//
// A single goroutine, the event loop (loop.go), runs both state machines. Sessions with agents, their liveness checks,
// the store's changes and the exchanges with other entries have goroutines of their own, which post events to the
// loop's bounded queues.
//
// # Failure handling
//
//   - An agent that stops answering gets no new tasks after timing.SuspectAfter and loses its session after
//     timing.SessionCloseTimeout; its tasks run again elsewhere after timing.RerunDelay.
//   - While the store does not answer, jobs continue, and changes of members and configuration come from other entries.
//     Durable jobs are refused, and those owned here stop when the lease of the claims expires (timing.ClaimLease).
//   - If another entry fails, its callers submit their jobs again, other entries claim its shards, and jobs that were
//     handed over to it are answered as interrupted.
//   - If this process fails, the agents stop its runs when the leases of their sessions expire.
package entry
