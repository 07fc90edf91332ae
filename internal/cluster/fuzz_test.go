// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cluster

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"sailhead/internal/cluster/clusterpb"
	"sailhead/internal/learned"
)

// FuzzView applies an arbitrary view, as another entry of a different version may send it, to a directory with one member. The member must be
// preserved, and all members and statistics must be valid afterwards.
func FuzzView(f *testing.F) {
	other := NewDirectory()
	other.AddMember(agentOf(3))
	other.SetConfiguration(7, []byte{7})
	other.MergeEvacuations(evacuated(3, 2, "a"))
	other.SetLearned([]learned.Kind{learnedKind("k")})
	for _, view := range []*clusterpb.View{other.viewFor(&clusterpb.View{}, true), {}, {Members: []*clusterpb.Member{{Name: "x", Incarnation: -1}}}} {
		data, err := proto.Marshal(view)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var view clusterpb.View
		if proto.Unmarshal(data, &view) != nil {
			return
		}
		d := NewDirectory()
		d.AddMember(Member{Name: "entry-1", Role: RoleEntry, Address: "127.0.0.1:2", Incarnation: 1})
		e, closeExchanger := NewExchanger(d, testListener{learned: func(kinds []learned.Kind) {
			for _, k := range kinds {
				if !k.IsValid() {
					t.Fatalf("%x: %+v is invalid", data, k)
				}
			}
		}})
		defer closeExchanger()
		e.apply(&view)
		if len(d.Members(RoleEntry)) == 0 {
			t.Fatalf("%x: the known member was removed", data)
		}
		for _, role := range []Role{RoleEntry, RoleAgent} {
			for _, m := range d.Members(role) {
				if err := m.check(); err != nil {
					t.Fatalf("%x: %s", data, err)
				}
			}
		}
	})
}
