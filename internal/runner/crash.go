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
// Inputs: how the worker's incarnation ended, whether it was draining, the state of the runs on it, when each was last listed, when
// the worker closed its connections.
// Rule: an incarnation has crashed if the worker does not listen or another incarnation answers or reports, and it was not
// draining. The crash is reported to every entry in session, and again on each session that opens within crashReportTime. It comes
// with the runs that may have been on the worker, except those whose start is under way. Those that were listed or accepted within
// maxListingAge before the crash were running for certain: the others may have ended unheard before it, or never begun.
// Reason: any of these runs may have caused the crash, and would cause the next one on another worker. Every entry has to know,
// also one whose session was cut at that moment, as the job may be submitted again there.
// Measured: not applicable; with package dispatch, TestATaskThatCrashesItsWorkersIsGivenUp in package overload.

const (
	// crashReportTime is how long a crash is reported on new sessions. Design: an entry that lost its session dials again within
	// a second, and the new owner of a durable job takes over within ten; not measured.
	crashReportTime = 30 * time.Second
	// maxListingAge is how long before a crash a run must have been listed or accepted to have been running for certain. Design: two
	// renewals and an answer; while the worker answers, the long poll tells of an end at once.
	maxListingAge = 150 * time.Millisecond
	// maxCrashReports bounds the crashes that are kept for new sessions. Design: a worker is away for some seconds after each.
	maxCrashReports = 8
)

// RunID identifies a run by the name of its task and its number.
type RunID struct {
	Task string
	Run  uint32
}

// Crash is the crash of an incarnation of the worker.
type Crash struct {
	Incarnation string
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
	// IsLatest is set if it was running for certain, and none of the others that were was started after it.
	IsLatest bool
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

// mayHaveCrashed reports whether the run of an active task may have caused a crash: one whose start is under way has most
// likely not begun.
func (t *task) mayHaveCrashed() bool {
	return t.state != stateStarting
}

// wasRunning reports whether the run of an active task was running for certain when the worker crashed.
func (t *task) wasRunning(crashedAt time.Time) bool {
	return t.hasBegun && crashedAt.Sub(t.listedAt) <= maxListingAge
}

// noteUnanswered notes when the worker began to close its connections.
func (i *incarnation) noteUnanswered(now time.Time, result worker.Unanswered) {
	if result.IsClosed && i.closedAt.IsZero() {
		i.closedAt = now
	}
}

// crashedAt returns when the incarnation crashed, if its crash is noticed now.
func (i *incarnation) crashedAt(now time.Time) time.Time {
	if i.closedAt.IsZero() {
		return now
	}
	return i.closedAt
}

// crashedRuns returns those of the active tasks' runs that may have caused a crash.
func (i *incarnation) crashedRuns(active []*task, crashedAt time.Time) []CrashedRun {
	var latest *task
	for _, t := range active {
		if t.wasRunning(crashedAt) && (latest == nil || t.startNumber > latest.startNumber) {
			latest = t
		}
	}
	var runs []CrashedRun
	for _, t := range active {
		if t.mayHaveCrashed() {
			runs = append(runs, CrashedRun{
				RunID: t.id(), Kind: t.Kind, WasRunning: t.wasRunning(crashedAt), IsLatest: t == latest,
				IsIsolated: i.wasIsolated(t, crashedAt),
			})
		}
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
