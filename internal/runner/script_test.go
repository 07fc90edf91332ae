// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sailhead/internal/evacuation"
	"sailhead/internal/worker"
)

// script feeds events to a runner, read from the commands of a file in testdata.
type script struct {
	t      *testing.T
	now    time.Time
	runner *Runner
	// number counts the starts.
	number uint64
	// ends counts the listed ends.
	ends uint64
	// sent is when each start was sent.
	sent map[RunID]time.Time
	// revision is that of the latest change of an availability zone.
	revision evacuation.Revision
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		limits := DefaultLimits(time.Second, 50*time.Millisecond)
		// Some scripts crash several workers within milliseconds, which would eject the worker.
		limits.NoEjection = filepath.Base(path) != "ejection"
		s := &script{t: t, now: time.Unix(1_000_000, 0), runner: New(limits, 7), sent: make(map[RunID]time.Time)}
		datadriven.RunTest(t, path, s.run)
	})
}

func intArg(t *testing.T, d *datadriven.TestData, key string, value int) int {
	if d.HasArg(key) {
		d.ScanArgs(t, key, &value)
	}
	return value
}

// clock returns the worker's clock, which equals the agent's in scripts.
func (s *script) clock() time.Duration { return time.Duration(s.now.UnixNano()) }

func (s *script) reply() worker.Reply { return worker.Reply{Clock: s.clock(), Received: s.now} }

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	firstArg := ""
	if len(d.CmdArgs) > 0 {
		firstArg = d.CmdArgs[0].Key
	}
	session := SessionID(intArg(t, d, "session", 1))
	started := int64(intArg(t, d, "started", 0))
	incarnation := worker.Incarnation{ID: "w", StartedMillis: started}
	if d.HasArg("incarnation") {
		d.ScanArgs(t, "incarnation", &incarnation.ID)
	}
	run := uint32(intArg(t, d, "run", 1))
	switch d.Cmd {
	case "worker":
		output := s.handle(HeartbeatReceived{Record: worker.Record{
			ID: firstArg, StartedMillis: started, Service: "svc", Zone: "z", Capacity: worker.Resources{CPU: intArg(t, d, "cpu", 4000)}, Draining: d.HasArg("draining"),
			Sequence: uint64(s.now.UnixMilli()), Clock: s.clock(),
		}})
		if s.runner.candidate != nil {
			output += s.handle(RenewAnswered{Incarnation: s.runner.candidate.Incarnation(), Sent: s.now, Result: worker.Listing{Reply: s.reply(), StartedMillis: started}})
		}
		if !d.HasArg("unsurveyed") {
			s.survey()
		}
		return output
	case "heartbeat":
		return s.handle(HeartbeatReceived{Record: worker.Record{
			ID: firstArg, StartedMillis: started, Service: "svc", Zone: "z", Capacity: worker.Resources{CPU: intArg(t, d, "cpu", 4000)}, Draining: d.HasArg("draining"),
			Sequence: uint64(s.now.UnixMilli()), Clock: s.clock(),
		}})
	case "recall":
		return s.handle(StoredWorkerLoaded{Record: worker.Record{ID: firstArg, StartedMillis: started, Service: "svc", Zone: "z", Capacity: worker.Resources{CPU: 4000}}})
	case "left":
		return s.handle(WorkerLeft{Incarnation: worker.Incarnation{ID: firstArg, StartedMillis: started}})
	case "open":
		return s.handle(SessionOpened{Session: session, Entry: firstArg})
	case "close":
		return s.handle(SessionClosed{Session: session})
	case "pong":
		return s.handle(PongReceived{Session: session, Sent: s.now.Add(-time.Duration(intArg(t, d, "ago", 0)) * time.Millisecond)})
	case "start":
		s.number++
		return s.handle(StartRequested{Session: session, Number: s.number, Task: Task{
			Name: firstArg, Run: run, Needs: worker.Resources{CPU: intArg(t, d, "cpu", 1000)}, Expected: time.Duration(intArg(t, d, "expected", 100)) * time.Millisecond,
			MaxWait: time.Duration(intArg(t, d, "wait", 0)) * time.Millisecond, IsDurable: d.HasArg("durable"),
			Urgency: s.urgency(t, d), Offer: OfferID(intArg(t, d, "offer", 0)), Kind: "kind", IsContained: d.HasArg("contained"),
			KindFailureRate: float64(intArg(t, d, "kind_failures", 0)) / 100, IgnoresEjection: d.HasArg("ignores_ejection"), Estimate: time.Duration(intArg(t, d, "estimate", 100)) * time.Millisecond,
		}})
	case "reserve":
		return s.handle(ReservationRequested{Session: session, Reservation: Reservation{
			Job: firstArg, Needs: worker.Resources{CPU: intArg(t, d, "cpu", 1000)}, Count: intArg(t, d, "count", 1), Urgency: s.urgency(t, d),
		}})
	case "answer":
		return s.handle(OfferAnswered{Session: session, Offer: OfferID(intArg(t, d, "offer", 0))})
	case "evacuate", "take_back":
		return s.evacuate(firstArg, d.Cmd == "evacuate", evacuation.Revision(intArg(t, d, "revision", 0)))
	case "acknowledged":
		return s.handle(EndAcknowledged{Name: firstArg, Run: run})
	case "stop":
		return s.handle(StopRequested{Session: session, Name: firstArg})
	case "started":
		return s.handle(StartAnswered{
			Incarnation: incarnation, Name: firstArg, Run: run, Sent: s.sent[RunID{Task: firstArg, Run: run}], Ended: s.now, Result: s.startResult(t, d.CmdArgs[1].Key),
		})
	case "stopped":
		return s.handle(StopAnswered{Incarnation: incarnation, Name: firstArg, Run: run, Result: s.startResult(t, d.CmdArgs[1].Key).(worker.StopResult)})
	case "listed":
		var result worker.RenewResult = worker.WrongIncarnation{Reply: s.reply()}
		if firstArg != "wrong_incarnation" {
			result = s.listing(t, d)
		}
		return s.handle(RenewAnswered{
			Incarnation: incarnation, Sent: s.now, Took: s.took(t, d), Ended: s.now, Fence: s.runner.fence, LongPoll: d.HasArg("long_poll"), Result: result,
		})
	case "renew_unanswered":
		return s.handle(RenewAnswered{
			Incarnation: incarnation, Sent: s.now, Took: s.took(t, d), Ended: s.now, LongPoll: d.HasArg("long_poll"),
			Result: worker.NoResponse{IsClosed: d.HasArg("closed") || d.HasArg("reset"), IsReset: d.HasArg("reset")},
		})
	case "renew_fenced":
		return s.handle(RenewAnswered{
			Incarnation: incarnation, Sent: s.now, Took: s.took(t, d), Ended: s.now, Fence: uint64(intArg(t, d, "fence", 0)), LongPoll: d.HasArg("long_poll"),
			Result: worker.Fenced{Reply: s.reply()},
		})
	case "renew_not_reached":
		return s.handle(RenewAnswered{Incarnation: incarnation, Sent: s.now, Ended: s.now, Result: worker.Unreachable{}})
	case "wait":
		s.now = s.now.Add(time.Duration(intArg(t, d, "ms", 0)) * time.Millisecond)
		return s.handle(Ticked{})
	case "suspend":
		// Time passes without a tick: the next event is handled before it.
		s.now = s.now.Add(time.Duration(intArg(t, d, "ms", 0)) * time.Millisecond)
		return ""
	case "shutdown":
		return s.handle(ShutdownRequested{})
	default:
		t.Fatalf("unknown command %s", d.Cmd)
		return ""
	}
}

