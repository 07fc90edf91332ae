// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
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
	// headerTimeout limits the time to read a peer's request header, idleTimeout that of an idle connection.
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
)

// servePeers serves requests of other entries and of agents: exchanges, announcements, requests to owners of shards and
// job hand-overs. The returned function closes the listener and all connections; call it after the entry has stopped.
func servePeers(listener net.Listener, exchanger *cluster.Exchanger, local *Entry) func() {
	mux := http.NewServeMux()
	mux.Handle(durable.PathPrefix, durable.NewServer(local))
	handOvers, closeHandOvers := handover.NewServer(local, local.limitedLogger)
	mux.Handle(handover.Path, handOvers)
	mux.Handle("/", exchanger.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	// Serve returns only once the listener is closed, which the returned function does.
	go func() { _ = server.Serve(listener) }()
	return func() {
		_ = server.Close()
		closeHandOvers()
	}
}

// KnowsEntries reports whether at least the given number of entries is known, including this one.
func (e *Entry) KnowsEntries(entries int) bool {
	return len(e.directory.Members(cluster.RoleEntry)) >= entries
}

// SetSeeds replaces Settings.Seeds.
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

// register writes this entry's record to the store, retrying until it succeeds. Only the first failure and the recovery
// are logged.
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

// firstExchangeDelay is the mean delay before the first exchange. It is short because a starting entry has learned nothing
// yet about the jobs it receives. The delay doubles with each failed exchange up to timing.ExchangeInterval, which is also
// the mean delay after a successful one.
const firstExchangeDelay = 50 * time.Millisecond

// exchange periodically exchanges the directory with a random entry, so that members and configuration propagate while
// the store does not answer.
func (e *Entry) exchange() {
	interval := firstExchangeDelay
	for e.pause(interval/2 + rand.N(interval)) {
		if address, ok := e.randomPeer(); ok {
			interval = nextExchangeDelay(interval, e.exchangeWith(e.context, address))
		}
	}
}

// nextExchangeDelay returns the mean delay after an exchange.
func nextExchangeDelay(before time.Duration, hasSucceeded bool) time.Duration {
	if hasSucceeded {
		return timing.ExchangeInterval
	}
	return min(2*before, timing.ExchangeInterval)
}

// exchangeWith exchanges the directory with the entry at an address and reports whether that succeeded.
func (e *Entry) exchangeWith(ctx context.Context, address string) bool {
	before, _ := e.directory.Configuration()
	err := e.exchanger.ExchangeWith(ctx, address)
	e.dependencies.observe("entry "+address, err)
	if after, _ := e.directory.Configuration(); after > before {
		_ = level.Info(e.logger).Log("msg", "configuration", "version", after, "from", address)
	}
	return err == nil
}

// randomPeer returns the address of a random other entry or seed; ok is false if none is known.
func (e *Entry) randomPeer() (address string, ok bool) {
	addresses := append(e.peerAddresses(), *e.seeds.Load()...)
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return address == e.self.Address })
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}

// peerAddresses returns the addresses of the other known entries.
func (e *Entry) peerAddresses() []string {
	var addresses []string
	for _, m := range e.directory.Members(cluster.RoleEntry) {
		if m.Address != e.self.Address {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

// pause waits for a duration. It returns false if the entry stops meanwhile.
func (e *Entry) pause(d time.Duration) bool {
	select {
	case <-e.context.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Accept validates a configuration from another entry and activates it if it is newer. It implements cluster.Listener.
func (e *Entry) Accept(document []byte) (version uint64, err error) {
	version, err = e.configurations.Accept(document)
	if err != nil {
		_ = e.limitedLogger.Log("msg", "unable to use the configuration of another entry", "err", err)
	}
	return version, err
}

// LearnedReceived passes what another entry has learned to the event loop. It implements cluster.Listener.
func (e *Entry) LearnedReceived(kinds []learned.Kind) {
	if e.settings.ShareLearned {
		e.post(dispatch.LearnedReceived{Kinds: kinds})
	}
}

// CrashReceived passes a worker crash reported by another entry to the event loop. It implements cluster.Listener.
func (e *Entry) CrashReceived(crash cluster.Crash) {
	e.post(dispatch.WorkerCrashed{Agent: dispatch.AgentID(crash.Agent), Crash: crash.Crash})
}

// UnendedRunReceived passes a run of another entry's failed job that may go on to the event loop. It implements cluster.Listener.
func (e *Entry) UnendedRunReceived(run cluster.UnendedRun) {
	e.post(dispatch.UnendedRunReceived{Task: run.Task, EndedBy: run.EndedBy})
}
