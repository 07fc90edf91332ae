// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"sailhead/internal/dispatch"
	"sailhead/internal/metric"
	"sailhead/internal/runner"
)

// Rate limits of the log, in lines per second.
const (
	// maxSuccessLinesPerSecond limits the lines about jobs completed within their objective to a sample: 55 entries write
	// about a thousand lines per second in all.
	maxSuccessLinesPerSecond = 20
	// maxOtherLinesPerSecond limits the lines about all other decisions. It allows every refusal of an entry of the large
	// site at twice its cores.
	maxOtherLinesPerSecond = 200
)

// ageResolution is the resolution of the age of a job in the log.
const ageResolution = time.Millisecond / 10

// log counts a decision and logs it.
func (e *Entry) log(m dispatch.DecisionMade) {
	e.count(m)
	if _, ok := m.Decision.(dispatch.DecisionAccepted); ok {
		e.accepted.add(e.logger, m.Job)
	}
	fields := []any{"msg", messageOf(m.Decision)}
	if m.Job != "" {
		fields = append(fields, "job", m.Job, "kind", m.Kind, "age", m.Age.Round(ageResolution))
	}
	if m.Task != "" {
		fields = append(fields, "task", m.Task, "run", m.Run)
	}
	if m.Agent != "" {
		fields = append(fields, "agent", string(m.Agent))
	}
	if m.Job == "" && m.Kind != "" {
		fields = append(fields, "kind", m.Kind)
	}
	// There is nowhere else to report that a log line could not be written.
	_ = e.loggerFor(m.Decision).Log(append(fields, "detail", detailOf(m.Decision))...)
}

// count updates the metrics for a decision.
func (e *Entry) count(m dispatch.DecisionMade) {
	switch decision := m.Decision.(type) {
	case dispatch.DecisionAnswered:
		outcome := outcomeOf(decision.Answer)
		e.metrics.Add(metric.JobsPrefix+outcome, 1)
		e.answerTimes.Record(m.Kind+" "+outcome, m.Age)
		e.countRefusal(decision)
	case dispatch.DecisionAvoidableRefusal:
		e.metrics.Add(metric.AvoidableRefusals, 1)
	case dispatch.DecisionPlaced:
		e.metrics.Add(metric.TasksStarted, 1)
		if m.Run == 1 {
			e.queueTimes.Record(m.Kind, m.Age)
		}
		if decision.Expected.IsKnown {
			e.recordForecastError(m.Kind, m.Age-decision.Expected.Wait)
		}
	case dispatch.DecisionEnded:
		e.metrics.Add(metric.TasksEnded, 1)
	case dispatch.DecisionRestarted:
		e.metrics.Add(metric.TasksRestarted, 1)
	case dispatch.DecisionDoneEarlier:
		e.metrics.Add(metric.TasksDoneEarlier, 1)
	case dispatch.DecisionGivenUp:
		e.metrics.Add(metric.TasksGivenUp, 1)
	case dispatch.DecisionContained:
		e.metrics.Add(metric.KindsContained, 1)
		e.metrics.Add(metric.Containments, 1)
	case dispatch.DecisionContainmentEnded:
		e.metrics.Add(metric.KindsContained, -1)
	case dispatch.DecisionLimited:
		e.metrics.Set(metric.IsLimited, 1)
	case dispatch.DecisionUnlimited:
		e.metrics.Set(metric.IsLimited, 0)
	}
}

// countRefusal counts refusals on arrival and after a wait.
func (e *Entry) countRefusal(answered dispatch.DecisionAnswered) {
	if refusal, isRefusal := answered.Answer.(dispatch.NotRun); isRefusal && refusal.IsForecast {
		e.metrics.Add(metric.RefusedOnArrival, 1)
	}
	if answered.IsRefusedAfterWait {
		e.metrics.Add(metric.RefusedAfterWait, 1)
	}
}

// recordForecastError records by how much a wait was longer than its forecast, or shorter if the error is negative.
func (e *Entry) recordForecastError(kind string, forecastError time.Duration) {
	if forecastError < 0 {
		e.forecastErrors.Record(kind+" shorter", -forecastError)
		return
	}
	e.forecastErrors.Record(kind+" longer", forecastError)
}

