// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package handover

import (
	"context"
	"time"

	"sailhead/internal/clock"
	"sailhead/internal/dispatch"
	"sailhead/internal/timing"
)

// Confirmation
//
// Inputs: when a job arrives, and when the latest ping was sent that its sender has echoed.
// Rule: a job is submitted if that ping was sent less than timing.SessionCloseTimeout ago. Otherwise the receiver sends a ping, and submits the
// job when the sender has echoed it. A job that is withdrawn before is not submitted. A sender of an earlier version echoes nothing; its jobs are
// submitted at once.
// Reason: a message may be read long after it was sent: the connection may have delivered it late, and a sender that was suspended hands over
// what it finds in its own connections, while the caller has left and submitted the job again elsewhere. The sender withdraws such a job before
// it echoes the ping. A connection in use has recent echoes; only the first job after a pause waits for a round trip.

// unconfirmedJob is a job that is submitted once its sender has confirmed it.
type unconfirmedJob struct {
	number uint64
	job    dispatch.Job
	// ctx is cancelled if the job is withdrawn.
	ctx context.Context
}

// isConfirmed reports whether the sender has confirmed recently enough what it has sent.
func (r *inboundConn) isConfirmed(now time.Time) bool {
	return now.Sub(r.echoedAt) < timing.SessionCloseTimeout
}

// awaitConfirmation keeps a job until the sender has echoed a ping.
func (r *inboundConn) awaitConfirmation(now time.Time, j unconfirmedJob) {
	r.mu.Lock()
	r.unconfirmed = append(r.unconfirmed, j)
	isFirst := len(r.unconfirmed) == 1
	r.mu.Unlock()
	if isFirst {
		r.conn.Send(packPing(now))
	}
}

// echoed applies the echo of a ping: the right to run the connection's jobs counts from when the ping was sent, since the sender wanted them at
// that time or later. A time at which no ping can have been sent is ignored.
func (r *inboundConn) echoed(pingTime int64) {
	now, sent := clock.Now(), pingEpoch.Add(time.Duration(pingTime))
	if !sent.After(r.echoedAt) || sent.After(now) {
		return
	}
	r.echoedAt = sent
	r.alive.received(sent)
	if !r.isConfirmed(now) {
		return
	}
	for _, j := range r.takeUnconfirmed() {
		if j.ctx.Err() == nil {
			r.submit(j)
		}
	}
}

// refuseUnconfirmed refuses the jobs that have not been submitted, when the entry stops.
func (r *inboundConn) refuseUnconfirmed() {
	for _, j := range r.takeUnconfirmed() {
		if j.ctx.Err() == nil {
			r.end(j.number)
			r.refuse(j.number)
		}
	}
}

// takeUnconfirmed removes and returns the jobs that have not been submitted.
func (r *inboundConn) takeUnconfirmed() []unconfirmedJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	jobs := r.unconfirmed
	r.unconfirmed = nil
	return jobs
}
