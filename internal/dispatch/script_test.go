// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sailhead/internal/evacuation"
	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// script runs the commands of a file in testdata against a dispatcher.
type script struct {
	t          *testing.T
	now        time.Time
	dispatcher *Dispatcher
	waiter     Waiter
	numbers    map[AgentID]uint64
	// printsAnswers is set while the current command has the argument "notes".
	printsAnswers bool
	// printsReservations is set by the command "reservations".
	printsReservations bool
	// printsKindFailures is set by the command "kind_failures".
	printsKindFailures bool
	// revision is the revision of the latest change of an availability zone.
	revision evacuation.Revision
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{
			t: t, now: time.Unix(1_000_000, 0), numbers: make(map[AgentID]uint64),
			dispatcher: New(Limits{Jobs: 10}, rand.New(rand.NewPCG(1, 2))),
		}
		datadriven.RunTest(t, path, s.run)
	})
}

// number returns an argument of a command, or a default if it is missing.
func number(d *datadriven.TestData, key string, fallback int) int {
	if d.HasArg(key) {
		d.ScanArgs(currentTest, key, &fallback)
	}
	return fallback
}

// currentTest is the test that is running. Scripts do not run in parallel.
var currentTest *testing.T

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	currentTest = t
	agent := AgentID(argument(d, "agent"))
	s.printsAnswers = d.HasArg("notes")
	switch d.Cmd {
	case "agent":
		agent = AgentID(d.CmdArgs[0].Key)
		s.handle(AgentUp{Agent: agent})
		return s.describeWorker(agent, d) + s.load(agent, d)
	case "describe":
		return s.describeWorker(AgentID(d.CmdArgs[0].Key), d)
	case "crash":
		return s.handle(WorkerCrashed{Agent: agent, Crash: s.crash(d)})
	case "shared":
		return s.handle(RecordsShared{Number: uint64(number(d, "number", 0))})
	case "unended":
		return s.handle(UnendedRunReceived{Task: d.CmdArgs[0].Key, EndedBy: s.now.Add(time.Duration(number(d, "ms", 0)) * time.Millisecond)})
	case "load":
		return s.load(AgentID(d.CmdArgs[0].Key), d)
	case "kind_failures":
		s.printsKindFailures = true
		return ""
	case "reservations":
		s.printsReservations = true
		return ""
	case "evacuate", "take_back":
		return s.evacuate(d.CmdArgs[0].Key, d.Cmd == "evacuate", evacuation.Revision(number(d, "revision", 0)))
	case "chosen":
		return s.chosen(number(d, "agents", 0))
	case "offer":
		return s.handle(OfferReceived{Agent: AgentID(d.CmdArgs[0].Key), Offer: runner.Offer{
			ID: runner.OfferID(number(d, "id", 1)), Job: argument(d, "job"), Remaining: number(d, "left", 0),
			Resources: worker.Resources{CPU: number(d, "cpu", 1000)}, IsProbe: d.HasArg("probe"),
		}})
	case "submit":
		return s.submit(d)
	case "run":
		return s.handle(RunUpdated{Agent: agent, Update: runner.Update{
			Name: d.CmdArgs[0].Key, Run: uint32(number(d, "run", 1)), Outcome: parseOutcome(t, d.CmdArgs[1].Key),
		}})
	case "wait":
		s.now = s.now.Add(time.Duration(number(d, "ms", 0)) * time.Millisecond)
		return s.handle(Ticked{})
	case "suspend":
		// Time advances without a tick, as if the VM was suspended: the next event is handled before a tick.
		s.now = s.now.Add(time.Duration(number(d, "ms", 0)) * time.Millisecond)
		return ""
	case "down":
		return s.handle(AgentDown{Agent: AgentID(d.CmdArgs[0].Key)})
	case "unwanted":
		return s.handle(AgentDeselected{Agent: AgentID(d.CmdArgs[0].Key)})
	case "wanted":
		return s.handle(AgentSelected{Agent: AgentID(d.CmdArgs[0].Key)})
	case "unresponsive":
		return s.handle(AgentUnresponsive{Agent: AgentID(d.CmdArgs[0].Key)})
	case "responsive":
		return s.handle(AgentResponsive{Agent: AgentID(d.CmdArgs[0].Key)})
	case "caller_left":
		return s.handle(CallerLeft{Job: d.CmdArgs[0].Key, Waiter: Waiter(number(d, "waiter", 0))})
	case "shutdown":
		return s.handle(ShutdownRequested{Until: s.now.Add(time.Duration(number(d, "ms", 0)) * time.Millisecond)})
	default:
		t.Fatalf("unknown command %s", d.Cmd)
		return ""
	}
}

