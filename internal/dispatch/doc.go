// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package dispatch runs the jobs of one entry: it admits jobs, places their tasks on workers, reruns tasks that failed
// or were lost, and answers the callers.
//
// It is a state machine without I/O and without a clock. Dispatcher.Handle applies events at a given time and returns
// effects, which package entry carries out. Handle is not safe for concurrent use.
//
// # State
//
// The dispatcher owns the jobs that were submitted to this entry, in memory only, and the runs of the durable jobs
// whose shards this entry owns. Package durable records durable jobs in the store and answers their callers. Of a job that
// was handed over to another entry it keeps the waiters, which it answers. For each agent the dispatcher keeps the latest
// description of its worker, the latest load, and the starts that the load does not count yet.
//
// # Dependencies
//
// An agent reports the end of every run that it was sent while the session lasts, and counts starts in the order in
// which they were sent. After a session ends its runs end within the times of package timing. Package entry sends a
// Ticked event at short intervals; everything that depends on time alone happens there.
//
// The main invariant is that no task has two runs at a time: a task is placed again only after its latest run has been
// reported as ended, or after the time by which it has ended at the latest.
//
// # Failures
//
//   - An agent dies or its session ends: its tasks run again elsewhere after timing.RerunDelay, those of durable jobs
//     after timing.DurableRerunDelay (rerun.go).
//   - A worker dies: its agent reports the runs as lost, and they run again at once. They do not count as failed.
//   - A caller closes its request: the job is dropped and its runs are stopped, unless another request waits for the
//     same job. Durable jobs keep running.
//   - An entry dies to which jobs were handed over: they are answered as interrupted, and one that comes again waits until
//     their runs have ended (handover.go).
//   - This process dies: its jobs are lost and the agents stop their runs; the callers submit the jobs again. Durable
//     jobs are taken over by the entry that claims their shards.
//
// # Decisions
//
// Each decision has a file, with its inputs, rule and reason next to the code:
//
//	admission.go  when a job is refused or ended early, and when its caller may retry
//	congestion.go how many jobs an entry accepts that does not keep up
//	handover.go   which jobs another entry runs in place of this one
//	forecast.go   when a job is refused because it would wait too long
//	retry.go      which callers retry too late, and how their jobs are treated
//	order.go      which job is placed first
//	place.go      when the tasks of a job are placed
//	plan.go       on which workers
//	distance.go   what a worker of another rack than that of a job's data means
//	reserve.go    at which agents a job waits for resources, and which tasks use an offer
//	headroom.go   what long tasks leave free for shorter ones, as agents tell it
//	health.go     which workers are healthy
//	ejection.go   what an ejected worker means
//	probe.go      which task shows whether it is well again
//	crash.go      when a task is given up as workers crashed under it; suspects.go keeps the crashes, lostsession.go infers some,
//	              crashhistory.go tells whether workers crash for other causes
//	containment.go which kinds are confined to some workers, as their jobs crash workers
//	attempts.go   how many failed runs end a job
//	move.go       when a run is stopped to run elsewhere
//	evacuation.go what an evacuated availability zone means
//	rerun.go      when a task runs again after its agent was lost
package dispatch
