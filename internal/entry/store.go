// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"sailhead/internal/cluster"
	"sailhead/internal/durable"
)

// Store is the platform's store as an entry sees it.
type Store interface {
	// Read returns what the store holds.
	Read() (StoreUpdate, error)
	// Watch waits for changes since the last reading and returns what is new; ok is false if the
	// store has forgotten them, so that it must be read anew.
	Watch() (news StoreUpdate, ok bool, err error)
	// PutMember writes a member's record.
	PutMember(cluster.Member) error
	// RemoveMember removes a member's record if it is still of the incarnation given.
	RemoveMember(cluster.Member) error
}

// StoreUpdate is what an entry learns from the store.
type StoreUpdate struct {
	// Document is the configuration; nothing if there is none, or none that is new.
	Document []byte
	Members  []cluster.Member
	// Claims are the claims of shards, and Gone those that are there no longer.
	Claims     []durable.Claim
	ClaimsGone []durable.ClaimGone
	// HasDurableJobs is set if there were ever jobs that must be kept.
	HasDurableJobs bool
}

const (
	// storePause lies between two calls to a store that does not answer.
	storePause = 200 * time.Millisecond
	// exchangeInterval is the time between two exchanges with other entries.
	exchangeInterval = 450 * time.Millisecond
	headerTimeout    = 5 * time.Second
)

func servePeers(listener net.Listener, exchanger *cluster.Exchanger, asked durable.LocalCoordinator) func() {
	mux := http.NewServeMux()
	mux.Handle(durable.PathPrefix, durable.NewServer(asked))
	mux.Handle("/", exchanger.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }
}

// pause waits and reports whether the process goes on.
func (e *Entry) pause(d time.Duration) bool {
	select {
	case <-e.context.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// followStore reads the store and takes in its changes as they come.
func (e *Entry) followStore() {
	current := false
	for e.context.Err() == nil {
		wasCurrent := current
		news, err := e.nextUpdate(&current)
		e.dependencies.observe("store", err)
		if err != nil {
			if !e.pause(storePause) {
				return
			}
			continue
		}
		e.applyUpdate(news)
		e.applyClaims(news)
		if current && !wasCurrent {
			e.postDurable(durable.StoreRead{HasJobs: news.HasDurableJobs})
		}
	}
}

// applyClaims hands what the store says of the shards to the keeper.
func (e *Entry) applyClaims(news StoreUpdate) {
	e.mu.Lock()
	e.lastStoreUpdate = time.Now()
	e.mu.Unlock()
	for _, claim := range news.Claims {
		e.postDurable(durable.ClaimObserved{Claim: claim})
	}
	for _, gone := range news.ClaimsGone {
		e.postDurable(gone)
	}
	if !news.HasDurableJobs {
		return
	}
	e.mu.Lock()
	first := !e.durableSeen
	e.durableSeen = true
	e.mu.Unlock()
	if first {
		e.postDurable(durable.ActivationRequested{})
	}
}

// nextUpdate reads the store if its history is not known, and waits for changes otherwise.
func (e *Entry) nextUpdate(current *bool) (StoreUpdate, error) {
	if !*current {
		news, err := e.store.Read()
		*current = err == nil
		return news, err
	}
	news, ok, err := e.store.Watch()
	if err == nil {
		*current = ok
	}
	return news, err
}

func (e *Entry) applyUpdate(news StoreUpdate) {
	for _, m := range news.Members {
		if e.directory.AddMember(m) {
			_ = level.Info(e.logger).Log("msg", "member", "name", m.Name, "role", m.Role, "address", m.Address)
		}
	}
	e.postDurable(durable.EntriesChanged{Names: e.entryNames()})
	if len(news.Document) == 0 {
		return
	}
	version, err := e.configurations.Accept(news.Document)
	if err != nil {
		_ = level.Error(e.logger).Log("msg", "unable to use the configuration", "err", err)
		return
	}
	if e.directory.SetDocument(version, news.Document) {
		_ = level.Info(e.logger).Log("msg", "configuration", "version", version, "from", "store")
	}
}

func (e *Entry) entryNames() []string {
	var names []string
	for _, m := range e.directory.Members(cluster.RoleEntry) {
		names = append(names, m.Name)
	}
	return names
}

// register writes this entry's record to the store, and tries until that is done.
func (e *Entry) register() {
	for e.context.Err() == nil {
		if err := e.store.PutMember(e.self); err == nil {
			return
		}
		if !e.pause(storePause + rand.N(storePause)) {
			return
		}
	}
}

// exchange exchanges with another entry at a time, so that news travels while the store does not answer.
func (e *Entry) exchange() {
	for e.pause(exchangeInterval/2 + rand.N(exchangeInterval)) {
		address, ok := e.anyPeer()
		if !ok {
			continue
		}
		before, _ := e.directory.Document()
		e.dependencies.observe("entry "+address, e.exchanger.ExchangeWith(e.context, address))
		if after, _ := e.directory.Document(); after > before {
			_ = level.Info(e.logger).Log("msg", "configuration", "version", after, "from", address)
		}
	}
}

// anyPeer returns the address of another entry, or of a seed.
func (e *Entry) anyPeer() (string, bool) {
	var addresses []string
	for _, m := range e.directory.Members(cluster.RoleEntry) {
		addresses = append(addresses, m.Address)
	}
	addresses = append(addresses, *e.seeds.Load()...)
	var others []string
	for _, address := range addresses {
		if address != e.self.Address {
			others = append(others, address)
		}
	}
	if len(others) == 0 {
		return "", false
	}
	return others[rand.IntN(len(others))], true
}
