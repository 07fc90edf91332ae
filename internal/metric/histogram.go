// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package metric

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestTime is the largest time that a histogram can hold; longer ones are recorded as this.
	longestTime = time.Minute
	// figures is the number of significant decimal digits of a histogram.
	figures = 2
	// maxLabels is the largest number of labels with a histogram of their own, so that operators who create many kinds cannot fill the
	// memory.
	maxLabels = 64
	// otherLabel is the label under which times of all further labels are recorded.
	otherLabel = "other"
)

// Times is a set of histograms of durations in microseconds, one for each label. It is safe for concurrent use.
type Times struct {
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// NewTimes returns an empty set.
func NewTimes() *Times {
	return &Times{histograms: make(map[string]*hdrhistogram.Histogram)}
}

// Record adds a duration to the histogram of a label. Negative durations count as 0.
func (t *Times) Record(label string, value time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.histograms[label]
	if !ok && len(t.histograms) >= maxLabels {
		label = otherLabel
		h, ok = t.histograms[label]
	}
	if !ok {
		h = hdrhistogram.New(1, longestTime.Microseconds(), figures)
		t.histograms[label] = h
	}
	// RecordValue fails on values outside the histogram's range only.
	_ = h.RecordValue(min(max(value, 0), longestTime).Microseconds())
}

// summary is the JSON form of a histogram.
type summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	Max   int64 `json:"max_us"`
}

// String returns a summary of each histogram as JSON by label. It implements expvar.Var.
func (t *Times) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	shown := make(map[string]summary, len(t.histograms))
	for label, h := range t.histograms {
		shown[label] = summary{Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99), Max: h.Max()}
	}
	data, err := json.Marshal(shown)
	if err != nil {
		// Marshal cannot fail on summaries; expvar needs valid JSON in any case.
		return "{}"
	}
	return string(data)
}

// Times adds a set of histograms under a name, beside the counters, and returns it.
func (s *Set) Times(name string) *Times {
	times := NewTimes()
	s.vars.Set(name, times)
	return times
}
