// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"testing"

	"sailhead/internal/cluster"
)

// With hand-over disabled, no connections to other entries must be opened.
func TestThereAreNoHandOverPeersUnlessHandOverIsEnabled(t *testing.T) {
	for handsOver, want := range map[bool]int{false: 0, true: 1} {
		e := &Entry{settings: Settings{HandOver: handsOver}, directory: cluster.NewDirectory(), self: cluster.Member{Name: "entry-1"}}
		for _, name := range []string{"entry-1", "entry-2"} {
			e.directory.AddMember(cluster.Member{Name: name, Role: cluster.RoleEntry, Address: "127.0.0.1:1", Incarnation: 1})
		}
		if got := len(e.handOverPeers()); got != want {
			t.Errorf("hand-over enabled: %t: %d entries, want %d", handsOver, got, want)
		}
	}
}
