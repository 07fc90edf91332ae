// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package gossip spreads the roster, the configuration and the workers' loads between processes.
//
// Of two versions the higher one stays, so nothing reverts, and it works while the platform is down.
package gossip

import (
	"sync"

	"sailhead/internal/native/configuration"
	"sailhead/internal/native/model"
	"sailhead/internal/native/ownership"
)

// Watchers hear of what is new; each is called in the order of the versions.
type Watchers struct {
	Roster        func(ownership.Roster)
	Configuration func(configuration.Configuration)
	Load          func(ownership.MemberID, model.Load)
}

// State is the newest that a process knows. It is safe for concurrent use.
type State struct {
	mu            sync.Mutex
	roster        ownership.Roster
	configuration configuration.Configuration
	loads         map[ownership.MemberID]model.Load
	watchers      []Watchers
}

// NewState returns a state without knowledge.
func NewState() *State {
	return &State{loads: make(map[ownership.MemberID]model.Load)}
}

// Watch adds watchers, before anything is seen.
func (s *State) Watch(watchers Watchers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, watchers)
}

// Roster returns the newest roster.
func (s *State) Roster() ownership.Roster {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster
}

// Configuration returns the newest configuration.
func (s *State) Configuration() configuration.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configuration
}

// SeeRoster takes in a roster and reports whether it is newer.
func (s *State) SeeRoster(roster ownership.Roster) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if roster.Revision <= s.roster.Revision {
		return false
	}
	s.roster = roster
	for id := range s.loads {
		if m, ok := roster.MemberByID(id); !ok || !m.IsListed() {
			delete(s.loads, id)
		}
	}
	for _, w := range s.watchers {
		if w.Roster != nil {
			w.Roster(roster)
		}
	}
	return true
}

// SeeConfiguration takes in a configuration and reports whether it is newer.
func (s *State) SeeConfiguration(seen configuration.Configuration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seen.Version <= s.configuration.Version {
		return false
	}
	s.configuration = seen
	for _, w := range s.watchers {
		if w.Configuration != nil {
			w.Configuration(seen)
		}
	}
	return true
}

// SeeLoad takes in a load of a listed agent, if it is newer.
func (s *State) SeeLoad(id ownership.MemberID, load model.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.roster.MemberByID(id); !ok || !m.IsListed() || !load.IsNewer(s.loads[id]) {
		return
	}
	s.loads[id] = load
	for _, w := range s.watchers {
		if w.Load != nil {
			w.Load(id, load)
		}
	}
}

// sampleLoads returns at most so many loads, chosen at random.
func (s *State) sampleLoads(most int) map[ownership.MemberID]model.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := make(map[ownership.MemberID]model.Load, most)
	for id, load := range s.loads {
		if len(sample) == most {
			break
		}
		sample[id] = load
	}
	return sample
}
