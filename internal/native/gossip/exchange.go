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

// sampledLoads is the largest number of loads in one message.
const maxLoads = 3

const exchangeTimeout = 800 * time.Millisecond

// Exchanger swaps what is new with random peers.
type Exchanger struct {
	state   *State
	client  *peer.Client
	self    ownership.MemberID
	address string
	seeds   []string
	metrics *metric.Set
	logger  log.Logger
	// Heard is told of each process that asks for an exchange.
	Heard func(ownership.MemberID)
	// OwnLoad returns the load of this process's worker, if it has one.
	OwnLoad func() (model.Load, bool)
}

// NewExchanger returns an exchanger for the process at the address.
func NewExchanger(state *State, client *peer.Client, self ownership.MemberID, address string, seeds []string, metrics *metric.Set, logger log.Logger) *Exchanger {
	return &Exchanger{
		state: state, client: client, self: self, address: address, seeds: seeds, metrics: metrics, logger: logger,
		Heard:   func(ownership.MemberID) {},
		OwnLoad: func() (model.Load, bool) { return model.Load{}, false },
	}
}

// Run exchanges with a few peers at each interval until the context ends.
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

// pick returns random peers; the seeds serve while the roster names no other process.
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

// ExchangeWith swaps with one peer; afterwards each knows the newer of both versions.
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

func (e *Exchanger) exchange(ctx context.Context, address string, request *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	e.metrics.Add(metric.MessagesGossip, 1)
	response, err := e.client.Exchange(ctx, address, request)
	if err != nil {
		return nil, err
	}
	received := news{roster: response.GetRoster(), configuration: response.GetConfiguration(), changes: response.GetChanges()}
	return response, e.see(received, response.GetLoads())
}

// isBehind reports whether the peer has less than this process.
func (e *Exchanger) isBehind(response *peerpb.ExchangeResponse) bool {
	return response.GetRosterRevision() < e.state.Roster().Revision ||
		response.GetConfigurationVersion() < e.state.Configuration().Version
}

// push sends the peer what it lacks.
func (e *Exchanger) push(ctx context.Context, address string, response *peerpb.ExchangeResponse) error {
	news, err := e.newsSince(response.GetRosterRevision(), response.GetConfigurationVersion())
	if err != nil {
		return err
	}
	_, err = e.exchange(ctx, address, &peerpb.ExchangeRequest{
		From:                 string(e.self),
		RosterRevision:       e.state.Roster().Revision,
		Roster:               news.roster,
		ConfigurationVersion: e.state.Configuration().Version,
		Configuration:        news.configuration,
		Changes:              news.changes,
	})
	return err
}

// loads returns this process's own load and a sample of the others; a load names its agent.
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

// Exchange serves a peer's exchange.
func (e *Exchanger) Exchange(_ context.Context, request *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	e.Heard(ownership.MemberID(request.GetFrom()))
	received := news{roster: request.GetRoster(), configuration: request.GetConfiguration(), changes: request.GetChanges()}
	if err := e.see(received, request.GetLoads()); err != nil {
		return nil, err
	}
	news, err := e.newsSince(request.GetRosterRevision(), request.GetConfigurationVersion())
	if err != nil {
		return nil, err
	}
	return &peerpb.ExchangeResponse{
		RosterRevision:       e.state.Roster().Revision,
		Roster:               news.roster,
		ConfigurationVersion: e.state.Configuration().Version,
		Configuration:        news.configuration,
		Changes:              news.changes,
		Loads:                e.loads(),
	}, nil
}
