// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cluster

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"sailhead/internal/worker"
)

// TestStoredMembersStayReadable decodes records that an earlier version of Member.Encode wrote, and encodes them to the same bytes. It guards the
// format of the platform's store against incompatible changes.
func TestStoredMembersStayReadable(t *testing.T) {
	for file, want := range map[string]Member{
		"member-entry.json": {
			Name: "entry-1", Role: RoleEntry, Zone: "zone-a", Address: "10.0.0.1:7601", Incarnation: 1796220000123456789,
		},
		"member-agent.json": {
			Name: "agent-1", Role: RoleAgent, Zone: "zone-b", Address: "10.0.0.2:7601", Incarnation: 1796220000987654321,
			Worker: &worker.Record{
				ID: "i-7", Service: "svc", Zone: "zone-b", Capacity: worker.Resources{CPU: 4000, Memory: 8192, GPU: 2},
				Labels: []string{"ssd", "rack-3"}, Draining: true, Sequence: 42, Clock: 25*time.Hour + time.Minute + time.Second,
			},
		},
	} {
		t.Run(file, func(t *testing.T) {
			stored, err := os.ReadFile(filepath.Join("testdata", file))
			if err != nil {
				t.Fatal(err)
			}
			got, err := ParseMember(stored)
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("ParseMember returned %+v, %v; want %+v", got, err, want)
			}
			if encoded := want.Encode(); !bytes.Equal(encoded, stored) {
				t.Errorf("Encode returned %s; want %s", encoded, stored)
			}
		})
	}
}
