// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package admission estimates service times and decides what cannot end in time.
package admission

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramWindows   = 4
	samplesPerWindow   = 256
	lowestSample       = int64(100 * time.Microsecond)
	highestSample      = int64(5 * time.Minute)
	significantFigures = 2
	medianPercent      = 50
	highPercent        = 95
	fewestSamples      = 20
)

// Estimate is what is known of a kind's service time.
type Estimate struct {
	Mean   time.Duration
	Median time.Duration
	// High is a high quantile, by which a task is planned to end.
	High time.Duration
}

// Estimator learns the service times of kinds from recent samples. It is not safe for concurrent use.
type Estimator struct {
	kinds map[string]*samples
}

type samples struct {
	recent *hdrhistogram.WindowedHistogram
	count  int
	cached Estimate
}

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator {
	return &Estimator{kinds: make(map[string]*samples)}
}

// Add takes in the service time of one task.
func (e *Estimator) Add(kind string, took time.Duration) {
	s, ok := e.kinds[kind]
	if !ok {
		s = &samples{recent: hdrhistogram.NewWindowed(histogramWindows, lowestSample, highestSample, significantFigures)}
		e.kinds[kind] = s
	}
	if s.count++; s.count%samplesPerWindow == 0 {
		s.recent.Rotate()
	}
	_ = s.recent.Current.RecordValue(min(max(int64(took), lowestSample), highestSample))
	if s.count == fewestSamples || s.count > fewestSamples && s.count%fewestSamples == 0 {
		s.cached = s.summarize()
	}
}

// Of returns the estimate for a kind; until there are samples it is the time that operators expect.
func (e *Estimator) Of(kind string, expected time.Duration) Estimate {
	s, ok := e.kinds[kind]
	if !ok || s.count < fewestSamples {
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
