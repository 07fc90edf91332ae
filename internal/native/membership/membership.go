// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package membership

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"sailhead/internal/metric"
	"sailhead/internal/native/configuration"
	"sailhead/internal/native/gossip"
	"sailhead/internal/native/keyvalue"
	"sailhead/internal/native/ownership"
)

// The keys of the platform's service.
const (
	keyRosterPrefix     = "sailhead/roster/"
	keyListReaderPrefix = "sailhead/list-reader/"
	// KeyConfiguration holds the configuration of all regions.
	KeyConfiguration = "sailhead/configuration"
)

// KeyRoster returns the key of a region's roster.
func KeyRoster(region string) string {
	return keyRosterPrefix + region
}

// retryDelay is the pause after a failed call to the platform.
const retryDelay = 300 * time.Millisecond

// ErrRosterMoved is returned by Leave if the roster has changed since the hand-over. The hand-over must be made again.
var ErrRosterMoved = errors.New("membership: the roster has changed since the hand-over")

// Membership maintains the place of one process on the roster. Its methods may be called concurrently.
type Membership struct {
	self          ownership.Member
	region        string
	platform      *keyvalue.Client
	roster        keyvalue.Document[ownership.Roster]
	configuration keyvalue.Document[configuration.Configuration]
	state         *gossip.State
	retention     time.Duration
	listLag       time.Duration
	metrics       *metric.Set
	logger        log.Logger
}

// Times are the settings of a Membership.
type Times struct {
	// Retention is how long removed members stay on the roster. After it no key that was issued before the removal is
	// accepted.
	Retention time.Duration
	// ListLag is the longest lag of the platform's list of VMs.
	ListLag time.Duration
}

// New returns the membership of a process that has not joined its region's roster.
func New(self ownership.Member, region string, client *keyvalue.Client, state *gossip.State, times Times, metrics *metric.Set, logger log.Logger) *Membership {
	return &Membership{
		self:          self,
		region:        region,
		platform:      client,
		roster:        keyvalue.NewDocument[ownership.Roster](client, KeyRoster(region)),
		configuration: keyvalue.NewDocument[configuration.Configuration](client, KeyConfiguration),
		state:         state,
		retention:     times.Retention,
		listLag:       times.ListLag,
		metrics:       metrics,
		logger:        logger,
	}
}

// Join adds the process to the roster. It retries until it succeeds or the context ends.
func (m *Membership) Join(ctx context.Context) error {
	for {
		err := m.change(ctx, func(r ownership.Roster) (ownership.Roster, error) {
			return r.WithJoined(m.self, time.Now()), nil
		})
		if err == nil {
			_ = level.Info(m.logger).Log("msg", "joined the roster", "epoch", m.state.Roster().Epoch)
			return nil
		}
		m.metrics.Add(metric.PlatformFailures, 1)
		_ = level.Warn(m.logger).Log("msg", "unable to join the roster", "err", err)
		if err := sleep(ctx, retryDelay); err != nil {
			return err
		}
	}
}

// IsListed reports whether the process is on the roster.
func (m *Membership) IsListed() bool {
	self, ok := m.state.Roster().MemberByID(m.self.ID)
	return ok && self.IsListed()
}

// Leave removes the process from the roster after a hand-over under the given epoch. It returns ErrRosterMoved if the
// roster has another epoch by now. The heir is empty for an agent.
func (m *Membership) Leave(ctx context.Context, heir ownership.MemberID, epoch uint64) error {
	return m.change(ctx, func(r ownership.Roster) (ownership.Roster, error) {
		if self, ok := r.MemberByID(m.self.ID); !ok || !self.IsListed() {
			return r, keyvalue.ErrUnchanged
		}
		if r.Epoch != epoch {
			return r, ErrRosterMoved
		}
		return r.WithLeft(m.self.ID, heir, time.Now())
	})
}

// change applies a change to the roster in the platform, and then the result to the state.
func (m *Membership) change(ctx context.Context, change func(ownership.Roster) (ownership.Roster, error)) error {
	roster, _, err := m.roster.Update(ctx, func(old ownership.Roster) (ownership.Roster, error) {
		next, err := change(old)
		if err == nil && next.Revision == old.Revision {
			return old, keyvalue.ErrUnchanged
		}
		return next, err
	})
	if err != nil {
		return err
	}
	m.state.SeeRoster(roster)
	return nil
}

// sleep waits for the pause or the end of the context, and returns the error of the context.
func sleep(ctx context.Context, pause time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(pause):
		return nil
	}
}
