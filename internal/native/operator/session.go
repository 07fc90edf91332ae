// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package operator

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"sailhead/internal/native/configuration"
	"sailhead/internal/native/gossip"
	"sailhead/internal/native/keyvalue"
	"sailhead/internal/native/membership"
	"sailhead/internal/native/ownership"
	"sailhead/internal/native/peer"
	"sailhead/internal/native/peer/peerpb"
)

// Session executes an operator's lines. It is safe for concurrent use.
type Session struct {
	author        string
	seeds         []string
	peers         *peer.Client
	configuration keyvalue.Document[configuration.Configuration]
	roster        keyvalue.Document[ownership.Roster]
}

// Options are the settings of a session.
type Options struct {
	// Author is the operator's name in the history.
	Author string
	// Region is the region whose roster the session reads.
	Region          string
	PlatformAddress string
	// PlatformTimeout bounds each call to the platform.
	PlatformTimeout time.Duration
	// Seeds are the addresses of processes that are asked while the platform does not answer.
	Seeds []string
}

// NewSession returns a session and a function that closes its connections.
func NewSession(options Options) (session *Session, cleanup func()) {
	store, closeStore := keyvalue.NewClient(options.PlatformAddress, options.PlatformTimeout)
	peers, closePeers := peer.NewClient()
	s := &Session{
		author:        options.Author,
		seeds:         options.Seeds,
		peers:         peers,
		configuration: keyvalue.NewDocument[configuration.Configuration](store, membership.KeyConfiguration),
		roster:        keyvalue.NewDocument[ownership.Roster](store, membership.KeyRoster(options.Region)),
	}
	return s, func() {
		closePeers()
		closeStore()
	}
}

// Execute executes one line. It returns a *SyntaxError for a line that it cannot read.
func (s *Session) Execute(ctx context.Context, text string) (Result, error) {
	parsed, err := parse(text)
	if err != nil {
		return nil, err
	}
	change, err := parsed.change()
	if err != nil {
		return nil, at(text, err)
	}
	if change != nil {
		return s.commit(ctx, change, text)
	}
	if parsed.Help {
		return Text{Text: Help}, nil
	}
	result, err := s.query(ctx, parsed.Show)
	return result, at(text, err)
}

// at returns a syntax error with the line that it points into, and any other error as it is.
func at(text string, err error) error {
	var syntax *SyntaxError
	if errors.As(err, &syntax) {
		return &SyntaxError{Line: text, Column: syntax.Column, Reason: syntax.Reason}
	}
	return err
}

// commit writes a change and returns once the platform has stored it. The record's id tells it whether a write whose
// answer was lost has taken effect.
func (s *Session) commit(ctx context.Context, change configuration.Change, text string) (Result, error) {
	entry := configuration.Record{ID: uuid.NewString(), Author: s.author, Time: time.Now().UTC(), Line: text}
	written, revision, err := s.configuration.Update(ctx, func(c configuration.Configuration) (configuration.Configuration, error) {
		if _, done := c.RecordByID(entry.ID); done {
			return c, keyvalue.ErrUnchanged
		}
		return c.With(change, entry)
	})
	if errors.Is(err, keyvalue.ErrUncertain) {
		return nil, errors.Wrapf(err, "operator: unable to tell whether change %s was committed; see show history", entry.ID)
	}
	if err != nil {
		return nil, errors.Wrap(err, "operator: nothing was changed")
	}
	committed, _ := written.RecordByID(entry.ID)
	return Committed{Version: committed.Version, Revision: revision, Change: entry.ID}, nil
}

// currentRoster returns the roster from the platform, or from a seed if the platform does not answer.
func (s *Session) currentRoster(ctx context.Context) (ownership.Roster, error) {
	roster, _, err := s.roster.Get(ctx)
	if err == nil {
		return roster, nil
	}
	err = s.askSeeds(ctx, err, func(response *peerpb.ExchangeResponse) error {
		return gossip.Decompress(response.GetRoster(), &roster)
	})
	return roster, err
}

// currentConfiguration returns the configuration from the platform, or from a seed if the platform does not answer.
func (s *Session) currentConfiguration(ctx context.Context) (configuration.Configuration, error) {
	c, _, err := s.configuration.Get(ctx)
	if err == nil {
		return c, nil
	}
	err = s.askSeeds(ctx, err, func(response *peerpb.ExchangeResponse) error {
		return gossip.Decompress(response.GetConfiguration(), &c)
	})
	return c, err
}

// askSeeds reads from the first seed that answers. If none does, it returns the failure joined with the seeds' errors.
func (s *Session) askSeeds(ctx context.Context, failure error, read func(*peerpb.ExchangeResponse) error) error {
	for _, seed := range s.seeds {
		response, err := s.peers.Exchange(ctx, seed, &peerpb.ExchangeRequest{ConfigurationVersion: gossip.WholeDocument})
		if err == nil {
			err = read(response)
		}
		if err == nil {
			return nil
		}
		failure = errors.Join(failure, err)
	}
	return failure
}
