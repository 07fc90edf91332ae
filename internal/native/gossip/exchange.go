// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"sailhead/internal/metric"
	"sailhead/internal/native/model"
	"sailhead/internal/native/ownership"
	"sailhead/internal/native/peer"
	"sailhead/internal/native/peer/peerpb"
)

const (
	// maxLoads is the largest number of loads in a message, besides the sender's own.
	maxLoads = 3
	// exchangeTimeout is the longest time of an exchange with one peer, both messages included.
	exchangeTimeout = 800 * time.Millisecond
)

// Exchanger exchanges versions and newer documents with other processes. It is safe for concurrent use; Heard and
// OwnLoad must be set before.
type Exchanger struct {
	state   *State
	client  *peer.Client
	self    ownership.MemberID
	address string
	seeds   []string
	metrics *metric.Set
	logger  log.Logger
	// Heard is called with the sender of each exchange that this process serves.
	Heard func(ownership.MemberID)
	// OwnLoad returns the load of this process's worker, if it has one.
	OwnLoad func() (model.Load, bool)
}

// NewExchanger returns an exchanger for a process at an address. The seeds are the addresses to begin with.
func NewExchanger(state *State, client *peer.Client, self ownership.MemberID, address string, seeds []string, metrics *metric.Set, logger log.Logger) *Exchanger {
	return &Exchanger{
		state: state, client: client, self: self, address: address, seeds: seeds, metrics: metrics, logger: logger,
		Heard:   func(ownership.MemberID) {},
		OwnLoad: func() (model.Load, bool) { return model.Load{}, false },
	}
}

// Run exchanges with fanout peers at each interval until the context ends. An exchange that fails is logged at debug
// level and not repeated, as the next one has another peer.
func (e *Exchanger) Run(ctx context.Context, interval time.Duration, fanout int) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		for _, address := range e.pick(fanout) {
			if err := e.ExchangeWith(ctx, address); err != nil {
				_ = level.Debug(e.logger).Log("msg", "exchange failed", "peer", address, "err", err)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pick returns the addresses of random listed processes, or of random seeds while the roster lists no other process.
func (e *Exchanger) pick(fanout int) []string {
	var peers []string
	for _, m := range e.state.Roster().Members {
		if m.IsListed() && m.Address != e.address {
			peers = append(peers, m.Address)
		}
	}
	if len(peers) == 0 {
		for _, seed := range e.seeds {
			if seed != e.address {
				peers = append(peers, seed)
			}
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(fanout, len(peers))]
}

// ExchangeWith exchanges with one peer. After it both have the newer version of each document. The first message has
// only versions; the peer returns what is newer there, and a second message sends what is newer here.
func (e *Exchanger) ExchangeWith(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	request := &peerpb.ExchangeRequest{
		From:                 string(e.self),
		RosterRevision:       e.state.Roster().Revision,
		ConfigurationVersion: e.state.Configuration().Version,
		Loads:                e.loads(),
	}
	response, err := e.exchange(ctx, address, request)
	if err != nil {
		return err
	}
	if !e.isBehind(response) {
		return nil
	}
	return e.push(ctx, address, response)
}

// exchange sends one message and applies the response.
func (e *Exchanger) exchange(ctx context.Context, address string, request *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	e.metrics.Add(metric.MessagesGossip, 1)
	response, err := e.client.Exchange(ctx, address, request)
	if err != nil {
		return nil, err
	}
	received := delta{roster: response.GetRoster(), configuration: response.GetConfiguration(), changes: response.GetChanges()}
	return response, e.apply(received, response.GetLoads())
}

// isBehind reports whether a document of the peer is older than that of this process.
func (e *Exchanger) isBehind(response *peerpb.ExchangeResponse) bool {
	return response.GetRosterRevision() < e.state.Roster().Revision ||
		response.GetConfigurationVersion() < e.state.Configuration().Version
}

// push sends the peer the documents that are newer here.
func (e *Exchanger) push(ctx context.Context, address string, response *peerpb.ExchangeResponse) error {
	own, err := e.deltaSince(response.GetRosterRevision(), response.GetConfigurationVersion())
	if err != nil {
		return err
	}
	_, err = e.exchange(ctx, address, &peerpb.ExchangeRequest{
		From:                 string(e.self),
		RosterRevision:       e.state.Roster().Revision,
		Roster:               own.roster,
		ConfigurationVersion: e.state.Configuration().Version,
		Configuration:        own.configuration,
		Changes:              own.changes,
	})
	return err
}

// loads returns the load of the own worker and a sample of the others. On the wire the field Worker has the agent's id.
func (e *Exchanger) loads() []*peerpb.Load {
	var messages []*peerpb.Load
	add := func(id ownership.MemberID, load model.Load) {
		m := peer.LoadToWire(load)
		m.Worker = string(id)
		messages = append(messages, m)
	}
	for id, load := range e.state.sampleLoads(maxLoads) {
		if id != e.self {
			add(id, load)
		}
	}
	if load, ok := e.OwnLoad(); ok {
		add(e.self, load)
	}
	return messages
}

// Exchange serves the exchange of a peer: it applies what the message has and returns what is newer here.
func (e *Exchanger) Exchange(_ context.Context, request *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	e.Heard(ownership.MemberID(request.GetFrom()))
	received := delta{roster: request.GetRoster(), configuration: request.GetConfiguration(), changes: request.GetChanges()}
	if err := e.apply(received, request.GetLoads()); err != nil {
		return nil, err
	}
	own, err := e.deltaSince(request.GetRosterRevision(), request.GetConfigurationVersion())
	if err != nil {
		return nil, err
	}
	return &peerpb.ExchangeResponse{
		RosterRevision:       e.state.Roster().Revision,
		Roster:               own.roster,
		ConfigurationVersion: e.state.Configuration().Version,
		Configuration:        own.configuration,
		Changes:              own.changes,
		Loads:                e.loads(),
	}, nil
}
