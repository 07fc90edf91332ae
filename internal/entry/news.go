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
	Read() (News, error)
	// Watch waits for changes since the last reading and returns what is new; ok is false if the
	// store has forgotten them, so that it must be read anew.
	Watch() (news News, ok bool, err error)
	// PutMember writes a member's record.
	PutMember(cluster.Member) error
	// RemoveMember removes a member's record if it is still of the incarnation given.
	RemoveMember(cluster.Member) error
}

// News is what an entry learns from the store.
type News struct {
	// Document is the configuration; nothing if there is none, or none that is new.
	Document []byte
	Members  []cluster.Member
	// Claims are the claims of shards, and Gone those that are there no longer.
	Claims []durable.Claim
	Gone   []durable.ClaimGone
	// HasKept is set if there were ever jobs that must be kept.
	HasKept bool
}

const (
	// storePause lies between two calls to a store that does not answer.
	storePause = 200 * time.Millisecond
	// exchangeInterval is the time between two exchanges with other entries.
	exchangeInterval = 450 * time.Millisecond
	headerTimeout    = 5 * time.Second
)

func servePeers(listener net.Listener, exchanger *cluster.Exchanger, asked durable.Asked) func() {
	mux := http.NewServeMux()
	mux.Handle(durable.PathPrefix, durable.NewServer(asked))
	mux.Handle("/", exchanger.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }
}

// pause waits and reports whether the process goes on.
func (f *Frontend) pause(d time.Duration) bool {
	select {
	case <-f.context.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// followStore reads the store and takes in its changes as they come.
func (f *Frontend) followStore() {
	current := false
	for f.context.Err() == nil {
		wasCurrent := current
		news, err := f.nextNews(&current)
		f.dependencies.note("store", err)
		if err != nil {
			if !f.pause(storePause) {
				return
			}
			continue
		}
		f.takeNews(news)
		f.takeClaims(news)
		if current && !wasCurrent {
			f.postKeep(durable.StoreRead{Kept: news.HasKept})
		}
	}
}

// takeClaims hands what the store says of the shards to the keeper.
func (f *Frontend) takeClaims(news News) {
	f.mu.Lock()
	f.storeHeard = time.Now()
	f.mu.Unlock()
	for _, claim := range news.Claims {
		f.postKeep(durable.ClaimSeen{Claim: claim})
	}
	for _, gone := range news.Gone {
		f.postKeep(gone)
	}
	if !news.HasKept {
		return
	}
	f.mu.Lock()
	first := !f.keptSeen
	f.keptSeen = true
	f.mu.Unlock()
	if first {
		f.postKeep(durable.OwnerWanted{})
	}
}

// nextNews reads the store if its history is not known, and waits for changes otherwise.
func (f *Frontend) nextNews(current *bool) (News, error) {
	if !*current {
		news, err := f.store.Read()
		*current = err == nil
		return news, err
	}
	news, ok, err := f.store.Watch()
	if err == nil {
		*current = ok
	}
	return news, err
}

func (f *Frontend) takeNews(news News) {
	for _, m := range news.Members {
		if f.directory.AddMember(m) {
			_ = level.Info(f.logger).Log("msg", "member", "name", m.Name, "role", m.Role, "address", m.Address)
		}
	}
	f.postKeep(durable.EntriesSeen{Names: f.entryNames()})
	if len(news.Document) == 0 {
		return
	}
	version, err := f.configurations.Accept(news.Document)
	if err != nil {
		_ = level.Error(f.logger).Log("msg", "unable to use the configuration", "err", err)
		return
	}
	if f.directory.SetDocument(version, news.Document) {
		_ = level.Info(f.logger).Log("msg", "configuration", "version", version, "from", "store")
	}
}

func (f *Frontend) entryNames() []string {
	var names []string
	for _, m := range f.directory.Members(cluster.RoleEntry) {
		names = append(names, m.Name)
	}
	return names
}

// register writes this entry's record to the store, and tries until that is done.
func (f *Frontend) register() {
	for f.context.Err() == nil {
		if err := f.store.PutMember(f.self); err == nil {
			return
		}
		if !f.pause(storePause + rand.N(storePause)) {
			return
		}
	}
}

// exchange exchanges with another entry at a time, so that news travels while the store does not answer.
func (f *Frontend) exchange() {
	for f.pause(exchangeInterval/2 + rand.N(exchangeInterval)) {
		address, ok := f.anyPeer()
		if !ok {
			continue
		}
		before, _ := f.directory.Document()
		f.dependencies.note("entry "+address, f.exchanger.ExchangeWith(f.context, address))
		if after, _ := f.directory.Document(); after > before {
			_ = level.Info(f.logger).Log("msg", "configuration", "version", after, "from", address)
		}
	}
}

// anyPeer returns the address of another entry, or of a seed.
func (f *Frontend) anyPeer() (string, bool) {
	var addresses []string
	for _, m := range f.directory.Members(cluster.RoleEntry) {
		addresses = append(addresses, m.Address)
	}
	addresses = append(addresses, *f.seeds.Load()...)
	var others []string
	for _, address := range addresses {
		if address != f.self.Address {
			others = append(others, address)
		}
	}
	if len(others) == 0 {
		return "", false
	}
	return others[rand.IntN(len(others))], true
}