// took parses the duration of a call, zero by default.
func (s *script) took(t *testing.T, d *datadriven.TestData) time.Duration {
	return time.Duration(intArg(t, d, "took", 0)) * time.Millisecond
}

// evacuate changes an availability zone, at the next revision unless one is given. Workers are in zone "z".
func (s *script) evacuate(zone string, isEvacuated bool, revision evacuation.Revision) string {
	if revision == 0 {
		s.revision++
		revision = s.revision
	}
	change := evacuation.Change{Zone: zone, Revision: revision, IsEvacuated: isEvacuated}
	return s.handle(EvacuationsReceived{State: evacuation.New(0, []evacuation.Change{change})})
}

// urgency parses the urgency of a task or reservation. By default, its job meets its deadline if it starts within 100
// ms.
func (s *script) urgency(t *testing.T, d *datadriven.TestData) Urgency {
	slack := time.Duration(intArg(t, d, "slack", 100)) * time.Millisecond
	return Urgency{HasStarted: d.HasArg("begun"), Priority: intArg(t, d, "priority", 0), StartBy: s.now.Add(slack)}
}

// survey makes a new incarnation answer with the listing that shows that nothing runs on it. After that it gets tasks.
func (s *script) survey() {
	if w := s.runner.worker; w != nil && !w.knowsAllRuns {
		s.now = s.now.Add(s.runner.stopBound() + time.Millisecond)
		s.handle(RenewAnswered{
			Incarnation: w.record.Incarnation(), Sent: s.now, Fence: s.runner.fence,
			Result: worker.Listing{Reply: s.reply(), StartedMillis: w.record.StartedMillis},
		})
	}
}

func (s *script) startResult(t *testing.T, name string) worker.StartResult {
	results := map[string]worker.StartResult{
		"accepted": worker.Accepted{Reply: s.reply()}, "unanswered": worker.NoResponse{}, "outdated": worker.StaleRun{Reply: s.reply()}, "closed": worker.NoResponse{IsClosed: true},
		"fenced": worker.Fenced{Reply: s.reply()}, "too_late": worker.TooLate{Reply: s.reply()}, "insufficient_resources": worker.InsufficientResources{Reply: s.reply()},
		"unhealthy": worker.Unhealthy{Reply: s.reply()}, "wrong_incarnation": worker.WrongIncarnation{Reply: s.reply()}, "not_reached": worker.Unreachable{},
		"invalid": worker.Invalid{Reply: s.reply(), Reason: "x"}, "unknown_status": worker.NoResponse{IsAnswered: true},
	}
	result, ok := results[name]
	if !ok {
		t.Fatalf("unknown result %s", name)
	}
	return result
}

