// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"sync"

	"github.com/go-kit/log/level"

	"sailhead/internal/clock"
	"sailhead/internal/cluster"
	"sailhead/internal/durable"
	"sailhead/internal/evacuation"
	"sailhead/internal/timing"
)

// Store is the part of the platform's store that an entry uses for members, configuration and claims. The methods that
// read and watch are called by one goroutine only.
type Store interface {
	// ReadConfiguration returns the configuration and the evacuated availability zones only, which is faster than Read.
	ReadConfiguration() (StoreUpdate, error)
	// Read returns all fields of the update.
	Read() (StoreUpdate, error)
	// Watch waits for changes since the last Read or Watch and returns them, or an empty update after a time-out. ok is
	// false if the store no longer has that part of its history, in which case it must be read again.
	Watch() (update StoreUpdate, ok bool, err error)
	// PutMember writes a member's record.
	PutMember(cluster.Member) error
	// RemoveMember removes a member's record if it still has the given incarnation.
	RemoveMember(cluster.Member) error
}

// StoreUpdate is the result of a read or a watch of the store.
type StoreUpdate struct {
	// Document is the operators' configuration; empty if it is unchanged.
	Document []byte
	Members  []cluster.Member
	// Claims are the shard claims that were written, RemovedClaims those that were removed.
	Claims        []durable.Claim
	RemovedClaims []durable.ClaimRemoved
	// Evacuations are the changed availability zones after a watch, and all evacuated ones after a read.
	Evacuations evacuation.State
	// HasDurableJobs is set if there was ever a durable job.
	HasDurableJobs bool
}

// followStore reads the store and then applies its changes as they arrive. While the store does not answer, members and
// configuration come from other entries (see exchange).
func (e *Entry) followStore() {
	e.readConfiguration()
	isCurrent := false
	signalMembersRead := sync.OnceFunc(func() { close(e.membersRead) })
	for e.context.Err() == nil {
		wasCurrent := isCurrent
		update, err := e.nextUpdate(&isCurrent)
		e.dependencies.observe("store", err)
		if err != nil {
			e.pause(timing.StoreRetryDelay)
			continue
		}
		e.applyUpdate(update)
		signalMembersRead()
		if isCurrent && !wasCurrent {
			e.postDurable(durable.ClaimsRead{HasJobs: update.HasDurableJobs})
		}
		if len(update.Members) > 0 {
			e.pause(timing.StoreWatchPause(len(e.directory.Members(cluster.RoleEntry))))
		}
	}
}

// readConfiguration activates the configuration before the members are read, of which there may be thousands, since an
// entry without a configuration rejects all jobs. If the store does not answer, followStore reads the configuration
// together with everything else.
func (e *Entry) readConfiguration() {
	update, err := e.store.ReadConfiguration()
	e.dependencies.observe("store", err)
	if err != nil {
		return
	}
	e.applyEvacuations(update.Evacuations)
	e.applyConfiguration(update.Document)
}

// nextUpdate watches the store for changes if isCurrent is set, and reads the store otherwise. It updates isCurrent, which
// is false when the next call must read the store.
func (e *Entry) nextUpdate(isCurrent *bool) (StoreUpdate, error) {
	if !*isCurrent {
		update, err := e.store.Read()
		*isCurrent = err == nil
		return update, err
	}
	update, ok, err := e.store.Watch()
	if err == nil {
		*isCurrent = ok
	}
	return update, err
}

// applyUpdate applies an update from the store. Evacuations are applied first: tasks are placed only once there are agents
// and a configuration, so none is placed before the evacuated availability zones are known.
func (e *Entry) applyUpdate(update StoreUpdate) {
	e.applyEvacuations(update.Evacuations)
	for _, m := range update.Members {
		if e.directory.AddMember(m) {
			_ = level.Info(e.logger).Log("msg", "member", "name", m.Name, "role", m.Role, "address", m.Address)
		}
	}
	e.postDurable(durable.EntriesChanged{Names: e.entryNames()})
	e.applyConfiguration(update.Document)
	e.applyClaims(update)
}

// applyEvacuations merges changes of evacuated availability zones into the directory.
func (e *Entry) applyEvacuations(received evacuation.State) {
	if state, isChanged := e.directory.MergeEvacuations(received); isChanged {
		e.EvacuationsReceived(state)
	}
}

// applyConfiguration activates a configuration if it is newer. An invalid configuration is logged and ignored.
func (e *Entry) applyConfiguration(document []byte) {
	if len(document) == 0 {
		return
	}
	version, err := e.configurations.Accept(document)
	if err != nil {
		_ = level.Error(e.logger).Log("msg", "unable to use the configuration", "err", err)
		return
	}
	if e.directory.SetConfiguration(version, document) {
		_ = level.Info(e.logger).Log("msg", "configuration", "version", version, "from", "store")
	}
}

// applyClaims passes changed claims to the coordinator.
func (e *Entry) applyClaims(update StoreUpdate) {
	isFirst := e.shards.storeUpdated(clock.Now(), update.HasDurableJobs)
	for _, claim := range update.Claims {
		e.postDurable(durable.ClaimObserved{Claim: claim})
	}
	for _, gone := range update.RemovedClaims {
		e.postDurable(gone)
	}
	if isFirst {
		e.postDurable(durable.ActivationRequested{})
	}
}
