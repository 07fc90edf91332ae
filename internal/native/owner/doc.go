// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package owner runs the submissions that an agent owns: it admits each job, places the job's tasks on workers,
// collects the results and answers the entries.
//
// It is a state machine without I/O and without a clock. Owner.Handle applies one event at a given time and returns
// effects, which package daemon carries out. Handle is not safe for concurrent use.
//
// # State
//
// The owner has the jobs that have no answer yet, in memory only, and through ownership.Table the answers of earlier
// ones. It also has its view of the workers' loads, the service times of its own tasks, and its part of each
// organisation's quota.
//
// A job has one of these states:
//
//	fencing   entries are asked for promises. FenceAnswered leads to running, or the offer is declined;
//	          Inherited ends the fence with the answer of the earlier owner.
//	running   its tasks are at guards. TaskEnded places a refused task again, fails the job, or completes it.
//	answered  the job is gone from the owner, and its answer is in the ownership.Table.
//
// DeadlinePassed fails a running job. A fence has its own time limit, ownership.FenceTimeout.
//
// # Dependencies
//
// Package ownership decides whether the owner may run a job at all. The daemon reports exactly one outcome of each
// StartTask, also when the guard dies, and posts DeadlinePassed at the time of a WatchDeadline. Loads and rosters may
// be late or missing; they change only where tasks are placed and which jobs are admitted.
//
// # Failures
//
//   - A guard does not respond: its worker gets no tasks for reuseDelay. Tasks already there stay there until their
//     outcome is known or the job's deadline passes.
//   - A guard dies with a task: the outcome is a failure, and the job is answered as failed, may have run. A task
//     that was never started is placed on another worker.
//   - An entry dies: a fence that needs its promise cannot complete, and the offer is declined. Jobs that run
//     continue; the caller submits again through another entry and joins the job.
//   - This process dies: its jobs are lost. Entries that have sent it a key answer failed, may have run.
//
// # Decisions
//
//	admission.go  when a job is refused before its first start
//	answer.go     what the outcome of a task and the deadline mean for a job
//	quota.go      how much of an organisation's quota an owner may use
//	order.go      when the tasks of a job are due, which orders the queues of the workers
//	place.go      how often a task is placed, when a job ends because a task has no worker, and which workers get no
//	              tasks for some time
//
// Package placement chooses the worker of a task, and package ownership the owner of a key.
package owner
