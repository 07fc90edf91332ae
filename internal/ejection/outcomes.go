// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ejection

import "slices"

const (
	// maxOutcomes is the number of workers whose outcomes are kept. It is large enough to detect that a quarter of them fail.
	maxOutcomes = 24
	// minOutcomes is the number of workers in service that suffice for a failure rate. With fewer, ejected workers are included.
	minOutcomes = 4
)

// outcome is the outcome of the latest run of a kind on a worker.
type outcome struct {
	worker    string
	hasFailed bool
}

// Outcomes holds the outcomes of one kind, one for the latest run on each of the workers that ran it last. Only one run per worker counts
// because a worker that fails its runs immediately runs far more of them than others, so that its failures would look like those of the kind.
// The nil value is empty.
type Outcomes []outcome

// WithRun returns the outcomes with another run added. The receiver must not be used afterwards.
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

// FailureRate returns the failure rate, 0 to 1, on all workers except the given one. Ejected workers count only if there are fewer than
// minOutcomes others.
func (o Outcomes) FailureRate(worker string, isEjected func(worker string) bool) float64 {
	var inService, ejected outcomeCount
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

// outcomeCount counts all and failed outcomes.
type outcomeCount struct{ all, failed int }

func (t outcomeCount) with(o outcome) outcomeCount {
	t.all++
	if o.hasFailed {
		t.failed++
	}
	return t
}

func (t outcomeCount) plus(other outcomeCount) outcomeCount {
	return outcomeCount{all: t.all + other.all, failed: t.failed + other.failed}
}

func (t outcomeCount) rate() float64 {
	if t.all == 0 {
		return 0
	}
	return float64(t.failed) / float64(t.all)
}
