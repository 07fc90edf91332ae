// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package timeline

import (
	"strings"
	"testing"
	"time"
)

const entryLog = `level=info time=2026-08-25T20:37:02.100Z process=entry-1 part=entry msg=agent_down agent=agent-2 detail=
level=info time=2026-08-25T20:37:02.200Z process=entry-1 part=entry msg=agent_down agent=agent-9 detail=
level=info time=2026-08-25T20:37:01.000Z process=entry-1 part=entry msg=taken job=aa kind=k age=0s detail="tasks=2"
level=info time=2026-08-25T20:37:01.001Z process=entry-1 part=entry msg=placed job=aa kind=k age=1ms task=aa.0.0.1 run=1 detail="waited for [aa.0.0.1 run=1 at agent-2 placed=8ms]"
level=info time=2026-08-25T20:37:02.500Z process=entry-1 part=entry msg=answered job=bb kind=k age=1ms detail=completed
level=info time=2026-08-25T20:37:03.000Z process=entry-1 part=entry msg=answered job=aa kind=k age=2s detail="interrupted: the job's time is over"
this is no line of a log
level=info time=2026-08-25T20:37:05.000Z process=entry-1 part=entry msg=configuration version=4
`

const agentLog = `   7.6039 agent-2 level=info time=2026-08-25T20:37:01.900Z process=agent-2 part=agent msg="closing session" session=1 reason="the entry is silent"
level=info time=2026-08-25T20:37:01.950Z process=agent-2 part=agent msg=run task=aa.0.0.1 run=1 outcome=stopped reason="the run was stopped"
level=info time=2026-08-25T20:37:01.960Z process=agent-2 part=agent msg=run task=bb.0.0.1 run=1 outcome=stopped reason="the run was stopped"
`

func TestFollowJob(t *testing.T) {
	var lines []Line
	for _, text := range []string{agentLog, entryLog} {
		read, err := ReadLogs(strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, read...)
	}
	if len(lines) != 10 {
		t.Fatalf("read %d lines", len(lines))
	}
	var messages []string
	for _, line := range FollowJob(lines, "aa") {
		messages = append(messages, line.Message)
	}
	want := "taken, placed, closing session, run, agent_down, answered"
	if got := strings.Join(messages, ", "); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got := FollowJob(lines, "cc"); got != nil {
		t.Errorf("FollowJob of an unknown job returned %v", got)
	}
}

func TestBetween(t *testing.T) {
	lines, err := ReadLogs(strings.NewReader(entryLog))
	if err != nil {
		t.Fatal(err)
	}
	since := time.Date(2026, 8, 25, 20, 37, 2, 0, time.UTC)
	selected := Between(lines, since, since.Add(time.Second))
	if len(selected) != 4 || selected[0].Value("agent") != "agent-2" || selected[3].Message != "answered" {
		t.Errorf("Between returned %v; want the four lines from agent_down to answered", selected)
	}
}
