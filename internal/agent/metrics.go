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

// runRecorder records the counts and times of runs. Its methods belong to the event loop, except startAnswered.
type runRecorder struct {
	metrics *metric.Set
	// startTimes are the times of calls to start a run, by answer.
	startTimes *metric.Times
	// runTimes are the times from a start to the end of the run, by outcome.
	runTimes *metric.Times
	// active is the number of tasks that may be on the worker, as last shown.
	active int
	// startSent is when the latest start of each task was sent.
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

// started records that a start is being sent.
func (r *runRecorder) started(task string) {
	r.metrics.Add(metric.TasksStarted, 1)
	r.startSent[task] = time.Now()
}

// countActive shows the number of tasks that may be on the worker.
func (r *runRecorder) countActive(active int) {
	if active != r.active {
		r.active = active
		r.metrics.Set(metric.ActiveRuns, int64(active))
	}
}

// startAnswered records the result of a call to start a run. It is safe for concurrent use.
func (r *runRecorder) startAnswered(result worker.StartResult, took time.Duration) {
	kind, _, _ := strings.Cut(describe(result), ":")
	r.startTimes.Record(kind, took)
}

// updated records the end of a run. Other updates are ignored.
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

// forgetStarts drops the starts whose runs have ended without an update, as those of entries that left. It is called
// while no run is active.
func (r *runRecorder) forgetStarts() {
	clear(r.startSent)
}
