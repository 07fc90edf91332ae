// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import "time"

// heldLease is the lease that the claims live by.
type heldLease struct {
	id Lease
	// valid is when the lease may have run out.
	valid time.Time
	// asked is when it was last asked for or renewed; waiting is set until that is answered.
	asked   time.Time
	waiting bool
	unknown bool
}

// renewLease asks for a lease, or renews it in time.
func (k *Keeper) renewLease(now time.Time) {
	pause := k.limits.LeaseTime / renewals
	if k.lease.unknown || k.lease.id == 0 {
		pause = retryPause
	}
	if k.lease.waiting || now.Sub(k.lease.asked) < pause || !k.leaving.IsZero() && k.lease.id == 0 {
		return
	}
	k.lease.waiting, k.lease.asked = true, now
	k.emit(CallLease{Lease: k.lease.id, Time: k.limits.LeaseTime})
}

func (k *Keeper) leaseAnswered(e LeaseAnswered) {
	k.lease.waiting = false
	result, isGranted := e.Result.(LeaseGranted)
	if e.Lease != k.lease.id {
		// The lease was given up meanwhile. Its claims would live on with it, and nobody would own the shards.
		if isGranted {
			k.emit(EndLease{Lease: result.Lease})
		}
		return
	}
	switch result := e.Result.(type) {
	case LeaseGranted:
		k.lease.unknown = false
		k.lease.id = result.Lease
		k.lease.valid = e.Asked.Add(result.Time - result.Time/driftDivisor)
	case LeaseOver:
		k.loseLease("the store says that the lease is over")
	case LeaseUnknown:
		k.lease.unknown = true
	}
}

// expireLease gives everything up once the lease may have run out, also right after a pause of the process.
func (k *Keeper) expireLease(now time.Time) {
	if k.lease.id != 0 && now.After(k.lease.valid) {
		k.loseLease("the lease may have run out")
	}
}

func (k *Keeper) loseLease(reason string) {
	k.emit(EndLease{Lease: k.lease.id})
	k.lease.id = 0
	for _, s := range k.shards {
		if s.state != unowned {
			k.lose(s, reason)
		}
	}
	k.commit = nil
}
