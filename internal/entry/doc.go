// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package entry runs an entry, the process that takes jobs from the platform's callers. It gives the dispatcher
// (package dispatch) and the coordinator of durable jobs (package durable) their goroutines and connects them with
// callers, agents, other entries and the platform's store. It decides nothing about jobs itself.
//
// An entry owns the jobs that it took, in memory, for as long as their callers wait; the shards of durable jobs that it
// has claimed in the store; one session with each agent that it has chosen (choice.go); and the connections on which it hands
// jobs over to other entries (package handover).
//
// One goroutine, the event loop (loop.go), runs both state machines. Every other duty has a goroutine of its own and
// posts events to the loop's bounded rings: sessions with agents, their liveness, the store's changes, exchanges with
// other entries.
//
// If a neighbour stops answering:
//   - an agent gets no new tasks after timing.SuspectAfter and loses its session after timing.CloseAfter; its tasks run
//     again elsewhere after timing.RerunDelay;
//   - the store: jobs go on, changes of members and configuration come from other entries; durable jobs are refused,
//     and those that are owned here stop when the lease of the claims runs out (timing.ClaimLease);
//   - another entry: its callers submit their jobs again, its shards are claimed by others, and jobs that were handed over
//     to it are answered as interrupted;
//   - this process: its agents stop its runs when their sessions' leases run out.
package entry
