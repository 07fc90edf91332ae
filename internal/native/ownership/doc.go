// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package ownership decides which agent owns a submission, so that no task starts twice, whoever submits it again and
// through whichever entry.
//
// It has three parts without I/O and without a clock: Roster, the list of the processes; Forwarder, an entry's decision
// where a key goes; and Table, an owner's decision whether it may run a key. Package daemon exchanges their messages,
// and package membership changes the roster. docs/DESIGN.md gives the design, spec/ownership.pml and its neighbours the
// models, and docs/PROOFS.md which function carries which rule of the models.
//
// # State
//
// The roster is one value in the platform's key-value service. Its epoch grows with each join and removal; its
// settlements say when all entries had acknowledged an epoch. A Forwarder has a Binding of each key that its entry sent
// or promised to an owner; the states are at Binding. A Table has a record of each key that its owner has seen, in one
// of these states:
//
//	fencing   after Take. Fenced leads to running or declined; Inherit ends it with an answer.
//	running   after Take or Fenced. Finish leads to final or not run.
//	final     repeats its answer to the same job.
//	not run   repeats its answer up to the attempt that was refused; a later attempt runs again.
//	declined  declines the key again. Inherit may replace it.
//
// Bindings and records are in memory. They are removed Limits.Retention after their last use, and handed to heirs in a
// planned stop.
//
// # Dependencies
//
// Clocks, the callers' included, differ by Limits.Skew at most. A member is removed from the roster as dead only if its
// process has ended. Messages may be lost, late, repeated and out of order.
//
// # Failures
//
//   - An entry dies: its bindings are lost. Keys issued before its removal that need a fence are declined.
//   - An owner dies: its records are lost. Keys that were bound to it must not move; their callers get failed, may have run.
//     Keys issued after its removal has settled go to the next choice.
//   - The platform is down: nothing joins or leaves. Everything else works from the roster that each process has.
//
// # Decisions
//
//	choice.go          which agent is the first choice for a key
//	route.go           where an entry sends a key, and whether it may
//	binding.go         when a key may move to another owner
//	promise.go         when an entry promises a key to an owner
//	take.go            what an owner does with an offer
//	fence.go           when a key is settled, and when a fence succeeds
//	handover_entry.go  whose bindings count after the planned stop of an entry
//	handover_owner.go  whose records count after the planned stop of an owner
//	heir.go            which member has the bindings or records of one that left
//	roster_change.go   how the roster changes, and which removed members stay on it
package ownership
