// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import "time"

// heldLease is the lease that the claims live by.
type heldLease struct {
	id Lease
	// validUntil is when the lease may have run out.
	validUntil time.Time
	// asked is when it was last asked for or renewed; waiting is set until that is answered.
	lastSent   time.Time
	inFlight   bool
	unanswered bool
}

// renewLease asks for a lease, or renews it in time.
func (c *Coordinator) renewLease(now time.Time) {
	pause := c.limits.LeaseTime / renewals
	if c.lease.unanswered || c.lease.id == 0 {
		pause = retryPause
	}
	if c.lease.inFlight || now.Sub(c.lease.lastSent) < pause || !c.shutdownAt.IsZero() && c.lease.id == 0 {
		return
	}
	c.lease.inFlight, c.lease.lastSent = true, now
	c.emit(CallLease{Lease: c.lease.id, Time: c.limits.LeaseTime})
}

func (c *Coordinator) leaseAnswered(e LeaseAnswered) {
	c.lease.inFlight = false
	result, isGranted := e.Result.(LeaseGranted)
	if e.Lease != c.lease.id {
		// The lease was given up meanwhile. Its claims would live on with it, and nobody would own the shards.
		if isGranted {
			c.emit(EndLease{Lease: result.Lease})
		}
		return
	}
	switch result := e.Result.(type) {
	case LeaseGranted:
		c.lease.unanswered = false
		c.lease.id = result.Lease
		c.lease.validUntil = e.Sent.Add(result.Time - result.Time/driftDivisor)
	case LeaseOver:
		c.loseLease("the store says that the lease is over")
	case LeaseUnknown:
		c.lease.unanswered = true
	}
}

// expireLease gives everything up once the lease may have run out, also right after a pause of the process.
func (c *Coordinator) expireLease(now time.Time) {
	if c.lease.id != 0 && now.After(c.lease.validUntil) {
		c.loseLease("the lease may have run out")
	}
}

func (c *Coordinator) loseLease(reason string) {
	c.emit(EndLease{Lease: c.lease.id})
	c.lease.id = 0
	for _, s := range c.shards {
		if s.state != unowned {
			c.loseShard(s, reason)
		}
	}
	c.commit = nil
}
