// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package agent

import (
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/go-kit/log/level"

	"sailhead/internal/metric"
	"sailhead/internal/runner"
	"sailhead/internal/shares"
)

// shareRecorder shows how the worker was divided last. Use newShareRecorder.
type shareRecorder struct {
	latest *atomic.Pointer[[]shares.Share]
}

func newShareRecorder(metrics *metric.Set) shareRecorder {
	recorder := shareRecorder{latest: new(atomic.Pointer[[]shares.Share])}
	recorder.latest.Store(new([]shares.Share))
	show := func(name string, value func(shares.Share) float64) {
		metrics.Show(name, func() any { return byCompetitor(*recorder.latest.Load(), value) })
	}
	show(metric.SharesUsed, func(s shares.Share) float64 { return s.Recent })
	show(metric.SharesUsual, func(s shares.Share) float64 { return s.Usual })
	show(metric.SharesEntitled, func(s shares.Share) float64 { return s.Entitled })
	return recorder
}

// byCompetitor returns a value of each share by the name of its competitor.
func byCompetitor(divided []shares.Share, value func(shares.Share) float64) map[string]float64 {
	values := make(map[string]float64, len(divided))
	for _, share := range divided {
		values[nameOf(share.Competitor)] = value(share)
	}
	return values
}

// nameOf returns the name of a competitor in logs and metrics.
func nameOf(c shares.Competitor) string {
	return c.Zone + "/" + c.Kind
}

// sharesDivided logs and shows how the worker is divided. The log names the competitors that wait.
func (a *Agent) sharesDivided(e runner.SharesDivided) {
	a.shares.latest.Store(&e.Shares)
	var waiting strings.Builder
	for _, share := range e.Shares {
		if share.IsWaiting {
			fmt.Fprintf(&waiting, "[%s used=%.1f usual=%.1f share=%.1f]", nameOf(share.Competitor), share.Recent, share.Usual, share.Entitled)
		}
	}
	_ = level.Info(a.logger).Log("msg", "shares", "waiting", waiting.String())
}
