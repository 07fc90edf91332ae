// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"sailhead/internal/cluster"
	"sailhead/internal/dispatch"
	"sailhead/internal/durable"
	"sailhead/internal/handover"
	"sailhead/internal/learned"
	"sailhead/internal/timing"
)

const (
	// headerTimeout bounds the reading of a peer's request header, idleTimeout an unused connection of a peer.
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
)

// servePeers serves other entries and agents: exchanges, announcements, requests to owners of shards and jobs that are handed over. The
// clean-up closes the listener and all connections; it comes after the entry has stopped.
func servePeers(listener net.Listener, exchanger *cluster.Exchanger, local *Entry) func() {
	mux := http.NewServeMux()
	mux.Handle(durable.PathPrefix, durable.NewServer(local))
	handOvers, closeHandOvers := handover.NewServer(local, local.limitedLogger)
	mux.Handle(handover.Path, handOvers)
	mux.Handle("/", exchanger.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	// Serve only returns when the listener is closed, which the clean-up does.
	go func() { _ = server.Serve(listener) }()
	return func() {
		_ = server.Close()
		closeHandOvers()
	}
}

// KnowsEntries reports whether the number of known entries, this one included, is at least the one given.
func (e *Entry) KnowsEntries(entries int) bool {
	return len(e.directory.Members(cluster.RoleEntry)) >= entries
}

// SetSeeds replaces the addresses of entries to exchange with while no others are known.
func (e *Entry) SetSeeds(seeds []string) {
	e.seeds.Store(&seeds)
}

func (e *Entry) entryNames() []string {
	var names []string
	for _, m := range e.directory.Members(cluster.RoleEntry) {
		names = append(names, m.Name)
	}
	return names
}

// register writes this entry's record to the store, and retries until it is written. The first failure is logged, and
// the success after one.
func (e *Entry) register() {
	for e.context.Err() == nil {
		err := e.store.PutMember(e.self)
		e.dependencies.observe("store (registration)", err)
		if err == nil {
			return
		}
		e.pause(timing.StoreRetryDelay + rand.N(timing.StoreRetryDelay))
	}
}

// firstExchangeDelay is the mean pause before the first exchange. The pause doubles with each exchange that fails, up to
// timing.ExchangeInterval, which is that after one that succeeds. It is short as an entry that starts has learned nothing of the jobs that
// come to it.
const firstExchangeDelay = 50 * time.Millisecond

// exchange exchanges the directory with one other entry after the other, so that members and configuration spread while
// the store does not answer.
func (e *Entry) exchange() {
	interval := firstExchangeDelay
	for e.pause(interval/2 + rand.N(interval)) {
		if address, ok := e.randomPeer(); ok {
			interval = nextExchangeDelay(interval, e.exchangeWith(address))
		}
	}
}

// nextExchangeDelay returns the mean pause after an exchange.
func nextExchangeDelay(before time.Duration, hasSucceeded bool) time.Duration {
	if hasSucceeded {
		return timing.ExchangeInterval
	}
	return min(2*before, timing.ExchangeInterval)
}

// exchangeWith exchanges the directory with the entry at an address, and reports whether that succeeded.
func (e *Entry) exchangeWith(address string) bool {
	before, _ := e.directory.Document()
	err := e.exchanger.ExchangeWith(e.context, address)
	e.dependencies.observe("entry "+address, err)
	if after, _ := e.directory.Document(); after > before {
		_ = level.Info(e.logger).Log("msg", "configuration", "version", after, "from", address)
	}
	return err == nil
}

// randomPeer returns the address of a random other entry or seed; ok is false if none is known.
func (e *Entry) randomPeer() (address string, ok bool) {
	var addresses []string
	for _, m := range e.directory.Members(cluster.RoleEntry) {
		addresses = append(addresses, m.Address)
	}
	addresses = append(addresses, *e.seeds.Load()...)
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return address == e.self.Address })
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}

// pause waits. It returns false if the process ends meanwhile.
func (e *Entry) pause(d time.Duration) bool {
	select {
	case <-e.context.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Accept checks a configuration of another entry and takes it into use if it is newer. It implements cluster.Listener.
func (e *Entry) Accept(document []byte) (version uint64, err error) {
	version, err = e.configurations.Accept(document)
	if err != nil {
		_ = e.limitedLogger.Log("msg", "unable to use the configuration of another entry", "err", err)
	}
	return version, err
}

// LearnedReceived hands what another entry has learned to the event loop. It implements cluster.Listener.
func (e *Entry) LearnedReceived(kinds []learned.Kind) {
	if e.settings.ShareLearned {
		e.post(dispatch.LearnedReceived{Kinds: kinds})
	}
}

// CrashReceived hands a crash of which another entry knew to the event loop. It implements cluster.Listener.
func (e *Entry) CrashReceived(crash cluster.Crash) {
	e.post(dispatch.WorkerCrashed{Agent: dispatch.AgentID(crash.Agent), Crash: crash.Crash})
}
