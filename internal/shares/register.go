// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package shares

import "time"

const (
	// maxEntries bounds a register. The names in its keys come from entries.
	maxEntries = 256
	// negligibleUse is the usual use, in cores, below which an entry may be removed.
	negligibleUse = 1e-4
)

// user is an entry of a register: something that uses a worker.
type user interface {
	// update brings the sums of work up to a time.
	update(now time.Time)
	// usualWork returns the work that it was given, a sum that decays with usualTime.
	usualWork() Work
}

// register holds a bounded number of users of a worker. Use newRegister.
type register[K comparable, U user] struct {
	entries map[K]U
	// began is when the first entry was added.
	began time.Time
}

func newRegister[K comparable, U user]() register[K, U] {
	return register[K, U]{entries: make(map[K]U)}
}

// get returns the entry of a key. It adds a new one if there is none, unless there are too many: what a caller then notes in it is lost.
func (r *register[K, U]) get(now time.Time, key K, newUser func() U) U {
	if known, ok := r.entries[key]; ok {
		return known
	}
	if len(r.entries) >= maxEntries {
		r.removeUnused(now)
	}
	if len(r.entries) == 0 {
		r.began = now
	}
	added := newUser()
	if len(r.entries) < maxEntries {
		r.entries[key] = added
	}
	return added
}

// removeUnused removes the entries of users that have used next to nothing for long.
func (r *register[K, U]) removeUnused(now time.Time) {
	for key, each := range r.entries {
		each.update(now)
		if r.usualUse(now, each) < negligibleUse {
			delete(r.entries, key)
		}
	}
}

// usualUse returns the mean use of a user in cores. Its sum has to be up to date.
func (r *register[K, U]) usualUse(now time.Time, each U) float64 {
	age := max(now.Sub(r.began), recentTime)
	return float64(each.usualWork()) / (usualTime.Seconds() * float64(1-decay(age, usualTime)))
}