func argument(d *datadriven.TestData, key string) string {
	var value string
	if d.HasArg(key) {
		d.ScanArgs(currentTest, key, &value)
	}
	return value
}

func parseOutcome(t *testing.T, name string) runner.Outcome {
	for o := runner.OutcomeStarted; o <= runner.OutcomeLost; o++ {
		if o.String() == name {
			return o
		}
	}
	t.Fatalf("unknown outcome %s", name)
	return 0
}

func (s *script) load(agent AgentID, d *datadriven.TestData) string {
	return s.handle(LoadReceived{Agent: agent, Handled: s.numbers[agent], Load: runner.Load{
		Used: worker.Resources{CPU: number(d, "used", 0)}, Accepts: !d.HasArg("refuses") && !d.HasArg("ejected"), IsEjected: d.HasArg("ejected"), HasReservations: d.HasArg("reserved"),
		Slowness: float64(number(d, "slowness", 1)), FailureRate: float64(number(d, "failures", 0)) / 100,
	}})
}

// chosen registers a number of agents, named a, b and so on, and selects all of them for sessions.
func (s *script) chosen(agents int) string {
	var registered []AgentID
	for i := range agents {
		registered = append(registered, AgentID(rune('a'+i)))
	}
	return s.handle(AgentsRegistered{Agents: registered, Selected: agents})
}

// evacuate evacuates an availability zone or takes it back, at the next revision if none is given.
func (s *script) evacuate(zone string, isEvacuated bool, revision evacuation.Revision) string {
	if revision == 0 {
		s.revision++
		revision = s.revision
	}
	change := evacuation.Change{Zone: zone, Revision: revision, IsEvacuated: isEvacuated}
	return s.handle(EvacuationsChanged{State: evacuation.New(0, []evacuation.Change{change})})
}

// describeWorker describes the worker of an agent. Its ID is "w" unless the argument "id" is given.
func (s *script) describeWorker(agent AgentID, d *datadriven.TestData) string {
	id := argument(d, "id")
	if id == "" {
		id = "w"
	}
	record := worker.Record{ID: id, Service: "svc", Zone: argument(d, "zone"), Capacity: worker.Resources{CPU: number(d, "cpu", 8000)}}
	return s.handle(WorkerDescribed{Agent: agent, Record: record})
}

// crash parses the crash of an incarnation: its ID, then TASK=RUN for each run that was running, TASK=(RUN,latest) for
// the latest one, TASK=(RUN,uncertain) for one that may not have been running, TASK=(RUN,likely) for one that was likely
// running, and TASK=(RUN,isolated) for one of a contained job that was started last. A further value is the age of the run, which is zero by default. All runs are of
// defaultKind.
func (s *script) crash(d *datadriven.TestData) runner.Crash {
	crash := runner.Crash{Incarnation: worker.Incarnation{ID: d.CmdArgs[0].Key}, Age: time.Duration(number(d, "age", 0)) * time.Millisecond}
	for _, arg := range d.CmdArgs[1:] {
		if arg.Key == "agent" || arg.Key == "notes" || arg.Key == "age" {
			continue
		}
		run, err := strconv.ParseUint(arg.Vals[0], 10, 32)
		if err != nil {
			s.t.Fatal(err)
		}
		crash.Runs = append(crash.Runs, runner.CrashedRun{
			RunID:      runner.RunID{Task: arg.Key, Run: uint32(run)},
			WasRunning: !slices.Contains(arg.Vals, "uncertain") && !slices.Contains(arg.Vals, "likely"), WasLikelyRunning: slices.Contains(arg.Vals, "likely"),
			IsLatest: slices.Contains(arg.Vals, "latest"),
			Kind:     defaultKind, IsIsolated: slices.Contains(arg.Vals, "isolated"), Age: ageIn(arg.Vals),
		})
	}
	return crash
}

// ageIn returns the age that is among the values of a run, zero if there is none.
func ageIn(values []string) time.Duration {
	for _, value := range values {
		if age, err := time.ParseDuration(value); err == nil && strings.HasSuffix(value, "ms") {
			return age
		}
	}
	return 0
}

// defaultKind is the kind of a job without the argument "kind".
const defaultKind = "kind"

func kindOf(d *datadriven.TestData) string {
	if kind := argument(d, "kind"); kind != "" {
		return kind
	}
	return defaultKind
}

