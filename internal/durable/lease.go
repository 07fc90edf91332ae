// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import "time"

// An entry holds one lease of the store, to which all its claims are bound.
//
// Inputs: Limits.LeaseTime, the store's answers, and when each call was made, on this process's steady clock.
//
// Rule: the lease is renewed renewalsPerLease times in its length, and every storeRetryInterval while the store does not
// answer. The owner stops relying on it a safety margin before the store may let it expire: then it drops all shards,
// whatever else is going on, and so does a process that was frozen, before it does anything else.
//
// Reason: another entry may claim the shards once the store's lease has expired. An owner that still believed in its lease
// would start runs that the new owner starts too. Writes alone would be safe, they carry the fencing token.

const (
	// renewalsPerLease is the number of renewals in the length of a lease: with 6 s, one a second. Five may fail before the lease expires,
	// and the rate fits the store's.
	renewalsPerLease = 6
	// leaseSafetyDivisor gives the part of a lease that is not relied on, one in 20: more than the drift of two clocks of two percent each
	// (see timing.ClockDriftDivisor), the store's and this VM's.
	leaseSafetyDivisor = 20
)

// heldLease is the lease that the claims are bound to.
type heldLease struct {
	// id is 0 if no lease is held.
	id Lease
	// validUntil is when the lease may have expired.
	validUntil time.Time
	// lastSent is when the last call for the lease was made, and inFlight is set until it is answered.
	lastSent time.Time
	inFlight bool
	// unanswered is set if the store did not answer the last call.
	unanswered bool
}

// renewLease requests a lease or renews it if that is due. No new one is requested during shutdown.
func (c *Coordinator) renewLease(now time.Time) {
	isShuttingDown := !c.shutdownAt.IsZero()
	switch {
	case c.lease.inFlight:
		return
	case now.Sub(c.lease.lastSent) < c.renewInterval():
		return
	case isShuttingDown && c.lease.id == 0:
		return
	}
	c.lease.inFlight, c.lease.lastSent = true, now
	c.emit(CallLease{Lease: c.lease.id, Time: c.limits.LeaseTime})
}

func (c *Coordinator) renewInterval() time.Duration {
	if c.lease.unanswered || c.lease.id == 0 {
		return storeRetryInterval
	}
	return c.limits.LeaseTime / renewalsPerLease
}

func (c *Coordinator) leaseAnswered(e LeaseAnswered) {
	c.lease.inFlight = false
	if e.Lease != c.lease.id {
		c.endDroppedLease(e)
		return
	}
	switch result := e.Result.(type) {
	case LeaseGranted:
		c.lease.unanswered = false
		c.lease.id = result.Lease
		c.lease.validUntil = e.Sent.Add(result.Time - result.Time/leaseSafetyDivisor)
	case LeaseExpired:
		c.dropLease("the store says that the lease is over")
	case LeaseUnknown:
		c.lease.unanswered = true
	}
}

// endDroppedLease ends a lease that was dropped while a call for it was in flight: if the call renewed it, its claims would
// live on without an owner.
func (c *Coordinator) endDroppedLease(e LeaseAnswered) {
	if granted, ok := e.Result.(LeaseGranted); ok {
		c.emit(EndLease{Lease: granted.Lease})
	}
}

// expireLease drops the lease if it may have expired.
func (c *Coordinator) expireLease(now time.Time) {
	if c.lease.id != 0 && now.After(c.lease.validUntil) {
		c.dropLease("the lease may have run out")
	}
}

// dropLease ends the lease and drops all shards that were claimed under it.
func (c *Coordinator) dropLease(reason string) {
	c.emit(EndLease{Lease: c.lease.id})
	c.lease.id = 0
	for _, s := range c.shards {
		if s.state != unowned {
			c.loseShard(s, reason)
		}
	}
	c.commit = nil
}
