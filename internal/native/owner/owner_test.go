// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package owner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sailhead/internal/native/configuration"
	"sailhead/internal/native/model"
	"sailhead/internal/native/ownership"
	"sailhead/internal/native/placement"
)

// script sends events to one owner. The script plays the guards and the entries.
type script struct {
	t      *testing.T
	now    time.Time
	owner  *Owner
	roster ownership.Roster
	waiter Waiter
}

func newScript(t *testing.T) *script {
	s := &script{t: t, now: time.Unix(1_800_000_000, 0)}
	limits := ownership.Limits{Window: time.Minute, Skew: time.Millisecond, Entries: 100}
	random := rand.New(rand.NewPCG(1, 2))
	s.owner = New(ownership.NewTable("a", limits), placement.NewView("a", "z", placement.LeastLoaded{}, random), Bounces{}, random)
	s.roster = s.roster.WithJoined(ownership.Member{ID: "e", Address: "e", Role: ownership.RoleEntry}, s.now)
	for _, id := range []ownership.MemberID{"a", "b"} {
		s.roster = s.roster.WithJoined(ownership.Member{ID: id, Name: string(id), Address: string(id), Zone: "z", Role: ownership.RoleAgent}, s.now)
	}
	s.ack()
	c := configuration.Configuration{Version: 1, Teams: []configuration.Team{{Name: "free"}, {Name: "small", Quota: 10}}}
	k := configuration.NewKind("k")
	k.Expected = 100 * time.Millisecond
	c.Services = []configuration.Service{{Name: "s", Kinds: []configuration.Kind{k}}}
	s.owner.Handle(s.now, ConfigurationSeen{Configuration: c})
	s.load("a", 0, false)
	s.load("b", 0, false)
	s.now = s.now.Add(2 * time.Minute)
	return s
}

func (s *script) ack() {
	s.roster, _ = s.roster.WithAck("e", s.roster.Epoch, s.now)
	s.owner.Handle(s.now, RosterSeen{Roster: s.roster})
}

func (s *script) load(id ownership.MemberID, running int, leaving bool) []Effect {
	load := model.Load{Slots: 2, Running: running, Rest: time.Duration(running) * 50 * time.Millisecond, Leaving: leaving, Measured: s.now}
	return s.owner.Handle(s.now, LoadSeen{Guard: id, Load: load})
}

func (s *script) run(d *datadriven.TestData) string {
	value := func(name, fallback string) string {
		for _, a := range d.CmdArgs {
			if a.Key == name {
				return a.Vals[0]
			}
		}
		return fallback
	}
	number := func(name string, fallback int) int {
		n, err := strconv.Atoi(value(name, strconv.Itoa(fallback)))
		if err != nil {
			s.t.Fatal(err)
		}
		return n
	}
	name := func(i int) string { return d.CmdArgs[i].Key }
	s.now = s.now.Add(time.Millisecond)
	switch d.Cmd {
	case "offer":
		s.waiter++
		in := time.Duration(number("in", 1000)) * time.Millisecond
		offer := ownership.Offer{Forwarder: "e", Owner: "a", Epoch: s.roster.Epoch, Job: model.Job{
			Key: model.Key(name(0)), Attempt: uint32(number("attempt", 1)), Service: "s", Kind: value("kind", "k"), Team: value("team", "free"),
			Deadline: s.now.Add(in), Tasks: make([][]byte, number("tasks", 1)),
		}}
		return describe(s.owner.Handle(s.now, Offered{Offer: offer, Waiter: s.waiter}))
	case "end":
		index, _ := strconv.Atoi(name(1))
		id := model.TaskID{Key: model.Key(name(0)), Index: uint32(index)}
		return describe(s.owner.Handle(s.now, TaskEnded{Task: id, Guard: ownership.MemberID(name(2)), Outcome: outcome(name(3), name(1))}))
	case "load":
		return describe(s.load(ownership.MemberID(name(0)), number("running", 0), d.HasArg("leaving")))
	case "deadline":
		s.now = s.now.Add(10 * time.Second)
		return describe(s.owner.Handle(s.now, DeadlinePassed{Key: model.Key(name(0))}))
	case "silent":
		return describe(s.owner.Handle(s.now, GuardUnresponsive{Guard: ownership.MemberID(name(0))}))
	case "join":
		s.roster = s.roster.WithJoined(ownership.Member{ID: ownership.MemberID(name(0)), Address: name(0), Role: ownership.RoleEntry}, s.now)
		return describe(s.owner.Handle(s.now, RosterSeen{Roster: s.roster}))
	default:
		s.t.Fatalf("unknown command %s", d.Cmd)
		return ""
	}
}

func outcome(name, index string) model.Outcome {
	switch name {
	case "done":
		return model.TaskDone{Result: []byte("r" + index), ServiceTime: 100 * time.Millisecond}
	case "not-started":
		return model.TaskNotStarted{Reason: "busy", RetryAfter: 3 * time.Second}
	case "unreachable":
		return model.TaskNotStarted{Reason: "gone", Unreachable: true}
	default:
		return model.TaskFailed{Cause: model.FailureCause(name), Reason: "r"}
	}
}

// describe returns the effects as text, without their random parts.
func describe(effects []Effect) string {
	var lines []string
	for _, effect := range effects {
		switch e := effect.(type) {
		case Respond:
			lines = append(lines, fmt.Sprintf("respond to %v: %s", e.Waiters, describeResponse(e.Response)))
		case StartTask:
			lines = append(lines, fmt.Sprintf("start %d at %s", e.Task.Index, e.Guard))
		case WithdrawTask:
			lines = append(lines, fmt.Sprintf("withdraw %d at %s", e.Task.Index, e.Guard))
		case AskFence:
			lines = append(lines, "ask "+string(e.Entry.ID))
		case WatchDeadline:
			lines = append(lines, "watch the deadline")
		}
	}
	return strings.Join(lines, "\n")
}

func describeResponse(response Response) string {
	answered, ok := response.(Answered)
	if !ok {
		return fmt.Sprintf("%T", response)
	}
	switch a := answered.Answer.(type) {
	case model.Complete:
		return "complete " + string(slices.Concat(a.Results...))
	case model.NotRun:
		return fmt.Sprintf("not_run: %s (come back: %t, quota: %t)", a.Reason, a.RetryAfter > 0, a.OverQuota)
	case model.Failed:
		return fmt.Sprintf("failed: %s (may have run: %t, timed out: %t)", a.Reason, a.MayHaveRun, a.TimedOut)
	case model.Rejected:
		return "rejected " + a.Field
	default:
		return "?"
	}
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newScript(t)
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return s.run(d) })
	})
}