// loggerFor returns the logger for a decision. The steps of a successful job are logged at debug level (the ids of
// accepted jobs are logged in batches, see acceptedJobs). Jobs completed within their objective have a rate limit of their
// own, so that they do not crowd out other lines.
func (e *Entry) loggerFor(decision dispatch.Decision) log.Logger {
	switch decision := decision.(type) {
	case dispatch.DecisionAccepted, dispatch.DecisionPlaced, dispatch.DecisionHandedOver:
		return level.Debug(e.logger)
	case dispatch.DecisionHandOverEnded:
		if _, isCompleted := decision.Answer.(dispatch.Completed); isCompleted {
			return e.successLogger
		}
	case dispatch.DecisionEnded:
		if decision.Outcome == runner.OutcomeDone && decision.Reason == "" {
			return level.Debug(e.logger)
		}
	case dispatch.DecisionAnswered:
		if _, isCompleted := decision.Answer.(dispatch.Completed); isCompleted && decision.Late == nil {
			return e.successLogger
		}
	}
	return e.limitedLogger
}

// messageOf returns the log message of a decision.
func messageOf(decision dispatch.Decision) string {
	switch decision.(type) {
	case dispatch.DecisionAccepted:
		return "taken"
	case dispatch.DecisionHandedOver:
		return "handed_over"
	case dispatch.DecisionHandOverEnded:
		return "hand_over_ended"
	case dispatch.DecisionJoined:
		return "joined"
	case dispatch.DecisionPlaced:
		return "placed"
	case dispatch.DecisionEnded:
		return "ended"
	case dispatch.DecisionRestarted:
		return "restarted"
	case dispatch.DecisionDoneEarlier:
		return "done_earlier"
	case dispatch.DecisionMoved:
		return "moved"
	case dispatch.DecisionGivenUp:
		return "given_up"
	case dispatch.DecisionRunsUnended:
		return "runs_unended"
	case dispatch.DecisionContained:
		return "kind_contained"
	case dispatch.DecisionLimited:
		return "limited"
	case dispatch.DecisionUnlimited:
		return "unlimited"
	case dispatch.DecisionContainmentEnded:
		return "kind_let_out"
	case dispatch.DecisionAnswered:
		return "answered"
	case dispatch.DecisionAvoidableRefusal:
		return "had_room"
	case dispatch.DecisionCallerLeft:
		return "caller_left"
	case dispatch.DecisionDropped:
		return "dropped"
	case dispatch.DecisionAgentUp:
		return "agent_up"
	case dispatch.DecisionAgentUnresponsive:
		return "agent_silent"
	case dispatch.DecisionAgentDown:
		return "agent_down"
	case dispatch.DecisionWorkerDescribed:
		return "worker"
	case dispatch.DecisionAcceptsChanged:
		return "accepts"
	case dispatch.DecisionEjected:
		return "ejected"
	default:
		return fmt.Sprintf("%T", decision)
	}
}

// detailOf returns the field "detail" of a decision; empty if there is nothing to add to the message.
func detailOf(decision dispatch.Decision) string {
	switch d := decision.(type) {
	case dispatch.DecisionAccepted:
		if d.IsDurable {
			return "kept"
		}
		return fmt.Sprintf("tasks=%d objective=%s", d.Tasks, d.Objective.Round(time.Millisecond))
	case dispatch.DecisionPlaced:
		return describePlaced(d)
	case dispatch.DecisionEnded:
		return describeEnd(d)
	case dispatch.DecisionRestarted:
		return fmt.Sprintf("no end was reported of this run for %s, agents that know all ends: %d of %d",
			d.Silence.Round(time.Millisecond), d.Sessions, d.Agents)
	case dispatch.DecisionDoneEarlier:
		return "an earlier run was done, this one is stopped"
	case dispatch.DecisionMoved:
		return "the run lasts too long on a slow worker"
	case dispatch.DecisionGivenUp:
		return describeCrashes(d.Crashes)
	case dispatch.DecisionRunsUnended:
		return fmt.Sprintf("no end is reported of the runs of %v", d.Tasks)
	case dispatch.DecisionContained:
		return fmt.Sprintf("jobs given up %v, confined to %v", d.Jobs, d.Agents)
	case dispatch.DecisionLimited:
		return fmt.Sprintf("starts are counted after %s at the earliest", d.CountTime.Round(time.Millisecond))
	case dispatch.DecisionAnswered:
		return describeAnswer(d)
	case dispatch.DecisionHandOverEnded:
		return fmt.Sprintf("%s entry=%s", describeAnswer(dispatch.DecisionAnswered{Answer: d.Answer}), d.Entry)
	case dispatch.DecisionWorkerDescribed:
		return d.Incarnation.String()
	case dispatch.DecisionAcceptsChanged:
		return fmt.Sprint(d.Accepts)
	case dispatch.DecisionEjected:
		return fmt.Sprint(d.IsEjected)
	default:
		return ""
	}
}

