// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package agent

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"sailhead/internal/metric"
	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// logEvent logs changes of sessions and of the worker, and failed calls. Messages and fields quoted in
// docs/OPERATIONS.md use older terms: "hold" is a renewal, "life" an incarnation.
func (a *Agent) logEvent(event runner.Event) {
	switch e := event.(type) {
	case runner.SessionOpened:
		_ = level.Info(a.logger).Log("msg", "session opened", "session", e.Session, "entry", e.Entry)
	case runner.SessionClosed:
		_ = level.Info(a.logger).Log("msg", "session closed", "session", e.Session)
	case runner.HeartbeatReceived:
		a.logHeartbeat(e.Record)
	case runner.WorkerLeft:
		_ = level.Info(a.logger).Log("msg", "worker left", "life", e.Incarnation)
	case runner.StartAnswered:
		a.countUnanswered(e.Result)
		a.logRejected("start not accepted", e.Name, e.Run, e.Result)
	case runner.StopAnswered:
		a.countUnanswered(e.Result)
		a.logRejected("stop not accepted", e.Name, e.Run, e.Result)
	case runner.RenewAnswered:
		a.countUnanswered(e.Result)
		a.logRenewal(e)
	}
}

// countUnanswered counts a call to the worker that was not answered.
func (a *Agent) countUnanswered(result worker.Result) {
	if _, isUnanswered := result.(worker.NoResponse); isUnanswered {
		a.metrics.Add(metric.CallsUnanswered, 1)
	}
}

// logHeartbeat logs the first heartbeat of an incarnation and each change of the draining state.
func (a *Agent) logHeartbeat(record worker.Record) {
	known, ok := a.runner.Worker()
	if ok && known.Incarnation() == record.Incarnation() && known.Draining == record.Draining {
		return
	}
	_ = level.Info(a.logger).Log("msg", "worker", "life", record.Incarnation(), "draining", record.Draining, "cpu", record.Capacity.CPU)
}

// logRejected logs a start or stop that the worker did not accept.
func (a *Agent) logRejected(message, task string, run uint32, result worker.Result) {
	if _, accepted := result.(worker.Accepted); accepted {
		return
	}
	_ = level.Info(a.logger).Log("msg", message, "task", task, "run", run, "answer", describe(result))
}

// logRenewal logs a renewal that was not answered with a listing.
func (a *Agent) logRenewal(e runner.RenewAnswered) {
	if _, isListing := e.Result.(worker.Listing); isListing {
		return
	}
	_ = level.Info(a.logger).Log("msg", "hold not answered", "life", e.Incarnation,
		"waited", e.LongPoll, "answer", describe(e.Result))
}

// logUpdate logs a run that ended without success.
func (a *Agent) logUpdate(u runner.Update) {
	if u.Outcome == runner.OutcomeDone || u.Outcome == runner.OutcomeStarted {
		return
	}
	_ = level.Info(a.logger).Log("msg", "run", "task", u.Name, "run", u.Run, "outcome", u.Outcome, "reason", u.Reason)
}

// logClose logs why the agent closes a session.
func (a *Agent) logClose(e runner.CloseSession) {
	_ = level.Info(a.logger).Log("msg", "closing session", "session", e.Session, "reason", e.Reason)
}

// logDropped logs the result of a durable task's run that is discarded before an owner recorded it.
func (a *Agent) logDropped(e runner.EndDropped) {
	_ = level.Warn(a.logger).Log("msg", "end dropped", "task", e.Name, "run", e.Run, "outcome", e.Outcome, "reason", e.Reason)
}

// stopOverdue logs and counts a run that goes on after its stop.
func (a *Agent) stopOverdue(e runner.StopOverdue) {
	a.metrics.Add(metric.StopsOverdue, 1)
	_ = level.Warn(a.logger).Log("msg", "stop overdue", "task", e.Task, "run", e.Run, "accepted", e.IsAccepted, "orphan", e.IsOrphan,
		"leased_for", e.LeasedFor.Round(time.Millisecond))
}

// maxLoggedRuns limits the runs listed in one line. Few workers have room for more.
const maxLoggedRuns = 16

