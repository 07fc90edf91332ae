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
	// longestTime is the largest time that a histogram tells apart.
	longestTime = time.Minute
	// figures is the number of significant figures of a histogram.
	figures = 2
	// maxLabels is how many labels a set of histograms tells apart; further ones share a histogram.
	maxLabels = 64
	// otherLabel is the label that further ones share.
	otherLabel = "other"
)

// Times is a set of histograms of times, one for each label, in microseconds.
type Times struct {
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// NewTimes returns a set without histograms.
func NewTimes() *Times {
	return &Times{histograms: make(map[string]*hdrhistogram.Histogram)}
}

// Record adds a time under a label.
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
	_ = h.RecordValue(min(max(value, 0), longestTime).Microseconds())
}

// summary is what is shown of a histogram.
type summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	Max   int64 `json:"max_us"`
}

// String returns the histograms' figures as JSON; it serves expvar.
func (t *Times) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	shown := make(map[string]summary, len(t.histograms))
	for label, h := range t.histograms {
		shown[label] = summary{Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99), Max: h.Max()}
	}
	data, err := json.Marshal(shown)
	if err != nil {
		return "{}"
	}
	return string(data)
}

// Times returns the set of histograms of a name, which is shown beside the counters.
func (s *Set) Times(name string) *Times {
	times := NewTimes()
	s.vars.Set(name, times)
	return times
}
