// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package membership

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"sailhead/internal/metric"
	"sailhead/internal/native/keyvalue"
	"sailhead/internal/native/ownership"
)

// ReadList brings the roster in line with the platform's list of VMs until the context ends.
//
// One entry at a time reads the list, under a lease that saves readings and guards nothing:
// every change of the roster is a compare-and-swap that holds whoever makes it.
func (m *Membership) ReadList(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var lease keyvalue.LeaseID
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		held, err := m.holdTurn(ctx, lease)
		if err == nil && held != "" {
			err = m.readList(ctx)
		}
		lease = held
		if err != nil {
			m.metrics.Add(metric.PlatformFailures, 1)
			_ = level.Debug(m.logger).Log("msg", "unable to read the list of VMs", "err", err)
		}
	}
}

// holdTurn keeps or takes the turn to read the list; an empty lease means that another entry has it.
func (m *Membership) holdTurn(ctx context.Context, lease keyvalue.LeaseID) (keyvalue.LeaseID, error) {
	if lease != "" {
		err := m.platform.KeepAlive(ctx, lease)
		if !errors.Is(err, keyvalue.ErrLeaseLapsed) {
			return lease, err
		}
	}
	if _, err := m.platform.Get(ctx, keyListReaderPrefix+m.region); !errors.Is(err, keyvalue.ErrNotFound) {
		return "", err
	}
	lease, err := m.platform.Grant(ctx, readerLease)
	if err != nil {
		return "", err
	}
	_, err = m.platform.CompareAndSwapLeased(ctx, keyListReaderPrefix+m.region, []byte(m.self.ID), 0, lease)
	if errors.Is(err, keyvalue.ErrConflict) {
		return "", m.platform.Revoke(ctx, lease)
	}
	return lease, err
}

func (m *Membership) readList(ctx context.Context) error {
	vms, err := m.platform.VMs(ctx)
	if err != nil {
		return err
	}
	return m.change(ctx, func(r ownership.Roster) (ownership.Roster, error) {
		now := time.Now()
		next, err := applyList(r, vms, now, m.listLag)
		if err != nil {
			return r, err
		}
		return next.WithPruned(now.Add(-m.retention)), nil
	})
}

// applyList marks the members that the list shows, and removes those that it showed and shows no longer.
// A member younger than the list's lag is left alone: the list may still speak of an earlier VM at its address.
func applyList(r ownership.Roster, vms []keyvalue.VM, now time.Time, lag time.Duration) (ownership.Roster, error) {
	shown := make(map[string]keyvalue.VMState, len(vms))
	for _, vm := range vms {
		shown[vm.Address] = vm.State
	}
	var err error
	for _, member := range r.Members {
		if !member.IsListed() || now.Sub(member.JoinedAt) < lag {
			continue
		}
		state, ok := shown[member.Address]
		leaving := state == keyvalue.VMLeaving
		switch {
		case ok && (!member.SeenOnList || leaving && !member.Leaving):
			r, err = r.WithSeen(member.ID, leaving)
		case !ok && member.SeenOnList:
			r, err = r.WithDead(member.ID, now)
		}
		if err != nil {
			return r, err
		}
	}
	return r, nil
}
