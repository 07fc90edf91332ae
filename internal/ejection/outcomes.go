// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ejection

import "slices"

const (
	// maxOutcomes is how many workers are remembered: enough that a quarter of them that fail stands out.
	maxOutcomes = 24
	// minOutcomes is how many workers that are not ejected show how a kind does. With fewer, those that are ejected count too.
	minOutcomes = 4
)

// outcome is how the latest run of a kind on a worker ended.
type outcome struct {
	worker    string
	hasFailed bool
}

// Outcomes are how the latest runs of one kind ended on the workers that ran it last, one run each. A worker that fails its runs at once has far
// more of them than others, and would make its own failures look like those of the kind. The nil value knows of none.
type Outcomes []outcome

// WithRun returns the outcomes with another run. The receiver must not be used any more.
func (o Outcomes) WithRun(worker string, hasFailed bool) Outcomes {
	at := slices.IndexFunc(o, func(known outcome) bool { return known.worker == worker })
	switch {
	case at >= 0:
		o = slices.Delete(o, at, at+1)
	case len(o) >= maxOutcomes:
		o = slices.Delete(o, 0, 1)
	}
	return append(o, outcome{worker: worker, hasFailed: hasFailed})
}

// FailureRate returns the share of the outcomes, 0 to 1, that failed on other workers than the given one. Those for which isEjected returns true
// count only if there are few others.
func (o Outcomes) FailureRate(worker string, isEjected func(worker string) bool) float64 {
	var inService, ejected tally
	for _, known := range o {
		switch {
		case known.worker == worker:
		case isEjected(known.worker):
			ejected = ejected.with(known)
		default:
			inService = inService.with(known)
		}
	}
	if inService.all < minOutcomes {
		inService = inService.plus(ejected)
	}
	return inService.rate()
}

// tally counts outcomes.
type tally struct{ all, failed int }

func (t tally) with(o outcome) tally {
	t.all++
	if o.hasFailed {
		t.failed++
	}
	return t
}

func (t tally) plus(other tally) tally {
	return tally{all: t.all + other.all, failed: t.failed + other.failed}
}

func (t tally) rate() float64 {
	if t.all == 0 {
		return 0
	}
	return float64(t.failed) / float64(t.all)
}