// describePlaced returns the forecast for the job; empty if there was none.
func describePlaced(d dispatch.DecisionPlaced) string {
	if !d.Expected.IsKnown {
		return ""
	}
	return "expected: " + d.Expected.String()
}

// describeEnd returns the outcome of a run, its reason, and for a lost run the number of runs that the task has lost.
func describeEnd(d dispatch.DecisionEnded) string {
	text := d.Outcome.String() + " " + d.Reason
	if d.Outcome == runner.OutcomeLost {
		text += fmt.Sprintf(" (runs lost: %d)", d.LostRuns)
	}
	return text
}

// describeCrashes lists the workers that crashed during a task's runs, with the age of the run at the crash. A run that may
// have ended before the crash is marked as likely or possible.
func describeCrashes(crashes []dispatch.Crash) string {
	text := fmt.Sprintf("%d workers crashed under the task:", len(crashes))
	for _, c := range crashes {
		text += fmt.Sprintf(" [run=%d at %s life=%s age=%s%s]", c.Run, c.Agent, c.Incarnation, c.Age.Round(time.Millisecond), certaintyOf(c))
	}
	return text
}

// certaintyOf returns how certain it is that the run was running at the crash, with a space before it, or "" if it certainly was.
func certaintyOf(c dispatch.Crash) string {
	switch {
	case c.WasRunning:
		return ""
	case c.WasLikelyRunning:
		return " likely"
	default:
		return " possible"
	}
}

// outcomeOf returns the name of an answer's outcome in logs and metrics.
func outcomeOf(answer dispatch.Answer) string {
	switch answer.(type) {
	case dispatch.Completed:
		return "completed"
	case dispatch.Failed:
		return "failed"
	case dispatch.NotRun:
		return "not_run"
	case dispatch.Interrupted:
		return "interrupted"
	default:
		return "unknown"
	}
}

// describeAnswer returns the outcome of a job, its reason, and the slowest tasks if the answer was late.
func describeAnswer(d dispatch.DecisionAnswered) string {
	text := outcomeOf(d.Answer)
	switch answer := d.Answer.(type) {
	case dispatch.NotRun:
		text += ": " + answer.Reason
	case dispatch.Interrupted:
		text += ": " + answer.Reason
	}
	if d.Late == nil {
		return text
	}
	var late strings.Builder
	fmt.Fprintf(&late, " (objective=%s waited for", d.Late.Objective.Round(time.Millisecond))
	for _, progress := range d.Late.Slowest {
		fmt.Fprintf(&late, " [%s]", describeProgress(progress))
	}
	return text + late.String() + ")"
}

// describeProgress returns the state of a task and of its latest run.
func describeProgress(p dispatch.TaskProgress) string {
	if p.Run == 0 {
		return p.Task + " not placed"
	}
	text := fmt.Sprintf("%s run=%d at %s placed=%s", p.Task, p.Run, p.Agent, p.Placed.Round(time.Millisecond))
	if p.IsDone {
		return text + fmt.Sprintf(" done=%s", p.Done.Round(time.Millisecond))
	}
	return text + fmt.Sprintf(" failures=%d moved=%d", p.Failures, p.Moves)
}
