// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package placement chooses the worker for each task and estimates when the tasks of a job end.
//
// # State
//
// Each owner has a View: the workers of the listed agents, the newest load of each, and the owner's own tasks that the
// load does not contain yet. The view is in memory; after a restart the owner has no loads until guards report.
//
// # Dependencies
//
// Loads come with the outcomes of tasks and by gossip, so they are old by up to several seconds, and views of different
// owners differ. Nothing here is needed for correctness: the guard of the worker has the last word.
//
// # Failures
//
// A worker whose agent is unreachable or unresponsive is suspended by the owner (Suspend) and gets no tasks for some
// time. A dead agent is suspended again at each try, until the roster no longer lists it.
//
// # Decisions
//
//	place.go   which worker gets a task, and whether a job can end in time
//	policy.go  which workers are compared
//	rank.go    which of two workers is preferred, and which is slow
package placement
