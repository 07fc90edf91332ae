// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package guard

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sailhead/internal/native/model"
)

// script drives a guard with one slot.
type script struct {
	t     *testing.T
	now   time.Time
	guard *Guard
}

func (s *script) run(d *datadriven.TestData) string {
	if d.Cmd == "new" {
		limits := Limits{Slots: 1, Queue: 3, Records: 5, Retention: 10 * time.Second}
		s.guard = New(limits, rand.New(rand.NewPCG(1, 2)))
		return ""
	}
	var event Event
	id := func() model.TaskID { return model.TaskID{Key: model.Key(d.CmdArgs[0].Key)} }
	switch d.Cmd {
	case "start":
		task := Task{ID: id(), Kind: "k", Expected: 100 * time.Millisecond, Urgency: 5, Deadline: s.now.Add(time.Second)}
		for _, a := range d.CmdArgs[1:] {
			value := a.Vals[0]
			switch a.Key {
			case "urgency":
				task.Urgency, _ = strconv.Atoi(value)
			case "in":
				span, _ := time.ParseDuration(value)
				task.Deadline = s.now.Add(span)
			case "max-wait":
				task.MaxWait, _ = time.ParseDuration(value)
			}
		}
		task.Due = task.Deadline
		event = StartAsked{Task: task}
	case "report":
		event = ReportAsked{ID: id(), Deadline: s.now.Add(time.Second), Withdraw: len(d.CmdArgs) > 1}
	case "end":
		event = Ended{ID: id(), Outcome: model.TaskDone{ServiceTime: 100 * time.Millisecond}}
	case "drain":
		event = Drained{Leaving: true}
	case "advance":
		span, _ := time.ParseDuration(d.CmdArgs[0].Key)
		s.now = s.now.Add(span)
		event = Ticked{}
	default:
		s.t.Fatalf("unknown command %s", d.Cmd)
	}
	var lines []string
	for _, effect := range s.guard.Handle(s.now, event) {
		lines = append(lines, describe(effect))
	}
	load := s.guard.Load(s.now)
	lines = append(lines, fmt.Sprintf("running %d ahead of urgency 5: %d", load.Running, load.Ahead(5)))
	return strings.Join(lines, "\n")
}

func describe(effect Effect) string {
	switch e := effect.(type) {
	case RunTask:
		return "run " + string(e.Task.ID.Key)
	case Answer:
		text := fmt.Sprintf("answer %s %T", e.ID.Key, e.Outcome)
		if o, ok := e.Outcome.(model.TaskNotStarted); ok {
			text += ": " + o.Reason
		}
		return text
	default:
		return "?"
	}
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{t: t, now: time.Unix(1_800_000_000, 0)}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return s.run(d) })
	})
}

func TestAFullTableCannotFence(t *testing.T) {
	g := New(Limits{Slots: 1, Queue: 1, Records: 1, Retention: time.Second}, rand.New(rand.NewPCG(1, 2)))
	now := time.Unix(1_800_000_000, 0)
	g.Handle(now, StartAsked{Task: Task{ID: model.TaskID{Key: "a"}, Expected: time.Millisecond, Deadline: now.Add(time.Second)}})
	effects := g.Handle(now, ReportAsked{ID: model.TaskID{Key: "b"}, Deadline: now.Add(time.Second)})
	outcome, ok := effects[0].(Answer).Outcome.(model.TaskFailed)
	if !ok || outcome.Cause != model.CauseUnknown {
		t.Errorf("got %+v, want a failure of unknown cause: without a record the task may still start", effects)
	}
}
