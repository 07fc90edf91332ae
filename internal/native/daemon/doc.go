// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package daemon runs the two processes of sailhead's own interface, entry and agent. It gives the state machines of
// packages ownership, owner and guard their goroutines, and connects them with callers, peers, the backend server and
// the key-value service. It decides nothing about jobs beyond how often and how long a call is repeated (forward.go,
// run_task.go) and how a process stops (shutdown.go).
//
// An entry owns its bindings: which owner each key was sent to. An agent owns the submission table of the keys whose
// owner it is, and the queue and slots of its worker. All of it is in memory; a planned stop hands bindings and tables
// over to other processes.
//
// Each duty of an agent has one goroutine that is the only user of its state machine, behind a bounded ring (ring.go).
// An entry has no such loop: its requests use the bindings under a lock. Both rely on packages gossip and membership for
// the roster and the configuration, and on peer, backend and keyvalue for calls.
//
// If a neighbour dies or stops answering:
//   - the owner of a submission: new keys go elsewhere once a probe has failed; a submission that may have reached it
//     stays bound to it, and its answer is failed, may have run, if the owner does not answer again in time;
//   - a guard: a task that was not sent is placed elsewhere; one that may have started fails its job, at the latest
//     lateOutcomeTimeout after the deadline;
//   - an entry: callers submit again through another one, which meets the running job at its owner;
//   - the backend server: tasks fail, or are refused if it cannot be reached;
//   - the key-value service: jobs go on under the roster and the configuration that are known; no process joins or
//     leaves, and no change is accepted;
//   - this process: a planned stop loses nothing. After a crash, its submissions or bindings are lost.
package daemon
