// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"math"
	"slices"
	"time"

	"sailhead/internal/worker"
)

// Slowness and failure rate
//
// Inputs: for ended runs, the outcome, the run time and the expected time; for running ones, also their progress when
// they were last listed. Times are those of the worker's own clock, as reported in its answers.
// Rule: both are moving averages over the latest runs. At each tick, the median over the jobs with runs on this worker,
// of the projected run time divided by the expected time, enters the average of the slowness.
// Reason: entries avoid a slow or failing worker and move runs off a slow one. Running tasks reveal a worker that
// hangs, on which no run ends. The worker's clock gives the right run time even if the answer arrives late, over a slow
// link or at an agent that was paused.

const (
	// healthWeight is the weight of one ended run in the moving averages.
	healthWeight = 0.12
	// runningWeight is the weight of the running tasks in the moving average at each tick. It lets them show within a
	// few ticks that a worker is slow, or that it has recovered.
	runningWeight = 0.2
	// maxStretch bounds the contribution of running tasks to the moving average. Without it a worker that hung would
	// count as unhealthy for seconds after it has recovered.
	maxStretch = 9
	// failureDecay and slownessDecay are the time constants with which the averages decay without new runs. A worker
	// that gets no tasks cannot show that it has recovered, so it is tried again after some seconds. A slow worker is
	// tried sooner than a failing one because its running tasks show within 0.1 s whether it is still slow.
	failureDecay  = 3 * time.Second
	slownessDecay = time.Second
	// minJobs is the number of jobs with running tasks required for a median: the expected time of a single job is
	// often wrong by a factor of two.
	minJobs = 3
	// minElapsed is how long a run must have lasted before its progress is used.
	minElapsed = 30 * time.Millisecond
	// minHealthChange is the change of the slowness that is sent to entries at once, and minFailureChange that of the
	// failure rate. Changes accumulate since the last value sent, because an entry uses that value until it gets a new
	// one.
	minHealthChange  = 0.3
	minFailureChange = 0.05
	// percentDone is the progress of a completed run.
	percentDone = 100
)

// health averages the outcomes of the worker's latest runs. The zero value is that of a healthy worker.
type health struct {
	// failures is the average over the runs of 1 for a failed and 0 for a successful one.
	failures float64
	// stretch is the average of the runs' stretch minus one, so that zero means as fast as expected.
	stretch float64
	// decayedAt is when the decay was last applied, or zero if it never was.
	decayedAt time.Time
}

// failureRate returns the share of the latest runs that failed, from 0 to 1.
func (h *health) failureRate() float64 { return h.failures }

// slowness returns the ratio of the run times to the expected ones, at least 1.
func (h *health) slowness() float64 { return 1 + max(h.stretch, 0) }

// updateHealth updates the averages, and sends the load if they differ enough from the values last sent.
func (r *Runner) updateHealth(now time.Time) {
	r.health.update(now, r.active(), r.speed.timeFactor())
	if r.health.differsFrom(r.sentHealth) {
		r.sentHealth = r.health
		r.markLoadDue()
	}
}

// differsFrom reports whether the averages differ enough from those last sent to entries.
func (h *health) differsFrom(sent health) bool {
	slowness := math.Abs(h.slowness() - sent.slowness())
	failureRate := math.Abs(h.failureRate() - sent.failureRate())
	return slowness > minHealthChange || failureRate > minFailureChange
}

// recordEnd applies the end of a run that was listed at the given time of the worker's clock. The run time of a run
// that resumed from a checkpoint is ignored, because it covers only a part of the task. timeFactor is that of the
// worker.
func (h *health) recordEnd(t *task, ending worker.Ending, listed time.Duration, timeFactor float64) {
	switch ending {
	case worker.EndingDone:
		h.failures -= h.failures * healthWeight
		if t.hasComparableRunTime() {
			h.stretch += (t.stretch(listed)/timeFactor - 1 - h.stretch) * healthWeight
		}
	case worker.EndingFailed:
		h.failures += (1 - h.failures) * healthWeight
	}
}

// update applies the decay and the progress of the running tasks.
func (h *health) update(now time.Time, active []*task, timeFactor float64) {
	if !h.decayedAt.IsZero() {
		elapsed := now.Sub(h.decayedAt)
		h.failures *= decay(elapsed, failureDecay)
		h.stretch *= decay(elapsed, slownessDecay)
	}
	h.decayedAt = now
	if running, ok := medianRunningStretch(active, timeFactor); ok {
		running = min(running, maxStretch)
		h.stretch += (running - h.stretch) * runningWeight
	}
}

// decay returns the factor, from 0 to 1, by which an average shrinks in the given time without new values.
func decay(elapsed, toOneOverE time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(toOneOverE))
}

// stretch returns the run time up to a time of the worker's clock, divided by the expected time.
func (t *task) stretch(until time.Duration) float64 {
	return float64(until-t.acceptedAt) / float64(t.Expected)
}

// projectedStretch returns the stretch that the run will have at its end if it continues at the speed shown by its
// progress when it was last listed.
func (t *task) projectedStretch() float64 {
	return t.stretch(t.listedAt) * percentDone / float64(min(max(t.progress, 1), percentDone))
}

// hasComparableRunTime reports whether the run time of a completed task can be compared with the expected one: the
// latter is known, and the run did not resume from a checkpoint.
func (t *task) hasComparableRunTime() bool {
	return t.Expected > 0 && t.Checkpoint == "" && t.acceptedAt > 0
}

// hasComparableProgress reports whether the progress of a running task can be compared with the expected one.
func (t *task) hasComparableProgress() bool {
	return t.state == stateRunning && t.Expected > 0 && t.acceptedAt > 0 && t.listedAt-t.acceptedAt >= minElapsed
}

// medianRunningStretch returns the median over the jobs of the mean projected stretch, minus one, of their running
// tasks. ok is false for fewer than minJobs jobs.
func medianRunningStretch(active []*task, timeFactor float64) (stretch float64, ok bool) {
	sums := make(map[string]float64)
	counts := make(map[string]float64)
	for _, t := range active {
		if !t.hasComparableProgress() {
			continue
		}
		sums[t.job()] += t.projectedStretch() / timeFactor
		counts[t.job()]++
	}
	if len(sums) < minJobs {
		return 0, false
	}
	means := make([]float64, 0, len(sums))
	for job, sum := range sums {
		means = append(means, sum/counts[job])
	}
	slices.Sort(means)
	return means[(len(means)-1)/2] - 1, true
}
