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
// Inputs: how the worker's incarnation ended, whether it was draining, the runs on it, and which of them were running for certain
// (evidence.go).
// Rule: an incarnation has crashed if the worker does not listen or another incarnation answers or reports, and it was not
// draining. The crash is reported to every entry in session, and again on each session that opens within crashReportTime. It comes
// with the runs that may have been on the worker, except those whose start is under way. One of them is the latest if it was running
// for certain and no start was sent after its own: a start under way has most likely not begun, but it may have.
// Reason: any of these runs may have caused the crash, and would cause the next one on another worker. Every entry has to know,
// also one whose session was cut at that moment, as the job may be submitted again there.

const (
	// crashReportTime is how long a crash is reported on new sessions: an entry that lost its session dials again within a second, and the
	// new owner of a durable job takes over within ten; an entry that starts later knows of none.
	crashReportTime = 30 * time.Second
	// maxCrashReports bounds the crashes that are kept for new sessions: a worker is away for some seconds after each.
	maxCrashReports = 8
)

// RunID identifies a run by the name of its task and its number.
type RunID struct {
	Task string
	Run  uint32
}

// Crash is the crash of an incarnation of the worker.
type Crash struct {
	Incarnation worker.Incarnation
	// Age is the time since the crash was noticed.
	Age time.Duration
	// Runs are those that were on the worker, in the order of their tasks' names.
	Runs []CrashedRun
}

// CrashedRun is a run that was on a worker when it crashed.
type CrashedRun struct {
	RunID
	// WasRunning is set if it was running for certain. Otherwise it may have ended before, or never begun.
	WasRunning bool
	// IsLatest is set if it was running for certain, and no start was sent after its own.
	IsLatest bool
	// Age is the time from when its start was sent until the worker crashed. The run itself was younger, by AgeError at the most as far as the
	// agent knows.
	Age, AgeError time.Duration
	// Kind is the kind of the task's job, empty if it is not known.
	Kind string
	// IsIsolated is set if the kind of the job is contained, and nothing was started beside the job since its first start.
	IsIsolated bool
}

// crashReport is a crash that is reported on new sessions until crashReportTime after it.
type crashReport struct {
	crash Crash
	at    time.Time
}

// mayHaveCausedCrash reports whether the run of an active task may have caused a crash: one whose start is under way, or was when the
// process before this one ended, has most likely not begun.
func (t *task) mayHaveCausedCrash() bool {
	return t.state != stateStarting && t.state != stateRestarted
}

// crashedRuns returns those of the active tasks' runs that may have caused a crash. late is by how much the agent may be late.
func (i *incarnation) crashedRuns(active []*task, evidence crashEvidence, maxDelay time.Duration) []CrashedRun {
	var latest *task
	for _, t := range active {
		if latest == nil || t.startNumber > latest.startNumber {
			latest = t
		}
	}
	var runs []CrashedRun
	for _, t := range active {
		if !t.mayHaveCausedCrash() {
			continue
		}
		wasRunning := evidence.wasRunning(t)
		runs = append(runs, CrashedRun{
			RunID: t.id(), Kind: t.Kind, Age: evidence.ageOf(t), AgeError: max(maxDelay, t.startTook),
			WasRunning: wasRunning, IsLatest: wasRunning && t == latest, IsIsolated: i.wasIsolated(t, evidence.estimatedAt),
		})
	}
	return runs
}

// reportCrash reports the crash of an incarnation with its runs to all entries, if there were any.
func (r *Runner) reportCrash(now time.Time, crash Crash) {
	if len(crash.Runs) == 0 {
		return
	}
	r.crashes = append(r.crashes, crashReport{crash: crash, at: now})
	if len(r.crashes) > maxCrashReports {
		r.crashes = r.crashes[1:]
	}
	for _, s := range r.sessionsInOrder() {
		r.emit(SendCrash{Session: s.id, Crash: crash})
	}
}

// sendCrashes reports the latest crashes on a new session.
func (r *Runner) sendCrashes(now time.Time, s *session) {
	r.crashes = slices.DeleteFunc(r.crashes, func(report crashReport) bool { return now.Sub(report.at) > crashReportTime })
	for _, report := range r.crashes {
		crash := report.crash
		crash.Age = now.Sub(report.at)
		r.emit(SendCrash{Session: s.id, Crash: crash})
	}
}
