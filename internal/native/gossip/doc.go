// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package gossip spreads the roster, the configuration and the loads of the workers between processes.
//
// Each process exchanges with random peers at intervals. Versions are sent first, documents only if they are newer.
//
// # State
//
// State has the newest roster, configuration and loads that the process has seen, from the platform or from peers. It
// is in memory. A document is replaced only by one of a higher version, so nothing goes back.
//
// # Dependencies
//
// Package membership reads and watches the documents at the platform and applies them to the same State. The daemon
// serves Exchanger.Exchange to peers. Documents of the same version are equal, since they change by compare-and-swap.
//
// # Failures
//
//   - A peer does not answer: the exchange fails, and the next one has another peer.
//   - The platform is down: documents that some process has still reach all others.
//   - This process dies: a new one reads the documents from the platform or gets them from the seeds.
package gossip
