// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"math"
	"slices"
	"strings"
	"time"

	"sailhead/internal/worker"
)

const (
	// healthWeight is the weight of the latest run in the worker's averages.
	healthWeight = 0.12
	// healthDecay is the time in which the averages go back to those of a sound worker by two thirds: a worker
	// that gets no tasks could not show that it is sound again.
	healthDecay = 3 * time.Second
	// minJobs is how many jobs must have runs that go on before they tell of the worker's speed: what one job
	// says of its usual time is often off by a factor of two.
	minJobs = 3
	// minElapsed is how long a run must have gone on before its progress tells of its speed.
	minElapsed = 30 * time.Millisecond
	// percentDone is the progress of a run that is done, in percent.
	percentDone = 100
)

// health averages how the worker's latest runs went.
type health struct {
	failures float64
	// stretch is how many times their usual time the runs took, less one.
	stretch float64
	// runningStretch is the same for the runs that go on.
	runningStretch float64
	decayedAt      time.Time
}

// recordEnd takes in the end of a run.
func (h *health) recordEnd(t *task, ending worker.Ending, now time.Time) {
	switch ending {
	case worker.EndingDone:
		h.failures -= h.failures * healthWeight
		if t.Expected > 0 && t.Checkpoint == "" {
			h.stretch += (t.stretch(now) - 1 - h.stretch) * healthWeight
		}
	case worker.EndingFailed:
		h.failures += (1 - h.failures) * healthWeight
	}
}

// stretch returns how many times its usual time the run has taken.
func (t *task) stretch(now time.Time) float64 {
	return float64(now.Sub(t.began)) / float64(t.Expected)
}

// projectedStretch returns how many times its usual time the run will have taken in the end, going by its progress when
// it was last listed.
func (t *task) projectedStretch() float64 {
	return t.stretch(t.listedAt) * percentDone / float64(min(max(t.progress, 1), percentDone))
}

// update lets the averages fade and takes in the runs that go on.
func (h *health) update(now time.Time, active []*task) {
	if !h.decayedAt.IsZero() {
		kept := math.Exp(-float64(now.Sub(h.decayedAt)) / float64(healthDecay))
		h.failures *= kept
		h.stretch *= kept
	}
	h.decayedAt = now
	h.runningStretch = medianRunningStretch(active)
}

// medianRunningStretch returns the median outlook of the jobs whose runs go on, less one; 0 if they are too few to tell.
func medianRunningStretch(active []*task) float64 {
	sums := make(map[string]float64)
	counts := make(map[string]float64)
	for _, t := range active {
		if t.state != stateRunning || t.Expected <= 0 || t.listedAt.Sub(t.began) < minElapsed {
			continue
		}
		job, _, _ := strings.Cut(t.Name, ".")
		sums[job] += t.projectedStretch()
		counts[job]++
	}
	if len(sums) < minJobs {
		return 0
	}
	outlooks := make([]float64, 0, len(sums))
	for job, sum := range sums {
		outlooks = append(outlooks, sum/counts[job])
	}
	slices.Sort(outlooks)
	return max(outlooks[(len(outlooks)-1)/2]-1, 0)
}

func (h *health) failureRate() float64 { return h.failures }

func (h *health) slowness() float64 { return 1 + max(h.stretch, h.runningStretch) }
