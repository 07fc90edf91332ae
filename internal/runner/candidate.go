// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/worker"
)

// Heartbeats of another incarnation
//
// Inputs: a heartbeat from an incarnation that is neither the current one nor known to have ended.
// Rule: a renewal without a lease asks the worker whether it is that incarnation. If so, it replaces the current one;
// if another ID or another process with the same ID answers, the candidate has ended. Without an answer nothing
// changes, and the next heartbeat triggers the question again.
// Reason: a network partition may have delayed the heartbeat until after its incarnation crashed, and this process may
// have started too late to know of that incarnation. Accepting the heartbeat as a new incarnation would end the runs of
// the current one, discard its health and draining state, and cause its later heartbeats to be ignored. The check costs
// one call to the worker on the same VM for each restart of the worker.

// handleUnknownIncarnation asks the worker whether it is the incarnation that sent a heartbeat.
func (r *Runner) handleUnknownIncarnation(record worker.Record) {
	r.candidate = &record
	r.emit(CallRenew{Incarnation: record.Incarnation(), Renew: worker.RenewRequest{Fence: r.fence}})
}

// handleCandidateAnswer applies the answer to the call made by handleUnknownIncarnation.
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
	case worker.NoResponse, worker.Unreachable, worker.Unhealthy, worker.Invalid:
		// It is still unknown whether the incarnation is the current one.
	}
}

// resolveCandidate makes the candidate the current incarnation, unless the listing comes from another process with the
// same ID: then the heartbeat was a delayed one.
func (r *Runner) resolveCandidate(now time.Time, record worker.Record, listing worker.Listing) {
	isOtherProcess := listing.StartedMillis != 0 && record.StartedMillis != 0 && listing.StartedMillis != record.StartedMillis
	if !isOtherProcess {
		r.beginIncarnation(now, record)
		return
	}
	r.rememberEnded(record.Incarnation())
	if r.worker != nil && r.worker.record.ID == record.ID {
		r.detectRestart(now, listing)
	}
}

// handleFencedCandidate handles a candidate that rejected the call for its fencing token. The candidate has the ID that
// was asked for, so it becomes the current incarnation if the current one has another ID. If the IDs are equal, the
// rejection does not show which process answered; the next heartbeat asks again with a higher token.
func (r *Runner) handleFencedCandidate(now time.Time, record worker.Record, fence uint64) {
	if r.worker != nil && r.worker.record.ID == record.ID {
		r.raiseFence(fence, fenceStep)
		return
	}
	r.beginIncarnation(now, record)
}
