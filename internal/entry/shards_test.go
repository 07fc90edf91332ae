// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"testing"
	"time"

	"sailhead/internal/durable"
	"sailhead/internal/timing"
)

// An entry may rule out durable jobs only as long as the store has recently answered that there are none.
func TestDurableJobsArePossibleWhileTheStoreDoesNotAnswer(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var v shardView
	if !v.mayHaveJobs(now) {
		t.Error("ruled out before the store was read")
	}
	if v.storeUpdated(now, false) || v.mayHaveJobs(now.Add(timing.StoreDataMaxAge)) {
		t.Error("possible although the store has just answered that there are none")
	}
	if !v.mayHaveJobs(now.Add(timing.StoreDataMaxAge + time.Millisecond)) {
		t.Error("ruled out although the store has not answered for longer than timing.StoreDataMaxAge")
	}
	if !v.storeUpdated(now, true) || v.storeUpdated(now, true) {
		t.Error("the first durable job is not reported exactly once")
	}
	if !v.mayHaveJobs(now) {
		t.Error("ruled out after the store has answered that there are some")
	}
}

func TestTheOtherOwnersAreKnownOnlyIfEveryShardHasOne(t *testing.T) {
	var v shardView
	var claims [durable.Shards]*durable.Claim
	for shard := range claims {
		claims[shard] = &durable.Claim{Owner: "entry-2", Address: "10.0.0.2:1"}
	}
	v.set(claims, []string{"10.0.0.2:1"})
	if addresses, ok := v.otherOwners(); !ok || len(addresses) != 1 {
		t.Errorf("got %v, %t", addresses, ok)
	}
	if claim, ok := v.ownerOf("00000000000000aa"); !ok || claim.Owner != "entry-2" {
		t.Errorf("got %v, %t", claim, ok)
	}
	claims[3] = nil
	v.set(claims, nil)
	if _, ok := v.otherOwners(); ok {
		t.Error("known although a shard has no owner")
	}
}
