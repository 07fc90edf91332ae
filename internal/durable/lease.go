// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import "time"

// An entry holds one lease of the store, to which all its claims are bound.
//
// Inputs: Limits.LeaseTime, the store's answers, and when each call was made by this process's monotonic clock.
//
// Rule: the lease is renewed renewalsPerLease times per lease time, and every storeRetryInterval while the store does not
// answer. The owner treats it as expired a safety margin before the store may expire it, and then drops all shards
// unconditionally. A process that was frozen checks this before it does anything else.
//
// Reason: another entry may claim the shards once the lease has expired in the store. An owner that still relied on its lease
// would start runs that the new owner starts as well. The fencing token protects only the writes to the store.

const (
	// renewalsPerLease is the number of renewals per lease time: one a second for a lease of 6 s. Five may fail before the lease
	// expires, and the rate stays within that of the store.
	renewalsPerLease = 6
	// leaseSafetyDivisor gives the safety margin, 1/20 of the lease time: more than the clocks of the store and of this VM can
	// diverge, at two percent each (see timing.ClockDriftDivisor).
	leaseSafetyDivisor = 20
)

// heldLease is the lease that the claims are bound to.
type heldLease struct {
	// id is 0 if no lease is held.
	id Lease
	// validUntil is the earliest time at which the lease may have expired, less the safety margin.
	validUntil time.Time
	// lastSent is when the last call to request or renew the lease was made, and inFlight is set until it is answered.
	lastSent time.Time
	inFlight bool
	// unanswered is set if the store did not answer the last call.
	unanswered bool
}

// renewLease requests or renews the lease if that is due. During shutdown no new lease is requested.
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
	c.emit(CallLease{Lease: c.lease.id, Time: c.limits.LeaseTTL})
}

func (c *Coordinator) renewInterval() time.Duration {
	if c.lease.unanswered || c.lease.id == 0 {
		return storeRetryInterval
	}
	return c.limits.LeaseTTL / renewalsPerLease
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
		c.dropLease("the lease has expired in the store")
	case LeaseUnknown:
		c.lease.unanswered = true
	}
}

// endDroppedLease ends a lease that was dropped while a call for it was in flight. If that call renewed it, its claims would
// otherwise remain in the store without an owner.
func (c *Coordinator) endDroppedLease(e LeaseAnswered) {
	if granted, ok := e.Result.(LeaseGranted); ok {
		c.emit(EndLease{Lease: granted.Lease})
	}
}

// expireLease drops the lease if it may have expired.
func (c *Coordinator) expireLease(now time.Time) {
	if c.lease.id != 0 && now.After(c.lease.validUntil) {
		c.dropLease("the lease was not renewed in time and may have expired")
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
