// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ownership

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/uuid"

	"sailhead/internal/native/model"
)

// world has the state machines that a script sends events to.
type world struct {
	t          *testing.T
	now        time.Time
	limits     Limits
	roster     Roster
	forwarders map[MemberID]*Forwarder
	tables     map[MemberID]*Table
	keys       map[string]model.Key
	issued     int
}

func newWorld(t *testing.T) *world {
	return &world{
		t: t, now: time.Unix(1_800_000_000, 0),
		limits:     Limits{Window: time.Minute, Skew: 100 * time.Millisecond, Entries: 4},
		forwarders: make(map[MemberID]*Forwarder), tables: make(map[MemberID]*Table),
		keys: make(map[string]model.Key),
	}
}

// issue makes a UUIDv7 key that is issued now and whose first choice is the given agent, if any.
func (w *world) issue(name string, first MemberID) {
	for range 1_000_000 {
		w.issued++
		i := w.issued
		id := uuid.UUID{6: 0x70, 8: 0x80}
		millis := uint64(w.now.UnixMilli())
		for b := range 6 {
			id[b] = byte(millis >> (40 - 8*b))
		}
		id[13], id[14], id[15] = byte(i>>16), byte(i>>8), byte(i)
		key := model.Key(id.String())
		if owner, ok := w.roster.FirstChoice(key); first == "" || ok && owner.ID == first {
			w.keys[name] = key
			return
		}
	}
	w.t.Fatalf("no key for %s", first)
}

// spread sets the newest roster at all processes.
func (w *world) spread() {
	for _, f := range w.forwarders {
		f.SetRoster(w.roster)
	}
	for _, t := range w.tables {
		t.SetRoster(w.roster)
	}
}

func (w *world) change(next Roster, err error) string {
	if err != nil {
		return err.Error()
	}
	w.roster = next
	return fmt.Sprintf("epoch %d", next.Epoch)
}

func (w *world) run(d *datadriven.TestData) string {
	arg := func(i int) MemberID {
		if i < len(d.CmdArgs) {
			return MemberID(d.CmdArgs[i].Key)
		}
		return ""
	}
	key := func() model.Key { return w.keys[string(arg(1))] }
	switch d.Cmd {
	case "entry", "agent":
		role := Role(d.Cmd)
		if role == RoleEntry {
			w.forwarders[arg(0)] = NewForwarder(arg(0), w.limits)
		} else {
			w.tables[arg(0)] = NewTable(arg(0), w.limits)
		}
		address := strings.TrimRight(string(arg(0)), "'")
		return w.change(w.roster.WithJoined(Member{ID: arg(0), Address: address, Role: role}, w.now), nil)
	case "ack":
		return w.change(w.roster.WithAck(arg(0), w.roster.Epoch, w.now))
	case "dead":
		return w.change(w.roster.WithDead(arg(0), w.now))
	case "left":
		return w.change(w.roster.WithLeft(arg(0), arg(1), w.now))
	case "spread":
		w.spread()
		return ""
	case "settle":
		for _, m := range w.roster.Listed(RoleEntry) {
			_ = w.change(w.roster.WithAck(m.ID, w.roster.Epoch, w.now))
		}
		w.spread()
		w.now = w.now.Add(time.Second)
		return ""
	case "advance":
		span, err := time.ParseDuration(string(arg(0)))
		if err != nil {
			w.t.Fatal(err)
		}
		w.now = w.now.Add(span)
		return ""
	case "issue":
		w.issue(string(arg(0)), arg(1))
		return ""
	case "opaque":
		w.keys[string(arg(0))] = model.Key("opaque-" + string(arg(0)))
		return ""
	case "prune":
		w.roster = w.roster.WithPruned(w.now.Add(-w.limits.Retention()))
		return fmt.Sprintf("%d members", len(w.roster.Members))
	case "expire":
		w.forwarders[arg(0)].Expire(w.now)
		return fmt.Sprintf("%d bindings", w.forwarders[arg(0)].Len())
	case "route":
		var avoid, suspects []MemberID
		for _, a := range d.CmdArgs[2:] {
			if a.Key == "suspect" {
				suspects = append(suspects, MemberID(a.Vals[0]))
				continue
			}
			avoid = append(avoid, MemberID(a.Key))
		}
		return describeRoute(w.forwarders[arg(0)].Route(w.now, key(), avoid, suspects))
	case "fate":
		w.forwarders[arg(0)].Record(key(), arg(2), fateOf(string(arg(3)), arg(4)))
		return ""
	case "fence":
		return fmt.Sprintf("%T%v", w.forwarders[arg(0)].Fence(w.now, key(), arg(2)), "")
	case "awaits":
		return fmt.Sprint(w.forwarders[arg(0)].AwaitsResult(key(), arg(2)))
	case "inherit":
		return fmt.Sprint(w.forwarders[arg(0)].Inherit(w.forwarders[arg(1)].Close()))
	case "take":
		return w.take(arg(0), key(), arg(2), d)
	case "verdict":
		decision, ok := w.tables[arg(0)].Fenced(w.now, key(), arg(2), verdictOf(string(arg(3)), arg(4)), w.roster.Epoch)
		if !ok {
			return "no fence"
		}
		return describeDecision(decision)
	case "finish":
		w.tables[arg(0)].Finish(w.now, key(), 1, answerOf(string(arg(2))))
		return ""
	case "leave":
		w.tables[arg(0)].Leave()
		return ""
	case "handover":
		heirs, epoch := w.tables[arg(0)].Handover()
		lines := []string{fmt.Sprintf("epoch %d", epoch)}
		for id, records := range heirs {
			ended, ok := w.tables[id].Inherit(records)
			lines = append(lines, fmt.Sprintf("%s: %d records, taken %t, %d fences ended", id, len(records), ok, len(ended)))
		}
		slices.Sort(lines[1:])
		return strings.Join(lines, "\n")
	default:
		w.t.Fatalf("unknown command %s", d.Cmd)
		return ""
	}
}

