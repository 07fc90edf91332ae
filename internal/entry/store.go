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

// Store is the platform's store as an entry follows it. The methods that read and watch are called by one goroutine only.
type Store interface {
	// ReadConfiguration returns the configuration and the evacuated availability zones, which are read sooner than everything.
	ReadConfiguration() (StoreUpdate, error)
	// Read returns what the store holds.
	Read() (StoreUpdate, error)
	// Watch waits for changes since the last reading and returns them; none after a while. ok is false if the store has
	// dropped that part of its history, so that it must be read again.
	Watch() (update StoreUpdate, ok bool, err error)
	// PutMember writes a member's record.
	PutMember(cluster.Member) error
	// RemoveMember removes a member's record if it is still of the incarnation given.
	RemoveMember(cluster.Member) error
}

// StoreUpdate is what a reading or a watch of the store brought.
type StoreUpdate struct {
	// Document is the operators' configuration; empty if it has not changed.
	Document []byte
	Members  []cluster.Member
	// Claims are the claims of shards that were written, ClaimsGone those that were removed.
	Claims     []durable.Claim
	ClaimsGone []durable.ClaimGone
	// Evacuations are the changes of evacuated availability zones, and after a reading of all the zones that are evacuated.
	Evacuations evacuation.State
	// HasDurableJobs is set if there was ever a durable job.
	HasDurableJobs bool
}

// followStore reads the store, then applies its changes as they come. While the store does not answer, members and
// configuration come from other entries (exchange).
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
			e.postDurable(durable.StoreRead{HasJobs: update.HasDurableJobs})
		}
		if len(update.Members) > 0 {
			e.pause(timing.StoreWatchPause(len(e.directory.Members(cluster.RoleEntry))))
		}
	}
}

// readConfiguration takes the configuration into use before the members are read, of which there may be thousands: without it an entry
// rejects all jobs. If the store does not answer, followStore reads it again with everything else.
func (e *Entry) readConfiguration() {
	update, err := e.store.ReadConfiguration()
	e.dependencies.observe("store", err)
	if err != nil {
		return
	}
	e.applyEvacuations(update.Evacuations)
	e.applyConfiguration(update.Document)
}

// nextUpdate reads the store if its history is not known, and waits for changes otherwise.
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

// applyUpdate takes a change of the store into use. The evacuations come first: nothing is placed without agents or a
// configuration, so neither comes before it is known which availability zones are evacuated.
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

// applyEvacuations takes into use which availability zones are evacuated.
func (e *Entry) applyEvacuations(received evacuation.State) {
	if state, isChanged := e.directory.MergeEvacuations(received); isChanged {
		e.EvacuationsReceived(state)
	}
}

// applyConfiguration takes a configuration into use if it is newer. One that cannot be read changes nothing.
func (e *Entry) applyConfiguration(document []byte) {
	if len(document) == 0 {
		return
	}
	version, err := e.configurations.Accept(document)
	if err != nil {
		_ = level.Error(e.logger).Log("msg", "unable to use the configuration", "err", err)
		return
	}
	if e.directory.SetDocument(version, document) {
		_ = level.Info(e.logger).Log("msg", "configuration", "version", version, "from", "store")
	}
}

// applyClaims hands the changed claims to the coordinator.
func (e *Entry) applyClaims(update StoreUpdate) {
	isFirst := e.shards.storeUpdated(clock.Now(), update.HasDurableJobs)
	for _, claim := range update.Claims {
		e.postDurable(durable.ClaimObserved{Claim: claim})
	}
	for _, gone := range update.ClaimsGone {
		e.postDurable(gone)
	}
	if isFirst {
		e.postDurable(durable.ActivationRequested{})
	}
}
