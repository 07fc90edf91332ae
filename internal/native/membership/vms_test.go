// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package membership

import (
	"testing"
	"time"

	"sailhead/internal/native/keyvalue"
	"sailhead/internal/native/ownership"
)

func TestApplyListRemovesOnlyMembersThatWereSeen(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	const lag = 30 * time.Second
	r := ownership.Roster{}.WithJoined(ownership.Member{ID: "a#1", Address: "a", Role: ownership.RoleAgent}, start)
	listed := []keyvalue.VM{{Address: "a", State: keyvalue.VMLive}}
	step := func(what string, after time.Duration, vms []keyvalue.VM, isListed, isLeaving bool) {
		t.Helper()
		next, err := applyList(r, vms, start.Add(after), lag)
		if err != nil {
			t.Fatal(err)
		}
		m, _ := next.MemberByID("a#1")
		if m.IsListed() != isListed || m.Leaving != isLeaving {
			t.Errorf("%s: listed %t, leaving %t", what, m.IsListed(), m.Leaving)
		}
		r = next
	}
	step("never shown", time.Hour, nil, true, false)
	// The list may still show an earlier VM at the address.
	r = ownership.Roster{}.WithJoined(ownership.Member{ID: "a#1", Address: "a", Role: ownership.RoleAgent}, start)
	step("shown within the lag", time.Second, listed, true, false)
	step("not shown within the lag", 2*time.Second, nil, true, false)
	step("shown", lag, listed, true, false)
	step("leaving", lag+time.Second, []keyvalue.VM{{Address: "a", State: keyvalue.VMLeaving}}, true, true)
	step("live again after leaving", lag+2*time.Second, listed, true, true)
	step("shown before and no longer", lag+3*time.Second, nil, false, true)
}