func (s *script) submit(d *datadriven.TestData) string {
	s.waiter++
	job := Job{
		ID: d.CmdArgs[0].Key, Payload: "p", RemainingTime: time.Duration(number(d, "remaining", 0)) * time.Millisecond,
		Kind: Kind{
			Name: kindOf(d), Service: "svc", Priority: number(d, "priority", 0), Attempts: number(d, "attempts", 2),
			Stretch: 1.6, Target: 60 * time.Millisecond, Timeout: 1500 * time.Millisecond,
		},
	}
	step := Step{
		Count: number(d, "tasks", 1), Needs: worker.Resources{CPU: number(d, "cpu", 1000)},
		Expected: time.Duration(number(d, "expected", 100)) * time.Millisecond, MaxPerWorker: number(d, "per_worker", 0),
	}
	job.Steps = append(job.Steps, step)
	if then := number(d, "then", 0); then > 0 {
		step.Count, step.After = then, []int{0}
		job.Steps = append(job.Steps, step)
	}
	return s.handle(Submitted{Job: job, Waiter: s.waiter})
}

// handle passes an event to the dispatcher and prints the effects. Of the decisions it prints given-up tasks and
// containments, and answers if the command has the argument "notes".
func (s *script) handle(event Event) string {
	var out strings.Builder
	for _, effect := range s.dispatcher.Handle(s.now, event) {
		switch e := effect.(type) {
		case StartTask:
			s.numbers[e.Agent] = e.Number
			details := ""
			if e.Task.IsContained {
				details = " contained"
			}
			if e.Task.IgnoresEjection {
				details += " ignores_ejection"
			}
			if s.printsKindFailures {
				details += fmt.Sprintf(" kind_failures=%.2f", e.Task.KindFailureRate)
			}
			fmt.Fprintf(&out, "start %s at %s run=%d%s%s\n", e.Task.Name, e.Agent, e.Task.Run, describeOffer(e.Task.Offer), details)
		case StopTask:
			fmt.Fprintf(&out, "stop %s at %s\n", e.Name, e.Agent)
		case Reserve:
			if s.printsReservations {
				fmt.Fprintf(&out, "reserve %s at %s count=%d begun=%t\n", e.Reservation.Job, e.Agent, e.Reservation.Count, e.Reservation.Urgency.HasStarted)
			}
		case CloseSession:
			fmt.Fprintf(&out, "close %s\n", e.Agent)
		case AnswerOffer:
			fmt.Fprintf(&out, "answer offer %d of %s\n", e.Offer, e.Agent)
		case PropagateUnendedRun:
			fmt.Fprintf(&out, "unended %s for %s\n", e.Task, e.EndedBy.Sub(s.now))
		case ShareRecords:
			fmt.Fprintf(&out, "share records up to %d\n", e.Number)
		case Reply:
			fmt.Fprintf(&out, "reply to %v: %s\n", e.Waiters, describe(e.Answer))
		case DecisionMade:
			if givenUp, ok := e.Decision.(DecisionGivenUp); ok {
				fmt.Fprintf(&out, "give up %s:%s\n", e.Task, describeCrashes(givenUp.Crashes))
			}
			if contained, ok := e.Decision.(DecisionContained); ok {
				fmt.Fprintf(&out, "contain %s at %v for %v\n", e.Kind, contained.Agents, contained.Jobs)
			}
			if _, ok := e.Decision.(DecisionContainmentEnded); ok {
				fmt.Fprintf(&out, "let out %s\n", e.Kind)
			}
			if answered, ok := e.Decision.(DecisionAnswered); ok && s.printsAnswers {
				fmt.Fprintf(&out, "note %s after %s: %s%s\n", e.Job, e.Age, describe(answered.Answer), describeLate(answered.Late))
			}
		}
	}
	return out.String()
}

func describeCrashes(crashes []Crash) string {
	var text string
	for _, c := range crashes {
		likely := ""
		if c.WasLikelyRunning {
			likely = " likely"
		}
		text += fmt.Sprintf(" [run=%d at %s of %s running=%t%s latest=%t]", c.Run, c.Incarnation, c.Agent, c.WasRunning, likely, c.IsLatest)
	}
	return text
}

func describeOffer(id runner.OfferID) string {
	if id == 0 {
		return ""
	}
	return fmt.Sprintf(" offer=%d", id)
}

func describe(answer Answer) string {
	switch a := answer.(type) {
	case Completed:
		return "completed"
	case Failed:
		return "failed"
	case NotRun:
		return "not_run: " + a.Reason
	case Interrupted:
		return "interrupted: " + a.Reason
	default:
		return fmt.Sprintf("%T", answer)
	}
}

// describeLate formats the tasks of a late answer. All of them must have been placed and completed.
func describeLate(late *LateAnswer) string {
	if late == nil {
		return ""
	}
	text := fmt.Sprintf(" (objective=%s waited for", late.Objective)
	for _, p := range late.Slowest {
		text += fmt.Sprintf(" [%s run=%d at %s placed=%s done=%s]", p.Task, p.Run, p.Agent, p.Placed, p.Done)
	}
	return text + ")"
}
