// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"testing"
	"time"
)

// TestCommitsFitIntoATransaction releases all shards while each has batches to remove. A transaction of the store has at most
// 32 entries: for each part the comparisons of the claim and of the batch's key, the put of the batch, the removed batches and,
// at a release, the removal of the claim. It guards against a bound that leaves out the removal of claims.
func TestCommitsFitIntoATransaction(t *testing.T) {
	c, _ := newOwner("00000000000000aa")
	for _, s := range c.shards {
		s.state, s.token = owned, 20
		s.removable = []Sequence{1, 2, 3}
	}
	now := testStart.Add(time.Second)
	c.Handle(now, ShutdownRequested{Until: now})
	released := 0
	for range 100 {
		now = now.Add(time.Second / 100)
		commit, ok := find[Commit](c.Handle(now, Ticked{}))
		if !ok {
			continue
		}
		entries := 0
		for _, part := range commit.Parts {
			entries += 3 + len(part.Remove)
			if part.ReleasesClaim {
				entries++
				released++
			}
		}
		if entries > 32 {
			t.Fatalf("a commit of %d parts has %d entries", len(commit.Parts), entries)
		}
		c.Handle(now, Committed{Number: commit.Number, Result: CommitWritten{}})
	}
	if released != Shards {
		t.Fatalf("%d of %d shards were released", released, Shards)
	}
}
