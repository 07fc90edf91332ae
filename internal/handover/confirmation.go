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
// Rule: a job is submitted if that ping was sent less than maxEchoAge ago. Otherwise the receiver sends a ping, and submits the job when the
// sender has echoed a ping that was sent after the job's arrival and less than timing.SessionCloseTimeout ago. A job that is withdrawn before is
// not submitted. A sender of an earlier version echoes nothing; its jobs are submitted at once.
// Reason: a message may be read long after it was sent: the connection may have delivered it late, and a sender that was suspended hands over
// what it finds in its own connections, while the caller has left and submitted the job again elsewhere. The sender withdraws such a job before
// it echoes the ping. A connection in use has recent echoes; only the first job after a pause waits for a round trip.

// maxEchoAge is how long ago a ping may have been sent whose echo confirms the jobs that arrive. The watch sends the next ping within
// pingInterval, and its echo must arrive before the right to run the jobs ends.
const maxEchoAge = timing.SessionCloseTimeout / 2

// unconfirmedJob is a job that is submitted once its sender has confirmed it.
type unconfirmedJob struct {
	number uint64
	job    dispatch.Job
	// ctx is cancelled if the job is withdrawn.
	ctx context.Context
	// arrived is when the receiver began to wait for the confirmation.
	arrived time.Time
}

// isConfirmed reports whether the sender has confirmed recently enough what it has sent.
func (r *inboundConn) isConfirmed(now time.Time) bool {
	return now.Sub(r.echoedAt) < maxEchoAge
}

// awaitConfirmation keeps a job until the sender has echoed a ping.
func (r *inboundConn) awaitConfirmation(now time.Time, j unconfirmedJob) {
	j.arrived = now
	r.mu.Lock()
	isStopping := r.isStopping
	mustPing := false
	if !isStopping {
		r.unconfirmed = append(r.unconfirmed, j)
		mustPing = r.beginPing(now)
	}
	r.mu.Unlock()
	switch {
	case isStopping:
		r.end(j.number)
		r.refuse(j.number)
	case mustPing:
		r.conn.Send(packPing(now))
	}
}

// beginPing records that the caller sends a ping for the unconfirmed jobs. It returns false if none is needed, as one was sent less than
// pingInterval ago and its echo is awaited. The caller holds mu.
func (r *inboundConn) beginPing(now time.Time) bool {
	if !r.pingedAt.IsZero() && now.Sub(r.pingedAt) < pingInterval {
		return false
	}
	r.pingedAt = now
	return true
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
	confirmed, mustPing := r.takeConfirmed(now, sent)
	for _, j := range confirmed {
		r.submit(j)
	}
	if mustPing {
		r.conn.Send(packPing(now))
	}
}

// takeConfirmed removes and returns the jobs that the echo of a ping confirms, and drops those that were withdrawn. mustPing is set if a ping is
// to be sent: for the jobs that are left, or because the echo was late.
func (r *inboundConn) takeConfirmed(now, sent time.Time) (confirmed []unconfirmedJob, mustPing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !sent.Before(r.pingedAt) {
		r.pingedAt = time.Time{}
	}
	var left []unconfirmedJob
	for _, j := range r.unconfirmed {
		switch {
		case j.ctx.Err() != nil:
		case sent.Before(j.arrived), now.Sub(sent) >= timing.SessionCloseTimeout:
			left = append(left, j)
		default:
			confirmed = append(confirmed, j)
		}
	}
	r.unconfirmed = left
	isLate := len(confirmed) > 0 && !r.isConfirmed(now)
	return confirmed, (len(left) > 0 || isLate) && r.beginPing(now)
}

// refuseUnconfirmed refuses the jobs that have not been submitted, when the entry stops.
func (r *inboundConn) refuseUnconfirmed() {
	r.mu.Lock()
	unconfirmed := r.unconfirmed
	r.unconfirmed = nil
	r.mu.Unlock()
	for _, j := range unconfirmed {
		if j.ctx.Err() == nil {
			r.end(j.number)
			r.refuse(j.number)
		}
	}
}
