// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package session

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"sailhead/internal/clock"
	"sailhead/internal/runner"
)

// TestPayloadsArriveWhetherSentOrRepeated sends starts before and after the agent has announced its support for repeated payloads.
func TestPayloadsArriveWhetherSentOrRepeated(t *testing.T) {
	entry, server, entrySide, events := pair(t)
	opened := receive(t, events).(runner.SessionOpened)
	payloads := []string{"a", "a", "b", "b", "", "", "b", "a", "a"}
	for _, hasPinged := range []bool{false, true} {
		for i, payload := range payloads {
			entry.Start(uint64(i+1), runner.Task{Name: "j.0.0.1", Payload: payload})
			if got := receive(t, events).(runner.StartRequested).Task.Payload; got != payload {
				t.Errorf("start %d, pinged %t: payload %q, want %q", i, hasPinged, got, payload)
			}
		}
		server.Send(runner.SendPing{Session: opened.Session, Time: clock.Now()})
		receive(t, entrySide.pings)
	}
	if !entry.payload.mayRepeat.Load() {
		t.Error("the ping did not announce support for repeated payloads")
	}
}

// TestAnAgentThatDoesNotKnowRepeatsGetsAllPayloads covers agents of versions without support for repeated payloads.
func TestAnAgentThatDoesNotKnowRepeatsGetsAllPayloads(t *testing.T) {
	var sent sentPayload
	for range 2 {
		start := packStart(1, runner.Task{Name: "j.0.0.1", Payload: "p"})
		if sent.omitRepeated(start); start.Payload != "p" || start.RepeatsPayload {
			t.Fatalf("got %v", start)
		}
	}
}

// TestTheTasksOfAJobShareTheBytesOfItsPayload checks that the starts of a job of eight tasks contain the payload only once, plus at most 100
// bytes each.
func TestTheTasksOfAJobShareTheBytesOfItsPayload(t *testing.T) {
	const tasks, payload, overhead = 8, 2400, 100
	var sent sentPayload
	sent.mayRepeat.Store(true)
	size := 0
	for i := range tasks {
		start := packStart(uint64(i+1), runner.Task{Name: "0123456789abcdef.0.0.1", Run: 1, Payload: strings.Repeat("x", payload), Kind: "kind"})
		sent.omitRepeated(start)
		size += proto.Size(start)
	}
	if most := payload + tasks*overhead; size > most {
		t.Errorf("%d bytes, want %d at most", size, most)
	}
}
