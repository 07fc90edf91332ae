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
// Inputs: for runs that have ended, their ending, run time and expected time; for running ones, also their progress when
// they were last listed. Times are those of the worker's own clock, as its answers tell it.
// Rule: both are moving averages over the latest runs. At each tick the median over the jobs that have runs here now, of how
// long those runs will have taken in units of their expected time, enters the average of the slowness.
// Reason: entries avoid a slow or failing worker, and move runs off a slow one. The running tasks show a worker that hangs,
// on which nothing ends. The worker's clock tells how long a run took also if the answer was heard late, over a slow link or by
// an agent that was paused.

const (
	// healthWeight is the weight of one run in the moving averages.
	healthWeight = 0.12
	// runningWeight is the weight of the running tasks in the moving average at each tick. They show within some ticks that a
	// worker is slow, and that it has recovered.
	runningWeight = 0.2
	// maxStretch bounds what running tasks add to the moving average. Without it a worker that hung would be unhealthy for
	// seconds after it has recovered.
	maxStretch = 9
	// failureDecay and slownessDecay are the times in which the averages fall to 1/e of their value without new runs. A worker that gets no
	// tasks cannot show that it has recovered, so it is tried again after some seconds. A slow worker is tried sooner than a failing one,
	// as its running tasks show within 0.1 s whether it is still slow.
	failureDecay  = 3 * time.Second
	slownessDecay = time.Second
	// minJobs is how many jobs need running tasks for a median: one job's expected time is often off by a factor of two.
	minJobs = 3
	// minElapsed is how long a run must have lasted before its progress is used.
	minElapsed = 30 * time.Millisecond
	// minHealthChange is the change of the slowness that is sent to entries at once, and minFailureChange that of the failure rate. Both
	// add up over the time since the last one that was: an entry uses what it was told until it is told otherwise.
	minHealthChange  = 0.3
	minFailureChange = 0.05
	// percentDone is the progress of a run that is done.
	percentDone = 100
)

// health averages how the worker's latest runs went. The zero value is that of a healthy worker.
type health struct {
	// failures is the average of 1 for a failed run and 0 for one that is done.
	failures float64
	// stretch is the average of the runs' stretch less one, so that zero is as expected.
	stretch float64
	// decayedAt is when the averages were last reduced. Zero before the first time.
	decayedAt time.Time
}

// failureRate returns the share of the latest runs that failed, from 0 to 1.
func (h *health) failureRate() float64 { return h.failures }

// slowness returns by which factor tasks take longer than expected.
func (h *health) slowness() float64 { return 1 + max(h.stretch, 0) }

// updateHealth updates the averages, and sends the load if they have changed by enough since that was last due to them.
func (r *Runner) updateHealth(now time.Time) {
	r.health.update(now, r.active(), r.speed.timeFactor())
	if r.health.differsFrom(r.toldHealth) {
		r.toldHealth = r.health
		r.markLoadDue()
	}
}

// differsFrom reports whether entries that were told of other averages have to be told of these.
func (h *health) differsFrom(told health) bool {
	slowness := math.Abs(h.slowness() - told.slowness())
	failureRate := math.Abs(h.failureRate() - told.failureRate())
	return slowness > minHealthChange || failureRate > minFailureChange
}

// recordEnd applies the end of a run that was listed at a time of the worker's clock. The time of one that began at a checkpoint is left
// out: it began part-way. timeFactor is that of the worker.
func (h *health) recordEnd(t *task, ending worker.Ending, listed time.Duration, timeFactor float64) {
	switch ending {
	case worker.EndingDone:
		h.failures -= h.failures * healthWeight
		if t.showsRunTime() {
			h.stretch += (t.stretch(listed)/timeFactor - 1 - h.stretch) * healthWeight
		}
	case worker.EndingFailed:
		h.failures += (1 - h.failures) * healthWeight
	}
}

// update lets the averages decay and applies the progress of the running tasks.
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

// decay returns the part, 0 to 1, that is left of an average after a time in which nothing entered it.
func decay(elapsed, toOneOverE time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(toOneOverE))
}

// stretch returns the run's time until a time of the worker's clock, divided by its expected time.
func (t *task) stretch(until time.Duration) float64 {
	return float64(until-t.acceptedAt) / float64(t.Expected)
}

// projectedStretch returns the stretch that the run will have at its end, if it continues at the speed that its
// progress showed when it was last listed.
func (t *task) projectedStretch() float64 {
	return t.stretch(t.listedAt) * percentDone / float64(min(max(t.progress, 1), percentDone))
}

// showsRunTime reports whether the run time of a task that is done can be compared with the expected one: it is known, and the run did
// not begin at a checkpoint.
func (t *task) showsRunTime() bool {
	return t.Expected > 0 && t.Checkpoint == "" && t.acceptedAt > 0
}

// showsSpeed reports whether the progress of a task can be used.
func (t *task) showsSpeed() bool {
	return t.state == stateRunning && t.Expected > 0 && t.acceptedAt > 0 && t.listedAt-t.acceptedAt >= minElapsed
}

// medianRunningStretch returns the median over the jobs of their running tasks' mean projected stretch less one. ok is false
// for fewer than minJobs jobs.
func medianRunningStretch(active []*task, timeFactor float64) (stretch float64, ok bool) {
	sums := make(map[string]float64)
	counts := make(map[string]float64)
	for _, t := range active {
		if !t.showsSpeed() {
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
