// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package platformstandin takes the platform's place in tests, demos and trials.
//
// It keeps the key-value service and the list of VMs in memory and shows outages, slowness,
// lost replies and a lagging list on request.
package platformstandin

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"sailhead/internal/native/keyvalue"
)

// Store is the key-value service in memory.
type Store struct {
	mu       sync.Mutex
	revision uint64
	values   map[string]stored
	leases   map[keyvalue.LeaseID]lease
	changed  chan struct{}
	now      func() time.Time
}

type stored struct {
	value keyvalue.Value
	lease keyvalue.LeaseID
}

type lease struct {
	ttl    time.Duration
	lapses time.Time
}

// NewStore returns an empty store that reads the time from the clock.
func NewStore(now func() time.Time) *Store {
	return &Store{
		values:  make(map[string]stored),
		leases:  make(map[keyvalue.LeaseID]lease),
		changed: make(chan struct{}),
		now:     now,
	}
}

// Get returns the value of a key.
func (s *Store) Get(key string) (keyvalue.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	v, ok := s.values[key]
	if !ok {
		return keyvalue.Value{}, keyvalue.ErrNotFound
	}
	return v.value, nil
}

// Await returns the value once it has a revision after the given one or the wait is over.
func (s *Store) Await(key string, after uint64, wait time.Duration) (keyvalue.Value, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		value, err := s.Get(key)
		if value.Revision > after {
			return value, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return value, err
		}
	}
}

// Swap writes the value if the key has the revision.
func (s *Store) Swap(key string, data []byte, revision uint64, id keyvalue.LeaseID) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	if s.values[key].value.Revision != revision {
		return 0, keyvalue.ErrConflict
	}
	if _, ok := s.leases[id]; id != "" && !ok {
		return 0, keyvalue.ErrLeaseLapsed
	}
	s.revision++
	s.values[key] = stored{value: keyvalue.Value{Data: data, Revision: s.revision}, lease: id}
	s.wake()
	return s.revision, nil
}

// Grant returns a new lease.
func (s *Store) Grant(ttl time.Duration) keyvalue.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := keyvalue.LeaseID(uuid.NewString())
	s.leases[id] = lease{ttl: ttl, lapses: s.now().Add(ttl)}
	return id
}

// KeepAlive extends a lease.
func (s *Store) KeepAlive(id keyvalue.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	l, ok := s.leases[id]
	if !ok {
		return keyvalue.ErrLeaseLapsed
	}
	l.lapses = s.now().Add(l.ttl)
	s.leases[id] = l
	return nil
}

// Revoke ends a lease.
func (s *Store) Revoke(id keyvalue.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		return keyvalue.ErrLeaseLapsed
	}
	s.drop(id)
	return nil
}

// lapse drops the leases whose time is over.
func (s *Store) lapse() {
	for id, l := range s.leases {
		if l.lapses.Before(s.now()) {
			s.drop(id)
		}
	}
}

func (s *Store) drop(id keyvalue.LeaseID) {
	delete(s.leases, id)
	for key, v := range s.values {
		if v.lease == id {
			delete(s.values, key)
		}
	}
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
