// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package guard decides when the tasks of one worker start, and starts none twice.
//
// It is a state machine without I/O and without a clock. Guard.Handle applies one event at a given time and returns
// effects, which package daemon carries out.
//
// # State
//
// The guard has a record of each task that it accepted or fenced, in memory only. A task has one of these states:
//
//	(unknown)  StartAsked queues the task or refuses it, without a record. ReportAsked fences it.
//	queued     a free slot starts the task. ReportAsked with Withdraw fences it, and so does dropLate.
//	running    Ended gives it an outcome. A running task is never stopped.
//	ended      StartAsked and ReportAsked repeat the outcome.
//	fenced     StartAsked and ReportAsked answer that the task did not start; it never will.
//
// Records of ended and fenced tasks are removed Limits.Retention after the deadline.
//
// # Dependencies
//
// The daemon sends each RunTask to the backend server once and posts Ended for it, also if the backend server fails. It
// rejects starts that name another incarnation of the agent, so that a restarted guard, which has no records, cannot
// start a task that an earlier incarnation started.
//
// # Failures
//
//   - The owner of a task dies: the task runs to its end, and its outcome is retained but nobody asks for it.
//   - A reply to an owner is lost: the owner sends ReportAsked until it gets the outcome.
//   - The backend server hangs: the guard reports itself as leaving and gives back the tasks that wait (isStuck).
//   - This process dies: its records and its queue are lost. Owners answer the jobs as failed, may have run.
//
// # Decisions
//
//	admission.go  which tasks are refused on arrival, which while they wait, and when the worker counts as stuck
//	queue.go      which waiting task starts next
//	load.go       what owners are sent about the worker
package guard
