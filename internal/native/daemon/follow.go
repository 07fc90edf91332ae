// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"sailhead/internal/metric"
	"sailhead/internal/native/configuration"
	"sailhead/internal/native/ownership"
	"sailhead/internal/native/peer"
	"sailhead/internal/timeline"
)

// readInterval is the time between two readings of a platform that does not answer while the process starts.
const readInterval = 300 * time.Millisecond

// readPlatform reads the platform until it answers, so that no process serves under an older configuration than the
// one that was in force before it started.
func (n *node) readPlatform(ctx context.Context) {
	for !n.refresh(ctx) {
		if sleep(ctx, readInterval) != nil {
			return
		}
	}
}

// refresh reads the platform once and reports whether it answered.
func (n *node) refresh(ctx context.Context) bool {
	if err := n.membership.Refresh(ctx); err != nil {
		n.metrics.Add(metric.PlatformFailures, 1)
		_ = level.Warn(n.logger).Log("msg", "unable to read the platform", "err", err)
		return false
	}
	return true
}

// handleRoster follows a new roster, and closes removed if it lists this process as dead.
func (n *node) handleRoster(roster ownership.Roster) {
	n.timeline.Add(timeline.Event{Kind: timeline.RosterChanged, Task: timeline.NoTask, Detail: fmt.Sprintf("epoch %d revision %d", roster.Epoch, roster.Revision)})
	n.metrics.Set(metric.RosterEpoch, int64(roster.Epoch))
	n.liveness.Keep(roster)
	if self, ok := roster.MemberByID(n.self.ID); ok && self.Removal == ownership.RemovalDead {
		select {
		case <-n.removed:
		default:
			close(n.removed)
		}
	}
}

// handleConfiguration follows a new configuration.
func (n *node) handleConfiguration(c configuration.Configuration) {
	n.metrics.Set(metric.ConfigVersion, int64(c.Version))
	n.timeline.Add(timeline.Event{Kind: timeline.ConfigChanged, Task: timeline.NoTask, Detail: fmt.Sprintf("version %d", c.Version)})
}

// catchUp exchanges gossip with a peer that knows a higher epoch or a higher version of the configuration.
func (n *node) catchUp(ctx context.Context, known peer.Versions, address string) {
	if known.Epoch <= n.state.Roster().Epoch && known.Configuration <= n.state.Configuration().Version {
		return
	}
	n.exchangeWith(ctx, address)
}

// exchangeWith exchanges gossip with a peer once. A failure is only logged: gossip spreads without this exchange too.
func (n *node) exchangeWith(ctx context.Context, address string) {
	if err := n.exchanger.ExchangeWith(ctx, address); err != nil {
		_ = level.Debug(n.logger).Log("msg", "unable to catch up", "peer", address, "err", err)
	}
}
