// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"testing"

	"sailhead/internal/cluster"
)

// An entry may reach a restarted agent before the agent's new record arrives. Closing that session when the record
// arrives would lose its tasks.
func TestASessionWithTheNewProcessIsKeptWhenItsRecordComes(t *testing.T) {
	earlier := cluster.Member{Name: "agent-1", Address: "10.0.0.1:1", Incarnation: 5}
	later := cluster.Member{Name: "agent-1", Address: "10.0.0.1:1", Incarnation: 6}
	moved := cluster.Member{Name: "agent-1", Address: "10.0.0.2:1", Incarnation: 6}
	for _, test := range []struct {
		name       string
		hasSession bool
		with       int64
		current    cluster.Member
		want       bool
	}{
		{"the same record", true, 5, earlier, false},
		{"a later record, session with the later process", true, 6, later, false},
		{"a later record, session with the earlier process", true, 5, later, true},
		{"a later record, the agent's incarnation is not known yet", true, 0, later, true},
		{"a later record, no session", false, 0, later, true},
		{"another address", true, 6, moved, true},
		{"the record is gone", true, 5, cluster.Member{}, true},
	} {
		e := &Entry{sessions: newSessionTable()}
		if test.hasSession {
			s := &agentSession{id: "agent-1"}
			s.incarnation.Store(test.with)
			e.sessions.add(s)
		}
		if got := e.isOutdated(earlier, test.current); got != test.want {
			t.Errorf("%s: %t", test.name, got)
		}
	}
}