func (w *world) take(agent MemberID, key model.Key, from MemberID, d *datadriven.TestData) string {
	job := model.Job{Key: key, Attempt: 1, Service: "s", Kind: "k", Deadline: w.now.Add(time.Second), Tasks: [][]byte{{1}}}
	offer := Offer{Job: job, Forwarder: from, Owner: agent, Epoch: w.roster.Epoch}
	for _, a := range d.CmdArgs[3:] {
		switch a.Key {
		case "again":
			offer.Job.Attempt = 2
		case "third":
			offer.Job.Attempt = 3
		case "other-body":
			offer.Job.Tasks = [][]byte{{2}}
		case "late":
			offer.Job.Deadline = w.now
		case "old-epoch":
			offer.Epoch--
		case "new-epoch":
			offer.Epoch++
		case "old-incarnation":
			offer.Owner += "-old"
		default:
			w.t.Fatalf("unknown option %s", a.Key)
		}
	}
	return describeDecision(w.tables[agent].Take(w.now, offer))
}

func describeRoute(route Route) string {
	switch r := route.(type) {
	case ForwardTo:
		return "forward to " + string(r.Owner.ID)
	case RelayThrough:
		return "relay through " + string(r.Entry.ID)
	case NoRoute:
		return "no route: " + r.Reason
	default:
		return "?"
	}
}

func describeDecision(decision Decision) string {
	switch d := decision.(type) {
	case Reply:
		return fmt.Sprintf("reply %s %+v", model.Status(d.Answer), d.Answer)
	case Ask:
		var ids []string
		for _, m := range d.Entries {
			ids = append(ids, string(m.ID))
		}
		return "ask " + strings.Join(ids, " ")
	case Decline:
		return strings.TrimSpace("decline " + string(d.BoundTo) + " " + d.Reason)
	case Refuse:
		return "refuse: " + d.Reason
	default:
		return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", d), "ownership."))
	}
}

func fateOf(name string, boundTo MemberID) ForwardResult {
	return map[string]ForwardResult{
		"taken": Taken{}, "not-sent": NotSent{}, "refused": Refused{}, "lost": Unconfirmed{},
		"declined": Declined{BoundTo: boundTo},
	}[name]
}

func verdictOf(name string, owner MemberID) Verdict {
	return map[string]Verdict{
		"promised": Promised{}, "elsewhere": BoundElsewhere{Owner: owner}, "silent": CannotTell{},
	}[name]
}

func answerOf(name string) model.Answer {
	return map[string]model.Answer{"complete": model.Complete{}, "not-run": model.NotRun{Reason: "busy"}}[name]
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		w := newWorld(t)
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return w.run(d) })
	})
}

func TestAnInheritedRecordReplacesADecline(t *testing.T) {
	w := newWorld(t)
	for _, m := range []Member{{ID: "e", Role: RoleEntry}, {ID: "f", Role: RoleEntry}, {ID: "a", Role: RoleAgent}, {ID: "b", Role: RoleAgent}} {
		m.Address = string(m.ID)
		w.roster = w.roster.WithJoined(m, w.now)
	}
	table := NewTable("b", w.limits)
	table.SetRoster(w.roster)
	w.issue("k", "a")
	job := model.Job{Key: w.keys["k"], Attempt: 1, Deadline: w.now.Add(time.Second), Tasks: [][]byte{{1}}}
	offer := Offer{Job: job, Forwarder: "e", Owner: "b", Epoch: w.roster.Epoch}
	if _, ok := table.Take(w.now, offer).(Ask); !ok {
		t.Fatal("got no Ask for a key that is not settled")
	}
	if _, ok := table.Fenced(w.now, job.Key, "f", BoundElsewhere{Owner: "a"}, w.roster.Epoch); !ok {
		t.Fatal("got no decision on the verdict of an open fence")
	}
	if _, ok := table.Take(w.now, offer).(Decline); !ok {
		t.Fatal("got no Decline for a declined key")
	}
	record := Record{Key: job.Key, Hash: job.Hash(), Answer: model.Complete{}, Touched: w.now}
	if ended, ok := table.Inherit([]Record{record}); !ok || len(ended) != 0 {
		t.Fatalf("got ended fences %v and ok %t, want none and true", ended, ok)
	}
	if reply, ok := table.Take(w.now, offer).(Reply); !ok || model.Status(reply.Answer) != "complete" {
		t.Errorf("got %+v, want the inherited answer", reply)
	}
}
