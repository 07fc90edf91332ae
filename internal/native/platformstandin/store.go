// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"sailhead/internal/native/keyvalue"
)

// store is the key-value service in memory. It is safe for concurrent use.
type store struct {
	mu       sync.Mutex
	revision uint64
	values   map[string]stored
	leases   map[keyvalue.LeaseID]lease
	// changed is closed, and replaced, at each change.
	changed chan struct{}
	now     func() time.Time
}

// stored is a value with the lease under which it was written, if any.
type stored struct {
	value keyvalue.Value
	lease keyvalue.LeaseID
}

// lease is a lease with its time to live.
type lease struct {
	ttl time.Duration
	// expires is when the lease ends unless it is extended.
	expires time.Time
}

// newStore returns an empty store that reads the time from the clock.
func newStore(now func() time.Time) *store {
	return &store{
		values:  make(map[string]stored),
		leases:  make(map[keyvalue.LeaseID]lease),
		changed: make(chan struct{}),
		now:     now,
	}
}

// Get returns the value of a key.
func (s *store) Get(key string) (keyvalue.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	v, ok := s.values[key]
	if !ok {
		return keyvalue.Value{}, keyvalue.ErrNotFound
	}
	return v.value, nil
}

// Await returns the value once it has a revision after the given one or the wait is over.
func (s *store) Await(key string, after uint64, wait time.Duration) (keyvalue.Value, error) {
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
func (s *store) Swap(key string, data []byte, revision uint64, id keyvalue.LeaseID) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
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
func (s *store) Grant(ttl time.Duration) keyvalue.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := keyvalue.LeaseID(uuid.NewString())
	s.leases[id] = lease{ttl: ttl, expires: s.now().Add(ttl)}
	return id
}

// KeepAlive extends a lease.
func (s *store) KeepAlive(id keyvalue.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		return keyvalue.ErrLeaseLapsed
	}
	l.expires = s.now().Add(l.ttl)
	s.leases[id] = l
	return nil
}

// Revoke ends a lease.
func (s *store) Revoke(id keyvalue.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		return keyvalue.ErrLeaseLapsed
	}
	s.endLease(id)
	return nil
}

// expire ends the leases whose time is over.
func (s *store) expire() {
	for id, l := range s.leases {
		if l.expires.Before(s.now()) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and the keys written under it.
func (s *store) endLease(id keyvalue.LeaseID) {
	delete(s.leases, id)
	for key, v := range s.values {
		if v.lease == id {
			delete(s.values, key)
		}
	}
	s.wake()
}

// wake ends the waits of Await, which look at the store again.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