// logIncarnationEnded logs why an incarnation of the worker ended, the evidence for the time of its end, and the runs
// that ended with it, any of which may have caused it.
func (a *Agent) logIncarnationEnded(e runner.IncarnationEnded) {
	var runs, ages, states []string
	for _, run := range e.Runs[:min(len(e.Runs), maxLoggedRuns)] {
		runs = append(runs, fmt.Sprintf("%s/%d", run.Task, run.Run))
		ages = append(ages, run.Age.Round(time.Millisecond).String())
		states = append(states, describeEndedRun(run))
	}
	evidence := e.Evidence
	_ = level.Info(a.logger).Log("msg", "worker ended", "life", e.Incarnation, "reason", e.Reason,
		"crash", e.IsCrash, "count", len(e.Runs), "runs", strings.Join(runs, ","), "ages", strings.Join(ages, ","), "states", strings.Join(states, ","),
		"closed_for", evidence.SinceClosed, "had_poll", evidence.HadLongPoll, "poll_took", evidence.PollTook, "round_trip", evidence.RoundTrip,
		"answered_for", evidence.SinceAnswered)
}

// describeEndedRun returns whether a run was running when the worker ended, or why that is uncertain.
func describeEndedRun(run runner.EndedRun) string {
	switch {
	case run.WasRunning:
		return "running"
	case run.WasLikelyRunning:
		return "likely"
	case !run.HasStarted:
		return "unconfirmed"
	case run.IsStopping:
		return "stopping"
	default:
		return "possible"
	}
}

// evacuationChanged logs and exports whether the worker's availability zone is evacuated. The field runs is the number
// of runs that are left to finish.
func (a *Agent) evacuationChanged(e runner.EvacuationChanged) {
	if e.IsEvacuated {
		a.metrics.Set(metric.ZonesEvacuated, 1)
		_ = level.Info(a.logger).Log("msg", "zone evacuated", "zone", e.Zone, "runs", e.Runs)
		return
	}
	a.metrics.Set(metric.ZonesEvacuated, 0)
	_ = level.Info(a.logger).Log("msg", "zone taken back", "zone", e.Zone, "runs", e.Runs)
}

// workerEjected logs and exports that the worker gets no tasks other than probes.
func (a *Agent) workerEjected(e runner.WorkerEjected) {
	a.metrics.Set(metric.IsEjected, 1)
	a.metrics.Add(metric.Ejections, 1)
	_ = level.Warn(a.logger).Log("msg", "worker ejected", "reason", e.Reason, "failure_rate", math.Round(rateScale*e.FailureRate)/rateScale,
		"kinds", strings.Join(e.Kinds, ","))
}

// rateScale rounds logged rates to hundredths.
const rateScale = 100

// probeEnded logs and counts a probe of the ejected worker.
func (a *Agent) probeEnded(e runner.ProbeEnded) {
	a.metrics.Add(metric.Probes, 1)
	if !e.IsDone {
		a.metrics.Add(metric.ProbesFailed, 1)
	}
	_ = level.Info(a.logger).Log("msg", "probe", "task", e.Task, "run", e.Run, "kind", e.Kind, "done", e.IsDone)
}

// workerRestored logs and exports that the worker is in service again.
func (a *Agent) workerRestored(e runner.WorkerRestored) {
	a.metrics.Set(metric.IsEjected, 0)
	_ = level.Info(a.logger).Log("msg", "worker back in service", "after", e.After.Round(time.Millisecond))
}

// describe returns the name of a result, followed by its reason if it has one. The names are part of the log format and
// labels of the metric start_time.
func describe(result worker.Result) string {
	switch r := result.(type) {
	case worker.Fenced:
		return "fenced"
	case worker.StaleRun:
		return "outdated"
	case worker.TooLate:
		return "too_late"
	case worker.InsufficientResources:
		return "no_room"
	case worker.Unhealthy:
		return "unhealthy"
	case worker.WrongIncarnation:
		return "other_life"
	case worker.Invalid:
		return "invalid: " + r.Reason
	case worker.Unreachable:
		return "not_reached: " + r.Reason
	case worker.NoResponse:
		return "unanswered: " + r.Reason
	default:
		return "accepted"
	}
}
