// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package agent runs beside a worker: it feeds package runner with events and carries its effects out.
//
// It owns the goroutines around a runner: the event loop (loop.go), the calls to the worker (call.go), the agent's record
// in the store (registration.go) and its announcements to entries (announce.go). What to do with tasks, runs and
// sessions is decided in package runner; the connections to entries are those of package session; the clients of the
// worker and of the store are handed in.
//
// # When a neighbour dies
//
//	entry   its session ends; see package runner. While no entry has a session, the agent announces itself to its seeds.
//	worker  see package runner. The new incarnation is registered in the store once its heartbeat arrives.
//	store   sessions and runs continue. The registration is retried until it succeeds; until then only entries that
//	        know the agent already, or get its announcement, have sessions with it.
package agent
