// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package admission

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The samples of a kind.
const (
	// histogramWindows and samplesPerWindow bound what counts as recent: the last 768 to 1,024 samples of a kind.
	histogramWindows = 4
	samplesPerWindow = 256
	// minSample and maxSample are the bounds of the histogram; samples beyond them count as the bound.
	minSample = int64(100 * time.Microsecond)
	maxSample = int64(5 * time.Minute)
	// significantFigures of 2 keeps a value within 1 %.
	significantFigures = 2
	// minSamples is the number of samples before an estimate replaces the operators' figure, and between two updates of
	// the estimate.
	minSamples = 20
)

// The quantiles of an Estimate, in percent. A high one plans new work, so that most tasks end in time; the median decides whether work that
// was admitted is worth starting.
const (
	medianPercent = 50
	highPercent   = 95
)

// Estimate describes the service time of a kind.
type Estimate struct {
	Mean   time.Duration
	Median time.Duration
	// High is the quantile of highPercent.
	High time.Duration
}

// Estimator estimates the service times of kinds from recent samples. It is not safe for concurrent use.
type Estimator struct {
	kinds map[string]*samples
}

// samples are the service times of one kind.
type samples struct {
	recent *hdrhistogram.WindowedHistogram
	count  int
	// cached is the estimate at the last multiple of minSamples.
	cached Estimate
}

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator {
	return &Estimator{kinds: make(map[string]*samples)}
}

// Add records the service time of one task.
func (e *Estimator) Add(kind string, took time.Duration) {
	s, ok := e.kinds[kind]
	if !ok {
		s = &samples{recent: hdrhistogram.NewWindowed(histogramWindows, minSample, maxSample, significantFigures)}
		e.kinds[kind] = s
	}
	if s.count++; s.count%samplesPerWindow == 0 {
		s.recent.Rotate()
	}
	// RecordValue fails only for values outside the bounds.
	_ = s.recent.Current.RecordValue(min(max(int64(took), minSample), maxSample))
	if s.count%minSamples == 0 {
		s.cached = s.summarize()
	}
}

// Of returns the estimate for a kind.
//
// Rule: with fewer than minSamples samples every figure is the service time that operators expect of the kind.
//
// Reason: a quantile of a few samples says little.
func (e *Estimator) Of(kind string, expected time.Duration) Estimate {
	s, ok := e.kinds[kind]
	if !ok || s.count < minSamples {
		return Estimate{Mean: expected, Median: expected, High: expected}
	}
	return s.cached
}

func (s *samples) summarize() Estimate {
	merged := s.recent.Merge()
	return Estimate{
		Mean:   time.Duration(merged.Mean()),
		Median: time.Duration(merged.ValueAtPercentile(medianPercent)),
		High:   time.Duration(merged.ValueAtPercentile(highPercent)),
	}
}
