// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import "time"

// Agents resend the ends of runs that an earlier process of theirs started, as these may belong to durable jobs. Where there is no durable job, no
// shard has an owner that could acknowledge them.
//
// Inputs: the ends that arrive while this entry knows of no durable job; the store's answer whether it has ever held one.
//
// Rule: such an end is acknowledged after a read of the store that began after the end arrived and found that there has never been a durable job.
// Reads are at least minEndsReadInterval apart. If the read fails or finds that there are durable jobs, the end is not acknowledged, and the agent
// resends it.
//
// Reason: what this entry has heard may be old. Other entries may have accepted the first durable job since, while the store did not serve this
// one. A run starts after its job was accepted, so the store knows of durable jobs before the run of one ends.

// endsBeforeJobs are ends that wait for a read of the store.
type endsBeforeJobs struct {
	// waiting are acknowledged after the next read, and reading after the one in flight.
	waiting, reading []AcknowledgeEnd
	inFlight         bool
	lastSent         time.Time
}

// readHasJobsIfDue reads whether there are durable jobs if ends wait for that.
func (c *Coordinator) readHasJobsIfDue(now time.Time) {
	ends := &c.endsBeforeJobs
	if len(ends.waiting) == 0 || ends.inFlight || now.Sub(ends.lastSent) < minEndsReadInterval {
		return
	}
	ends.inFlight, ends.lastSent = true, now
	ends.reading, ends.waiting = ends.waiting, nil
	c.emit(CallHasJobs{})
}

// hasJobsAnswered acknowledges the ends that waited for a read if there has never been a durable job, and starts the claiming of shards if there
// has been one.
func (c *Coordinator) hasJobsAnswered(now time.Time, e HasJobsAnswered) {
	ends := &c.endsBeforeJobs
	if !ends.inFlight {
		return
	}
	reading := ends.reading
	ends.inFlight, ends.reading = false, nil
	switch {
	case e.Err != nil:
		// The agents resend the ends.
	case e.HasJobs:
		c.activate(now)
	default:
		for _, acknowledgement := range reading {
			c.emit(acknowledgement)
		}
	}
}
