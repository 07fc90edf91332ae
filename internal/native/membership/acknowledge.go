// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package membership

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"sailhead/internal/metric"
	"sailhead/internal/native/keyvalue"
	"sailhead/internal/native/ownership"
)

// Acknowledge writes the epochs that this entry uses to the roster until the context ends.
func (m *Membership) Acknowledge(ctx context.Context, epochs <-chan uint64) {
	for {
		select {
		case <-ctx.Done():
			return
		case epoch := <-epochs:
			m.acknowledge(ctx, epoch)
		}
	}
}

// acknowledge writes one epoch to the roster and retries until it succeeds or the context ends.
func (m *Membership) acknowledge(ctx context.Context, epoch uint64) {
	for ctx.Err() == nil {
		err := m.change(ctx, func(r ownership.Roster) (ownership.Roster, error) {
			if self, ok := r.MemberByID(m.self.ID); !ok || !self.IsListed() || self.Acked >= epoch {
				return r, keyvalue.ErrUnchanged
			}
			return r.WithAck(m.self.ID, epoch, time.Now())
		})
		if err == nil {
			return
		}
		m.metrics.Add(metric.PlatformFailures, 1)
		_ = level.Warn(m.logger).Log("msg", "unable to acknowledge the epoch", "epoch", epoch, "err", err)
		_ = sleep(ctx, retryDelay)
	}
}
