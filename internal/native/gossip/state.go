// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package gossip

import (
	"sync"

	"sailhead/internal/native/configuration"
	"sailhead/internal/native/model"
	"sailhead/internal/native/ownership"
)

// Watchers are called with each newer version, in the order of the versions. They are called under the lock of the
// State, so they must return soon and must not call the State. A nil function is not called.
type Watchers struct {
	Roster        func(ownership.Roster)
	Configuration func(configuration.Configuration)
	Load          func(ownership.MemberID, model.Load)
}

// State has the newest version of each document that a process has seen. It is safe for concurrent use.
type State struct {
	mu            sync.Mutex
	roster        ownership.Roster
	configuration configuration.Configuration
	// loads has the newest load of each listed agent.
	loads    map[ownership.MemberID]model.Load
	watchers []Watchers
}

// NewState returns an empty state: a roster of revision 0, a configuration of version 0 and no loads.
func NewState() *State {
	return &State{loads: make(map[ownership.MemberID]model.Load)}
}

// Watch adds watchers. Versions that the state has already are not reported to them.
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

// SeeRoster replaces the roster by one of a higher revision, and reports whether it did. Loads of agents that are no
// longer listed are removed.
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

// SeeConfiguration replaces the configuration by one of a higher version, and reports whether it did.
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

// SeeLoad replaces the load of a listed agent by one that was measured later.
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

// sampleLoads returns at most limit loads. The choice is that of the iteration of a map, which is random enough here.
func (s *State) sampleLoads(limit int) map[ownership.MemberID]model.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := make(map[ownership.MemberID]model.Load, limit)
	for id, load := range s.loads {
		if len(sample) == limit {
			break
		}
		sample[id] = load
	}
	return sample
}
