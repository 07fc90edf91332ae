// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"time"

	"sailhead/internal/native/membership"
	"sailhead/internal/native/ownership"
)

// probeWhileUnresponsive probes a process that has not been heard for membership.ResponseTimeout, until the returned function is
// called. It is for the time in which the process owes an answer. After a failed probe it calls onFailure.
func (n *node) probeWhileUnresponsive(ctx context.Context, member ownership.Member, onFailure func()) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var check func()
	check = func() {
		if ctx.Err() != nil {
			return
		}
		if n.liveness.BeginProbe(member.ID) {
			n.probe(ctx, member, onFailure)
		}
		time.AfterFunc(membership.ResponseTimeout, check)
	}
	timer := time.AfterFunc(membership.ResponseTimeout, check)
	return func() {
		timer.Stop()
		cancel()
	}
}

// probe exchanges gossip with a process to check that it answers.
func (n *node) probe(ctx context.Context, member ownership.Member, onFailure func()) {
	probeCtx, cancel := context.WithTimeout(n.context, membership.ResponseTimeout)
	defer cancel()
	err := n.ping(probeCtx, member.Address)
	n.liveness.EndProbe(member.ID, err == nil)
	if err != nil && ctx.Err() == nil {
		onFailure()
	}
}
