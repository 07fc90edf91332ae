// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package membership maintains the place of one process on the roster of its region: it joins, acknowledges epochs,
// follows the roster and the configuration, applies the platform's list of VMs, and leaves. It also tracks which
// processes respond.
//
// # State
//
// The roster and the configuration are documents in the platform's key-value service. They change by compare-and-swap
// only, so any process may write them at any time. The newest versions that this process has seen are in gossip.State.
// Liveness is in memory and belongs to this process alone.
//
// # Dependencies
//
// Package keyvalue repeats conflicting updates. Package ownership has the rules by which a roster changes. The
// platform's list of VMs is late by Times.ListLag at most, and does not drop a VM that is alive.
//
// # Failures
//
//   - The platform is down: joins and acknowledgements are tried again at intervals of retryDelay, watches as well.
//     Nothing joins or leaves meanwhile; the listed processes keep serving.
//   - A process dies: it stays listed until a newer incarnation joins at its address or the list of VMs drops its
//     VM. Until then Liveness keeps new work away from it.
//   - The reader of the list dies: its lease expires after listReaderLease and another entry reads.
//
// # Decisions
//
//	vms.go       which members the list of VMs removes or marks as leaving, and which entry reads it
//	liveness.go  which processes are probed, and which get no new work
package membership
