// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package membership

import (
	"context"

	"sailhead/internal/metric"
	"sailhead/internal/native/configuration"
	"sailhead/internal/native/keyvalue"
	"sailhead/internal/native/ownership"
)

// Refresh reads the roster and the configuration from the platform once.
func (m *Membership) Refresh(ctx context.Context) error {
	roster, _, err := m.roster.Get(ctx)
	if err != nil {
		return err
	}
	m.state.SeeRoster(roster)
	config, _, err := m.configuration.Get(ctx)
	if err != nil {
		return err
	}
	m.state.SeeConfiguration(config)
	return nil
}

// WatchRoster follows the roster at the platform until the context ends.
func (m *Membership) WatchRoster(ctx context.Context) {
	watch(ctx, m, m.roster, func(r ownership.Roster) { m.state.SeeRoster(r) })
}

// WatchConfiguration follows the configuration at the platform until the context ends.
func (m *Membership) WatchConfiguration(ctx context.Context) {
	watch(ctx, m, m.configuration, func(c configuration.Configuration) { m.state.SeeConfiguration(c) })
}

// watch calls see with each newer value of a document until the context ends. A watch that fails is counted in
// PlatformFailures and not logged; while the platform is down each watch fails every retryDelay.
func watch[T any](ctx context.Context, m *Membership, document keyvalue.Document[T], see func(T)) {
	var after uint64
	for ctx.Err() == nil {
		value, revision, err := document.Watch(ctx, after)
		if err != nil {
			m.metrics.Add(metric.PlatformFailures, 1)
			_ = sleep(ctx, retryDelay)
			continue
		}
		if revision > after {
			after = revision
			see(value)
		}
	}
}
