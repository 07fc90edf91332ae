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
	// healthMemory is the time in which the averages go back to those of a sound worker by two thirds: a worker
	// that gets no tasks could not show that it is sound again.
	healthMemory = 3 * time.Second
	// leastJobs is how many jobs must have runs that go on before they tell of the worker's speed: what one job
	// says of its usual time is often off by a factor of two.
	leastJobs = 3
	// leastElapsed is how long a run must have gone on before its progress tells of its speed.
	leastElapsed = 30 * time.Millisecond
	// whole is the progress of a run that is done, in percent.
	whole = 100
)

// health averages how the worker's latest runs went.
type health struct {
	failures float64
	// stretch is how many times their usual time the runs took, less one.
	stretch float64
	// present is the same for the runs that go on.
	present float64
	faded   time.Time
}

// ended takes in the end of a run.
func (h *health) ended(t *task, ending worker.Ending, now time.Time) {
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

// outlook returns how many times its usual time the run will have taken in the end, going by its progress when
// it was last listed.
func (t *task) outlook() float64 {
	return t.stretch(t.looked) * whole / float64(min(max(t.progress, 1), whole))
}

// look lets the averages fade and takes in the runs that go on.
func (h *health) look(now time.Time, active []*task) {
	if !h.faded.IsZero() {
		kept := math.Exp(-float64(now.Sub(h.faded)) / float64(healthMemory))
		h.failures *= kept
		h.stretch *= kept
	}
	h.faded = now
	h.present = presentStretch(active)
}

// presentStretch returns the median outlook of the jobs whose runs go on, less one; 0 if they are too few to tell.
func presentStretch(active []*task) float64 {
	sums := make(map[string]float64)
	counts := make(map[string]float64)
	for _, t := range active {
		if t.state != stateRunning || t.Expected <= 0 || t.looked.Sub(t.began) < leastElapsed {
			continue
		}
		job, _, _ := strings.Cut(t.Name, ".")
		sums[job] += t.outlook()
		counts[job]++
	}
	if len(sums) < leastJobs {
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

func (h *health) slowness() float64 { return 1 + max(h.stretch, h.present) }
