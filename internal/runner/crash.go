// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"slices"
	"time"

	"sailhead/internal/worker"
)

// Crashes of the worker
//
// Inputs: how the worker's incarnation ended, whether it was draining, its runs, and which of them were certainly or
// likely running (evidence.go).
// Rule: an incarnation has crashed if the worker does not listen or another incarnation answers or sends a heartbeat,
// and the worker was not draining. The crash is reported to every connected entry, and again on each session opened
// within crashReportTime. The report contains the runs that may have been on the worker, except those with a start call
// in progress: its answer decides, and the crash is reported again if there was a run (unanswered.go). A run is marked as the
// latest if it was certainly or likely running and no start, including those in progress, was sent after its own, as a start in
// progress may have begun a run.
// Reason: any of these runs may have caused the crash and may crash the next worker. Every entry needs the report,
// including one whose session was interrupted at that moment, because the job may be submitted again there.

const (
	// crashReportTime is how long a crash is reported on new sessions. An entry that lost its session reconnects within
	// one second, and a new owner of a durable job takes over within ten seconds. An entry that connects later than
	// crashReportTime does not receive the report.
	crashReportTime = 30 * time.Second
	// maxCrashReports bounds the crashes kept for new sessions. A worker is unavailable for some seconds after each
	// crash, so few occur within crashReportTime.
	maxCrashReports = 8
	// minBusyDelay is the shortest delay that shows that the VM is busy. A call to a worker on the same VM takes a fraction of a
	// millisecond.
	minBusyDelay = time.Millisecond
)

// RunID identifies a run by the name of its task and its number.
type RunID struct {
	Task string
	Run  uint32
}

// Crash is the crash of an incarnation of the worker.
type Crash struct {
	Incarnation worker.Incarnation
	// Age is the time since the crash was detected.
	Age time.Duration
	// Runs are the runs that may have been on the worker, sorted by task name. A later report of the same crash may have more.
	Runs []CrashedRun
}

// CrashedRun is a run that was on a worker when it crashed.
type CrashedRun struct {
	RunID
	// WasRunning is set if the run was certainly running. Otherwise it may have ended before the crash, or never begun.
	WasRunning bool
	// WasLikelyRunning is set if the run was likely, but not certainly running.
	WasLikelyRunning bool
	// IsLatest is set if the run was certainly or likely running and no start was sent after its own.
	IsLatest bool
	// Age is the time from sending the start until the agent noticed the crash. The run itself was younger, by at most AgeError as far
	// as the agent can tell: it began before the start was confirmed, and the agent may have noticed the crash late.
	Age, AgeError time.Duration
	// Expected is the usual run time of the task, or zero if it is unknown.
	Expected time.Duration
	// WasBusy is set if the VM was so busy at the time of the crash that the worker, too, may have been late.
	WasBusy bool
	// Kind is the kind of the task's job, or empty if it is unknown.
	Kind string
	// IsIsolated is set if the kind of the job is contained and no other job was started since the job's first start.
	IsIsolated bool
}

// crashReport is a crash that is reported on new sessions for crashReportTime.
type crashReport struct {
	crash Crash
	at    time.Time
}

// mayHaveCausedCrash reports whether the run of an active task may have caused a crash, by what is known when the crash is
// detected. The answer to a start in progress is awaited (unanswered.go), and a task that was on the previous worker process has
// not begun a run on the next one yet.
func (t *task) mayHaveCausedCrash() bool {
	return t.state != stateStarting && t.state != stateRestarted
}

// crashedRuns returns the runs of the active tasks that may have caused a crash. maxDelay is the longest delay with which
// the agent may have handled its events.
func (i *incarnation) crashedRuns(active []*task, evidence crashEvidence, maxDelay time.Duration) []CrashedRun {
	latest := latestStart(active)
	var runs []CrashedRun
	for _, t := range active {
		if t.mayHaveCausedCrash() {
			runs = append(runs, i.crashedRun(t, evidence, maxDelay, t == latest))
		}
	}
	return runs
}

// crashedRun returns the run of an active task in the form in which it is reported. isLatest is set if no start was sent after that of
// the task.
func (i *incarnation) crashedRun(t *task, evidence crashEvidence, maxDelay time.Duration, isLatest bool) CrashedRun {
	run := CrashedRun{
		RunID: t.id(), Kind: t.Kind, Age: evidence.ageOf(t), AgeError: t.startTook + maxDelay,
		Expected: t.usualRunTime(), WasBusy: i.wasBusy(t, evidence, maxDelay),
		WasRunning: evidence.wasRunning(t), WasLikelyRunning: evidence.wasLikelyRunning(t), IsIsolated: i.wasIsolated(t, evidence.estimatedAt),
	}
	run.IsLatest = isLatest && (run.WasRunning || run.WasLikelyRunning)
	return run
}

// wasBusy reports whether one of the delays that the agent knows shows that the VM was busy at the time of the crash: that of its events,
// the start call of the run, the latest other call, or the time from the closing of a connection until the crash was detected, which takes
// one call.
func (i *incarnation) wasBusy(t *task, evidence crashEvidence, maxDelay time.Duration) bool {
	detection := evidence.detectedAt.Sub(evidence.estimatedAt)
	return max(maxDelay, t.startTook, i.roundTrip, detection) >= minBusyDelay
}

// latestStart returns the active task that was started last, or nil if there is none.
func latestStart(active []*task) *task {
	var latest *task
	for _, t := range active {
		if latest == nil || t.startNumber > latest.startNumber {
			latest = t
		}
	}
	return latest
}

// reportCrash reports a crash to all entries, if any run may have caused it.
func (r *Runner) reportCrash(now time.Time, crash Crash) {
	if len(crash.Runs) == 0 {
		return
	}
	r.crashes = append(r.crashes, crashReport{crash: crash, at: now})
	if len(r.crashes) > maxCrashReports {
		r.crashes = r.crashes[1:]
	}
	r.sendCrash(crash)
}

// sendCrash sends a crash on all sessions.
func (r *Runner) sendCrash(crash Crash) {
	for _, s := range r.sessionsInOrder() {
		r.emit(SendCrash{Session: s.id, Crash: crash})
	}
}

// sendCrashes reports recent crashes on a new session.
func (r *Runner) sendCrashes(now time.Time, s *session) {
	r.crashes = slices.DeleteFunc(r.crashes, func(report crashReport) bool { return now.Sub(report.at) > crashReportTime })
	for _, report := range r.crashes {
		crash := report.crash
		crash.Age = now.Sub(report.at)
		r.emit(SendCrash{Session: s.id, Crash: crash})
	}
}
