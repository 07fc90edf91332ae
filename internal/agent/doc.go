// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package agent implements the agent process, which runs next to a worker. It feeds events to the state machine in
// package runner and executes the effects that the state machine returns.
//
// The package owns the goroutines around a runner: the event loop (loop.go), the calls to the worker (call.go), the
// agent's record in the store (registration.go), the ends that it stores for the owners of durable jobs (storedends.go)
// and its announcements to entries (announce.go). Package runner decides about tasks, runs and sessions; package session
// implements the connections to entries; the clients of the worker and of the store are passed to New.
//
// # Failure handling
//
//	entry   Its session ends; see package runner. While no entry has a session, the agent announces itself to its seeds.
//	worker  See package runner. The new incarnation is registered in the store once its heartbeat arrives.
//	store   Sessions and runs continue. The registration is retried until it succeeds; until then only entries that
//	        already know the agent, or receive its announcement, open sessions with it. Ends that no entry acknowledges
//	        are stored once it answers.
package agent
