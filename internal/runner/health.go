// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/worker"
)

// healthWeight is the weight of the latest run in the worker's averages.
const healthWeight = 0.12

// health averages how the worker's latest runs went.
type health struct {
	failures float64
	stretch  float64
}

// ended takes in the end of a run.
func (h *health) ended(t *task, ending worker.Ending, now time.Time) {
	switch ending {
	case worker.EndingDone:
		h.failures -= h.failures * healthWeight
		if t.Expected > 0 && t.Checkpoint == "" {
			h.stretched(float64(now.Sub(t.began)) / float64(t.Expected))
		}
	case worker.EndingFailed:
		h.failures += (1 - h.failures) * healthWeight
	}
}

func (h *health) stretched(ratio float64) {
	if h.stretch == 0 {
		h.stretch = 1
	}
	h.stretch += (ratio - h.stretch) * healthWeight
}

func (h *health) failureRate() float64 { return h.failures }

func (h *health) slowness() float64 {
	if h.stretch == 0 {
		return 1
	}
	return h.stretch
}
