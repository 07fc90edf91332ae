// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"testing"

	"sailhead/internal/cluster"
)

// TestThereIsNobodyToHandOverToUnlessItIsSet counts the entries to which connections would be opened.
func TestThereIsNobodyToHandOverToUnlessItIsSet(t *testing.T) {
	for handsOver, want := range map[bool]int{false: 0, true: 1} {
		e := &Entry{settings: Settings{HandOver: handsOver}, directory: cluster.NewDirectory(), self: cluster.Member{Name: "entry-1"}}
		for _, name := range []string{"entry-1", "entry-2"} {
			e.directory.AddMember(cluster.Member{Name: name, Role: cluster.RoleEntry, Address: "127.0.0.1:1", Incarnation: 1})
		}
		if got := len(e.handOverPeers()); got != want {
			t.Errorf("set: %t: %d entries, want %d", handsOver, got, want)
		}
	}
}
