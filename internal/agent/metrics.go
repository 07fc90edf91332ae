// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package agent

import (
	"strings"
	"time"

	"sailhead/internal/metric"
	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// runRecorder records the counts and durations of runs. Only the event loop may call its methods, except startAnswered.
type runRecorder struct {
	metrics *metric.Set
	// startTimes are the durations of calls that start a run, by result.
	startTimes *metric.Times
	// runTimes are the durations from the start request to the end of the run, by outcome.
	runTimes *metric.Times
	// active is the exported number of tasks that may be running on the worker.
	active int
	// startSent is the time of each task's latest start request.
	startSent map[string]time.Time
}

func newRunRecorder(metrics *metric.Set) runRecorder {
	return runRecorder{
		metrics:    metrics,
		startTimes: metrics.Times("start_time"),
		runTimes:   metrics.Times("run_time"),
		startSent:  make(map[string]time.Time),
	}
}

// started records that a start request is being sent.
func (r *runRecorder) started(task string) {
	r.metrics.Add(metric.TasksStarted, 1)
	r.startSent[task] = time.Now()
}

// setActive exports the number of tasks that may be running on the worker.
func (r *runRecorder) setActive(active int) {
	if active != r.active {
		r.active = active
		r.metrics.Set(metric.ActiveRuns, int64(active))
	}
}

// startAnswered records the result and duration of a start request. It is safe for concurrent use.
func (r *runRecorder) startAnswered(result worker.StartResult, took time.Duration) {
	kind, _, _ := strings.Cut(describe(result), ":")
	r.startTimes.Record(kind, took)
}

// updated records the end of a run and ignores other updates.
func (r *runRecorder) updated(update runner.Update) {
	if !update.Outcome.IsEnd() {
		return
	}
	outcome := update.Outcome.String()
	r.metrics.Add(metric.RunsPrefix+outcome, 1)
	if sent, ok := r.startSent[update.Name]; ok {
		r.runTimes.Record(outcome, time.Since(sent))
	}
	delete(r.startSent, update.Name)
}

// clearStarts drops start times whose runs ended without an update, such as runs of entries that left. It must only be
// called while no run is active.
func (r *runRecorder) clearStarts() {
	clear(r.startSent)
}
