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

// shareRecorder exports the latest division of the worker between competitors as metrics. Use newShareRecorder.
type shareRecorder struct {
	current *atomic.Pointer[[]shares.Share]
}

func newShareRecorder(metrics *metric.Set) shareRecorder {
	recorder := shareRecorder{current: new(atomic.Pointer[[]shares.Share])}
	recorder.current.Store(new([]shares.Share))
	show := func(name string, value func(shares.Share) float64) {
		metrics.Show(name, func() any { return byCompetitor(*recorder.current.Load(), value) })
	}
	show(metric.SharesUsed, func(s shares.Share) float64 { return s.Recent })
	show(metric.SharesUsual, func(s shares.Share) float64 { return s.Usual })
	show(metric.SharesEntitled, func(s shares.Share) float64 { return s.FairShare })
	return recorder
}

// byCompetitor returns one value of each share, by the competitor's name.
func byCompetitor(divided []shares.Share, value func(shares.Share) float64) map[string]float64 {
	values := make(map[string]float64, len(divided))
	for _, share := range divided {
		values[competitorName(share.Competitor)] = value(share)
	}
	return values
}

// competitorName returns a competitor's name as used in logs and metrics.
func competitorName(c shares.Competitor) string {
	return c.Zone + "/" + c.Kind
}

// sharesDivided logs and exports how the worker is divided. The log lists only the competitors that are waiting.
func (a *Agent) sharesDivided(e runner.SharesDivided) {
	a.shares.current.Store(&e.Shares)
	var waiting strings.Builder
	for _, share := range e.Shares {
		if share.IsWaiting {
			fmt.Fprintf(&waiting, "[%s used=%.1f usual=%.1f share=%.1f]", competitorName(share.Competitor), share.Recent, share.Usual, share.FairShare)
		}
	}
	_ = level.Info(a.logger).Log("msg", "shares", "waiting", waiting.String())
}
