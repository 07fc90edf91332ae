// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package operator

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sailhead/internal/native/configuration"
	"sailhead/internal/native/platformstandin"
)

// session returns a session on a new platform stand-in.
func session(t *testing.T) (*platformstandin.Server, func(author string) *Session) {
	t.Helper()
	server, address, stop, err := platformstandin.NewServer("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return server, func(author string) *Session {
		s, cleanup := NewSession(Options{Author: author, PlatformAddress: address, PlatformTimeout: time.Second})
		t.Cleanup(cleanup)
		return s
	}
}

// hide replaces what differs from run to run.
func hide(table Table) Table {
	for _, row := range table.Rows {
		for i, column := range table.Columns {
			if column == "time" || column == "change" {
				row[i] = "-"
			}
		}
	}
	return table
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		_, open := session(t)
		s := open("ada")
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			result, err := s.Execute(t.Context(), d.Input)
			if err != nil {
				return err.Error()
			}
			switch r := result.(type) {
			case Table:
				result = hide(r)
			case Committed:
				r.Change = "-"
				result = r
			}
			var out bytes.Buffer
			write := Write
			if d.HasArg("json") {
				write = WriteJSON
			}
			if err := write(&out, result); err != nil {
				return err.Error()
			}
			lines := strings.Split(out.String(), "\n")
			for i := range lines {
				lines[i] = strings.TrimRight(lines[i], " ")
			}
			return strings.Join(lines, "\n")
		})
	})
}

func TestChangesTakeEffectOnceThoughRepliesAreLost(t *testing.T) {
	server, open := session(t)
	s := open("ada")
	for i, line := range []string{"create service a", "set team t quota 5", "drain worker w", "resume worker w"} {
		server.SetFaults(platformstandin.Faults{LostReplies: 2})
		result, err := s.Execute(t.Context(), line)
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		if got := result.(Committed); got.Version != uint64(i+1) || got.Revision == 0 {
			t.Errorf("%s: got %+v", line, got)
		}
	}
}

func TestTwoOperatorsAtOnceLoseNoChange(t *testing.T) {
	_, open := session(t)
	done := make(chan error, 8)
	for i := range 8 {
		s := open("ada")
		go func() {
			_, err := s.Execute(t.Context(), "create service s"+string(rune('0'+i)))
			done <- err
		}()
	}
	for range 8 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	c, err := open("ada").currentConfiguration(t.Context())
	if err != nil || len(c.Services) != 8 || c.Version != 8 {
		t.Errorf("got %d services in version %d, %v", len(c.Services), c.Version, err)
	}
}

func TestAnOutageIsToldAndChangesNothing(t *testing.T) {
	server, open := session(t)
	s := open("ada")
	server.SetFaults(platformstandin.Faults{Outage: true})
	if _, err := s.Execute(t.Context(), "create service a"); err == nil || !strings.Contains(err.Error(), "nothing was changed") {
		t.Errorf("got %v", err)
	}
	server.SetFaults(platformstandin.Faults{})
	if c, err := s.currentConfiguration(t.Context()); err != nil || c.Version != 0 {
		t.Errorf("got version %d, %v", c.Version, err)
	}
}

func TestHistoryIsBounded(t *testing.T) {
	var c configuration.Configuration
	var err error
	for range configuration.HistoryLength + 10 {
		if c, err = c.With(configuration.SetTeam{Name: "t"}, configuration.Record{}); err != nil {
			t.Fatal(err)
		}
	}
	if len(c.History) != configuration.HistoryLength || c.History[0].Version != 11 {
		t.Errorf("got %d entries from version %d", len(c.History), c.History[0].Version)
	}
}
