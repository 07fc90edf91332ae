// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"time"

	"sailhead/internal/native/membership"
	"sailhead/internal/native/ownership"
)

// watch probes a process that owes an answer and is silent, until the returned function is called.
// After a failed probe it calls onSilent.
func (n *node) watch(ctx context.Context, member ownership.Member, onSilent func()) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var look func()
	look = func() {
		if ctx.Err() != nil {
			return
		}
		if n.liveness.BeginProbe(member.ID) {
			n.probe(ctx, member, onSilent)
		}
		time.AfterFunc(membership.ResponseTimeout, look)
	}
	timer := time.AfterFunc(membership.ResponseTimeout, look)
	return func() {
		timer.Stop()
		cancel()
	}
}

// probe exchanges gossip with a silent process.
func (n *node) probe(ctx context.Context, member ownership.Member, onSilent func()) {
	probeCtx, cancel := context.WithTimeout(n.context, membership.ResponseTimeout)
	defer cancel()
	err := n.ping(probeCtx, member.Address)
	n.liveness.EndProbe(member.ID, err == nil)
	if err != nil && ctx.Err() == nil {
		onSilent()
	}
}
