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

// listReaderLease is the lease of the entry that reads the list of VMs. After its death no entry reads for that long, which delays
// removals.
const listReaderLease = 10 * time.Second

// ReadList applies the platform's list of VMs to the roster at each interval until the context ends.
//
// One entry at a time reads the list, under a lease. The lease only saves requests to the platform: changes of the
// roster are compare-and-swaps, and correct if several entries read.
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
		var err error
		lease, err = m.renewReaderLease(ctx, lease)
		if err == nil && lease != "" {
			err = m.applyVMs(ctx)
		}
		if err != nil {
			m.metrics.Add(metric.PlatformFailures, 1)
			_ = level.Debug(m.logger).Log("msg", "unable to read the list of VMs", "err", err)
		}
	}
}

// renewReaderLease renews the lease of the reader, or acquires it if no entry has it. It returns "" if another entry
// has it.
func (m *Membership) renewReaderLease(ctx context.Context, lease keyvalue.LeaseID) (keyvalue.LeaseID, error) {
	if lease != "" {
		err := m.platform.KeepAlive(ctx, lease)
		if !errors.Is(err, keyvalue.ErrLeaseLapsed) {
			return lease, err
		}
	}
	if _, err := m.platform.Get(ctx, keyListReaderPrefix+m.region); !errors.Is(err, keyvalue.ErrNotFound) {
		return "", err
	}
	lease, err := m.platform.Grant(ctx, listReaderLease)
	if err != nil {
		return "", err
	}
	_, err = m.platform.CompareAndSwapLeased(ctx, keyListReaderPrefix+m.region, []byte(m.self.ID), 0, lease)
	if errors.Is(err, keyvalue.ErrConflict) {
		return "", m.platform.Revoke(ctx, lease)
	}
	return lease, err
}

// applyVMs reads the list of VMs once, applies it to the roster, and removes old members from the roster.
func (m *Membership) applyVMs(ctx context.Context) error {
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

// applyList returns the roster with the members marked or removed that a list of VMs shows as leaving or gone.
//
// Inputs: the roster, the list of VMs with the state of each, the time, and the longest lag of the list.
//
// Rule: a listed member whose VM is on the list is marked as seen, and as leaving if the VM is; leaving is never
// undone. A member that was seen and whose VM is no longer on the list is dead. Members that joined less than the lag
// ago are left alone.
//
// Reason: a member that was never seen may have joined before the list shows its VM. For the time of the lag the list
// may still show an earlier VM at the address. A process that does not respond is no proof of death: a removed agent's
// keys may start elsewhere, so a removed agent that runs on could start them twice.
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
