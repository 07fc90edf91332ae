// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package gossip

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"sailhead/internal/native/configuration"
	"sailhead/internal/native/keyvalue"
	"sailhead/internal/native/ownership"
)

// The target size of one region, and of the configuration of all.
const (
	agentsOfRegion  = 560
	entriesOfRegion = 16
	teamsOfAll      = 770
	servicesOfAll   = 100
	kindsOfService  = 4
)

func targetRoster(t *testing.T) ownership.Roster {
	t.Helper()
	now := time.Unix(1_800_000_000, 0).UTC()
	var r ownership.Roster
	for i := range agentsOfRegion + entriesOfRegion {
		m := ownership.Member{Name: fmt.Sprintf("worker-%04d", i), Address: fmt.Sprintf("10.%d.%d.7:7600", i/250, i%250), Zone: fmt.Sprintf("region-3-zone-%d", i%3), Role: ownership.RoleAgent}
		if i < entriesOfRegion {
			m.Role = ownership.RoleEntry
		}
		m.ID = ownership.MemberID(fmt.Sprintf("%s#%016x", m.Address, uint64(i)*0x9e3779b97f4a7c15))
		r = r.WithJoined(m, now)
	}
	return r
}

func targetConfiguration(t *testing.T) configuration.Configuration {
	t.Helper()
	var c configuration.Configuration
	add := func(change configuration.Change) {
		next, err := c.With(change, configuration.Record{
			ID: "0190b5c8-7a2e-7000-8000-000000000000", Author: "operator", Time: time.Unix(1_800_000_000, 0).UTC(),
			Line: "set kind eligibility of refunds urgency 7 deadline 3s",
		})
		if err != nil {
			t.Fatal(err)
		}
		c = next
	}
	for i := range servicesOfAll {
		add(configuration.CreateService{Name: fmt.Sprintf("service-%03d", i)})
		for k := range kindsOfService {
			add(configuration.SetKind{Service: fmt.Sprintf("service-%03d", i), Name: fmt.Sprintf("kind-%d", k)})
		}
	}
	for i := range teamsOfAll {
		add(configuration.SetTeam{Name: fmt.Sprintf("team-%03d", i), Quota: i})
	}
	return c
}

// TestDocumentsFitAtTheTargetSize checks the documents against the largest value of the platform, and logs the sizes that
// gossip sends.
func TestDocumentsFitAtTheTargetSize(t *testing.T) {
	roster, config := targetRoster(t), targetConfiguration(t)
	changes, ok := config.Since(config.Version - 1)
	if !ok {
		t.Fatal("got no changes since the version before the last")
	}
	for _, document := range []struct {
		name  string
		value any
	}{{"roster of a region", roster}, {"configuration", config}, {"one change", changes}} {
		plain, err := json.Marshal(document.value)
		if err != nil {
			t.Fatal(err)
		}
		sent, err := Compress(document.value)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %d bytes, %d bytes sent", document.name, len(plain), len(sent))
		if len(plain) > keyvalue.MaxValue/2 {
			t.Errorf("%s: %d bytes are more than half of the largest value", document.name, len(plain))
		}
	}
}

func TestDeltaHasTheChangesOrTheWholeConfiguration(t *testing.T) {
	ahead := &Exchanger{state: NewState()}
	behind := &Exchanger{state: NewState()}
	config := targetConfiguration(t)
	ahead.state.SeeConfiguration(config)
	exchange := func() delta {
		n, err := ahead.deltaSince(behind.state.Roster().Revision, behind.state.Configuration().Version)
		if err != nil {
			t.Fatal(err)
		}
		if err := behind.apply(n, nil); err != nil {
			t.Fatal(err)
		}
		return n
	}
	if n := exchange(); len(n.configuration) == 0 || behind.state.Configuration().Version != config.Version {
		t.Errorf("a node without a configuration is at version %d", behind.state.Configuration().Version)
	}
	next, err := config.With(configuration.DropTeam{Name: "team-001"}, configuration.Record{})
	if err != nil {
		t.Fatal(err)
	}
	ahead.state.SeeConfiguration(next)
	if n := exchange(); len(n.configuration) > 0 || len(n.changes) == 0 || behind.state.Configuration().Version != next.Version {
		t.Errorf("a node one change behind is at version %d", behind.state.Configuration().Version)
	}
	if n := exchange(); len(n.configuration)+len(n.changes) > 0 {
		t.Error("got a configuration or changes at the same version")
	}
	// An older configuration never replaces a newer one.
	if behind.state.SeeConfiguration(config) || behind.state.Configuration().Version != next.Version {
		t.Error("an older configuration replaced a newer one")
	}
	if err := behind.apply(delta{configuration: []byte("x")}, nil); err == nil {
		t.Error("got no error for a broken document")
	}
}
