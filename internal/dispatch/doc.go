// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package dispatch runs the jobs of one entry: it admits jobs, places their tasks on workers, reruns tasks that failed
// or were lost, and answers the callers.
//
// It is a state machine that performs no I/O and reads no clock. Dispatcher.Handle applies events at a given time and
// returns effects, which package entry carries out. Handle is not safe for concurrent use.
//
// # State
//
// The dispatcher owns the jobs that were submitted to this entry, in memory only, and the runs of the durable jobs
// whose shards this entry owns. Package durable records durable jobs in the store and answers their callers. For a job
// that was handed over to another entry, the dispatcher keeps the waiters and answers them. For each agent it keeps the
// latest description of its worker, the latest load, and the starts that the load does not include yet.
//
// # Dependencies
//
// While a session is open, the agent reports the end of every run that it was sent, and processes starts in the order
// in which they were sent. After a session has ended, its runs end within the delays of package timing. Package entry
// sends a Ticked event at short intervals, which applies every rule that depends on time alone.
//
// The main invariant is that no task has two runs at a time: a task is placed again only after its latest run has been
// reported as ended, or after the time by which it has ended at the latest. A durable task whose latest run was not
// reported is placed again only after the ends that agents have stored were read, as the run may be done.
//
// # Failures
//
//   - An agent fails or its session ends: its tasks run again elsewhere after timing.RerunDelay, those of durable jobs
//     after timing.DurableRerunDelay and a read of the stored ends (rerun.go, storedends.go).
//   - A worker crashes: its agent reports the runs as lost, and they run again at once. They do not count as failed.
//   - A caller closes its request: the job is dropped and its runs are stopped, unless another request waits for the
//     same job. Durable jobs keep running.
//   - An entry to which jobs were handed over fails: the jobs are answered as interrupted, and a job that is submitted
//     again waits until its earlier runs have ended (handover.go).
//   - This process fails: its jobs are lost and the agents stop their runs; the callers submit the jobs again. Durable
//     jobs are taken over by the entry that claims their shards.
//
// # Decisions
//
// Each decision has a file, with its inputs, rule and reason next to the code:
//
//	admission.go   when a job is refused or ended early, and when its caller may retry
//	congestion.go  how many jobs an overloaded entry accepts
//	handover.go    which jobs another entry runs in place of this one
//	forecast.go    when a job is refused because it would wait too long
//	retry.go       which callers retry too late, and how their jobs are treated
//	order.go       the order in which jobs are placed
//	place.go       when the tasks of a job are placed
//	plan.go        on which workers the tasks of a job are placed
//	distance.go    when a job whose data is in one rack runs in another
//	reserve.go     at which agents a job reserves resources, and which tasks use an offer
//	headroom.go    the resources that long tasks leave free for shorter ones, as reported by the agents
//	health.go      which workers are healthy
//	ejection.go    which tasks run on ejected workers
//	probe.go       which task probes whether an ejected worker has recovered
//	crash.go       when a task is given up because workers crashed under it; suspects.go records the crashes,
//	               lostsession.go infers crashes from lost sessions, crashhistory.go detects crashes with other causes
//	heldanswer.go  when the answer to a failed job is sent; share.go tells other entries of its crashes and runs before,
//	               runselsewhere.go holds tasks back whose runs other entries have started
//	containment.go which kinds are confined to a few workers because their jobs crash workers
//	attempts.go    how many failed runs end a job
//	move.go        when a run is stopped to run on another worker
//	evacuation.go  how evacuated availability zones are treated
//	rerun.go       when a task runs again after its agent was lost; storedends.go, which of them may be done
package dispatch