// listing parses a listing: NAME=RUN is a running task, NAME=(RUN,ENDING) the end of a run.
func (s *script) listing(t *testing.T, d *datadriven.TestData) worker.Listing {
	endings := map[string]worker.Ending{"done": worker.EndingDone, "failed": worker.EndingFailed, "stopped": worker.EndingStopped, "lease_expired": worker.EndingLeaseExpired}
	l := worker.Listing{Reply: s.reply(), StartedMillis: int64(intArg(t, d, "by", intArg(t, d, "started", 0)))}
	for _, arg := range d.CmdArgs {
		if slices.Contains([]string{"incarnation", "took", "started", "by"}, arg.Key) {
			continue
		}
		var run uint32
		if _, err := fmt.Sscan(arg.Vals[0], &run); err != nil {
			t.Fatal(err)
		}
		if len(arg.Vals) == 1 {
			l.Running = append(l.Running, worker.Run{Name: arg.Key, Run: run})
			continue
		}
		s.ends++
		l.Ended = append(l.Ended, worker.End{Number: s.ends, Name: arg.Key, Run: run, Ending: endings[arg.Vals[1]]})
	}
	return l
}

// handle applies an event and returns the effects as text, except pings, records and loads.
func (s *script) handle(event Event) string {
	var out strings.Builder
	for _, effect := range s.runner.Handle(s.now, event) {
		switch e := effect.(type) {
		case CallStart:
			s.sent[RunID{Task: e.Start.Name, Run: e.Start.Run}] = s.now
			fmt.Fprintf(&out, "call start %s run=%d for %s fence=%d\n", e.Start.Name, e.Start.Run, e.Start.LeaseUntil-s.clock(), e.Start.Fence)
		case CallStop:
			fmt.Fprintf(&out, "call stop %s run=%d fence=%d\n", e.Stop.Name, e.Stop.Run, e.Stop.Fence)
		case CallRenew:
			lease := "none"
			if e.Renew.LeaseUntil > 0 {
				lease = (e.Renew.LeaseUntil - s.clock()).String()
			}
			fmt.Fprintf(&out, "call renew lease=%s acknowledged=%d wait=%s\n", lease, e.Renew.AcknowledgedEnd, e.Renew.Wait)
		case SendUpdate:
			unacknowledged := ""
			if e.Update.Unacknowledged {
				unacknowledged = " unacknowledged"
			}
			fmt.Fprintf(&out, "update %d: %s run=%d %s %s%s\n", e.Session, e.Update.Name, e.Update.Run, e.Update.Outcome, e.Update.Reason, unacknowledged)
		case SendOffer:
			what := "for " + e.Offer.Job
			if e.Offer.IsProbe {
				what = "probe"
			}
			fmt.Fprintf(&out, "offer %d: %d %s cpu=%d left=%d\n", e.Session, e.Offer.ID, what, e.Offer.Resources.CPU, e.Offer.Remaining)
		case CloseSession:
			fmt.Fprintf(&out, "close %d: %s\n", e.Session, e.Reason)
		case SendCrash:
			fmt.Fprintf(&out, "crash %d: %s%s\n", e.Session, e.Crash.Incarnation, describeRuns(e.Crash.Runs))
		case IncarnationEnded:
			var runs []RunID
			for _, run := range e.Runs {
				runs = append(runs, run.RunID)
			}
			fmt.Fprintf(&out, "ended %s: %s, with %v\n", e.Incarnation, e.Reason, runs)
		case WorkerEjected:
			fmt.Fprintf(&out, "ejected: %s of %v\n", e.Reason, e.Kinds)
		case ProbeEnded:
			fmt.Fprintf(&out, "probe %s run=%d done=%t\n", e.Task, e.Run, e.IsDone)
		case WorkerRestored:
			fmt.Fprintf(&out, "restored after %s\n", e.After)
		case StopOverdue:
			fmt.Fprintf(&out, "overdue: stop of %s run=%d accepted=%t orphan=%t leased=%s\n", e.Task, e.Run, e.IsAccepted, e.IsOrphan, e.LeasedFor)
		case EvacuationChanged:
			fmt.Fprintf(&out, "zone %s evacuated=%t runs=%d\n", e.Zone, e.IsEvacuated, e.Runs)
		}
	}
	return out.String()
}

func describeRuns(runs []CrashedRun) string {
	var text string
	for _, run := range runs {
		likely, isolated := "", ""
		if run.WasLikelyRunning {
			likely = " likely"
		}
		if run.IsIsolated {
			isolated = " isolated of " + run.Kind
		}
		text += fmt.Sprintf(" [%s run=%d age=%s running=%t%s latest=%t%s]", run.Task, run.Run, run.Age, run.WasRunning, likely, run.IsLatest, isolated)
	}
	return text
}
