// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/worker"
)

// Heartbeats of another incarnation
//
// Inputs: a heartbeat of an incarnation that is not the current one and is not known to have ended.
// Rule: a renewal without a lease asks the worker whether it is that incarnation. If it is, it replaces the current one; if another
// ID or another process of the ID answers, it has ended. Without an answer nothing changes, and the next heartbeat repeats the question.
// Reason: the heartbeat may have been delayed by a cut until after its incarnation crashed, and this process may be too young
// to have known that one. Taken for a new incarnation it would end the runs, the health and the draining state of the
// current one, and have its later heartbeats ignored. The question costs a worker's restart one call to the VM's own worker.

// handleUnknownIncarnation asks the worker whether it is the incarnation of a heartbeat.
func (r *Runner) handleUnknownIncarnation(record worker.Record) {
	r.candidate = &record
	r.emit(CallRenew{Incarnation: record.Incarnation(), Renew: worker.RenewRequest{Fence: r.fence}})
}

// handleCandidateAnswer applies the answer to the question of handleUnknownIncarnation.
func (r *Runner) handleCandidateAnswer(now time.Time, e RenewAnswered) {
	record := r.candidate
	if record == nil || record.Incarnation() != e.Incarnation {
		return
	}
	r.candidate = nil
	switch result := e.Result.(type) {
	case worker.Listing:
		r.resolveCandidate(now, *record, result)
	case worker.Fenced:
		r.handleFencedCandidate(now, *record, e.Fence)
	case worker.WrongIncarnation:
		r.rememberEnded(record.Incarnation())
	case worker.Unanswered, worker.NotReached, worker.Unhealthy, worker.Invalid:
		// Whether the incarnation is the current one is still not known.
	}
}

// resolveCandidate begins the candidate, unless the listing comes from another process of its ID: then the heartbeat was a late one.
func (r *Runner) resolveCandidate(now time.Time, record worker.Record, listing worker.Listing) {
	hasOtherStart := listing.StartedMillis != 0 && record.StartedMillis != 0 && listing.StartedMillis != record.StartedMillis
	if !hasOtherStart {
		r.beginIncarnation(now, record)
		return
	}
	r.rememberEnded(record.Incarnation())
	if r.worker != nil && r.worker.record.ID == record.ID {
		r.noteRestart(now, listing)
	}
}

// handleFencedCandidate begins a candidate that rejected the question for its token, as it bears the ID that was asked for. It does not
// tell which process of the current ID it is; the next heartbeat asks again with a higher token.
func (r *Runner) handleFencedCandidate(now time.Time, record worker.Record, fence uint64) {
	if r.worker != nil && r.worker.record.ID == record.ID {
		r.raiseFence(fence, fenceStep)
		return
	}
	r.beginIncarnation(now, record)
}
