// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package shares

import "time"

const (
	// maxUsers is the maximum size of a register. It is limited because the keys contain names that are received from entries.
	maxUsers = 256
	// negligibleUse is the usual usage, in cores, below which a user may be removed.
	negligibleUse = 1e-4
)

// user is a user of a worker.
type user interface {
	// update decays the sums of work up to now.
	update(now time.Time)
	// usualWork returns the sum of charged work, which decays with usualTime, as of the last update.
	usualWork() Work
}

// register holds a bounded number of users of a worker. The zero value is not usable; see newRegister.
type register[K comparable, U user] struct {
	users map[K]U
	// firstAdded is when a user was last added to the empty register.
	firstAdded time.Time
}

func newRegister[K comparable, U user]() register[K, U] {
	return register[K, U]{users: make(map[K]U)}
}

// get returns the user with the given key and adds a new one if necessary. If the register is full, the new user is not kept and whatever the
// caller records in it is lost.
func (r *register[K, U]) get(now time.Time, key K, newUser func() U) U {
	if known, ok := r.users[key]; ok {
		return known
	}
	if len(r.users) >= maxUsers {
		r.removeUnused(now)
	}
	if len(r.users) == 0 {
		r.firstAdded = now
	}
	added := newUser()
	if len(r.users) < maxUsers {
		r.users[key] = added
	}
	return added
}

// removeUnused removes users with negligible usual usage.
func (r *register[K, U]) removeUnused(now time.Time) {
	for key, each := range r.users {
		each.update(now)
		if r.usualUse(now, each) < negligibleUse {
			delete(r.users, key)
		}
	}
}

// usualUse returns the usual usage of a user in cores. The user must have been updated to now.
func (r *register[K, U]) usualUse(now time.Time, each U) float64 {
	age := max(now.Sub(r.firstAdded), recentTime)
	return float64(each.usualWork()) / (usualTime.Seconds() * float64(1-decay(age, usualTime)))
}
