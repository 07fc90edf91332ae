// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package configuration

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// changeOf draws one change of every kind, on few names so that they meet.
func changeOf(rt *rapid.T) Change {
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "name")
	number := rapid.IntRange(0, 9).Draw(rt, "number")
	span := time.Duration(number+1) * time.Second
	flag := number%2 == 0
	return rapid.SampledFrom([]Change{
		CreateService{Name: name}, DropService{Name: name}, DropKind{Service: name, Name: "k"}, SetTeam{Name: name, Quota: number},
		SetKind{Service: name, Name: "k", Urgency: &number}, SetKind{Service: name, Name: "k", Deadline: &span, Repeatable: &flag},
		DropTeam{Name: name}, DrainWorker{Name: name}, ResumeWorker{Name: name},
	}).Draw(rt, "change")
}

// TestReplayGivesTheSameDocument checks that a node that follows changes holds the very same configuration
// as one that takes the document.
func TestReplayGivesTheSameDocument(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var whole, follower Configuration
		for i := range rapid.IntRange(1, 60).Draw(rt, "changes") {
			record := Record{ID: fmt.Sprint(i), Author: "ada", Time: time.Unix(int64(i), 0).UTC(), Line: "line"}
			if next, err := whole.With(changeOf(rt), record); err == nil {
				whole = next
			}
			if rapid.IntRange(0, 3).Draw(rt, "lag") > 0 {
				continue
			}
			records, ok := whole.Since(follower.Version)
			if !ok && whole.Version != follower.Version {
				rt.Fatalf("no changes since %d in version %d", follower.Version, whole.Version)
			}
			follower = follow(rt, follower, records)
			if a, b := asJSON(rt, whole), asJSON(rt, follower); a != b {
				rt.Fatalf("got\n%s\nwant\n%s", b, a)
			}
			// Changes that are known already do nothing.
			if again := follow(rt, follower, whole.History); again.Version != follower.Version {
				rt.Fatalf("version %d after old changes, was %d", again.Version, follower.Version)
			}
		}
	})
}

// follow replays changes as they come over the wire.
func follow(rt *rapid.T, c Configuration, records []Record) Configuration {
	var received []Record
	if err := json.Unmarshal([]byte(asJSON(rt, records)), &received); err != nil {
		rt.Fatal(err)
	}
	next, err := c.Replay(received)
	if err != nil {
		rt.Fatal(err)
	}
	return next
}

func asJSON(rt *rapid.T, value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		rt.Fatal(err)
	}
	return string(data)
}

func TestSinceNeedsTheHistory(t *testing.T) {
	var c Configuration
	for range HistoryLength + 5 {
		c, _ = c.With(SetTeam{Name: "t"}, Record{})
	}
	if _, ok := c.Since(3); ok {
		t.Error("the history does not reach back to version 3")
	}
	if records, ok := c.Since(5); !ok || len(records) != HistoryLength {
		t.Errorf("got %d records, %t", len(records), ok)
	}
	if _, err := c.Replay([]Record{{Version: c.Version + 1}}); err == nil {
		t.Error("a change of an unknown kind was taken")
	}
}
