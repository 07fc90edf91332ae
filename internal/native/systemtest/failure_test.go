// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package systemtest

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"sailhead/internal/native/backendstandin"
	"sailhead/internal/native/platformstandin"
)

func TestTheWholePathInSeparateProcesses(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 2, 2)
	for _, p := range append(append([]*process{}, s.agents...), s.entries...) {
		if status, text, err := get(p.peers, "/debug/vars"); err != nil || status != http.StatusOK {
			t.Fatalf("%s: got %d %s, %v", p.name, status, text, err)
		}
	}
	j := newJob(t, 20)
	first, err := j.submit(s.entries[0])
	if err != nil || first.Status != "complete" {
		t.Fatalf("got %+v, %v", first, err)
	}
	// The same submission through another entry gets the same answer, and starts nothing.
	if again, err := j.submit(s.entries[1]); err != nil || again.Status != "complete" {
		t.Errorf("got %+v, %v", again, err)
	}
	s.check(j, s.starts())
	if status, text, err := get(s.entries[1].address, "/v1/jobs/"+string(j.key)); err != nil || status != http.StatusOK {
		t.Errorf("the state: got %d %s, %v", status, text, err)
	}
	out, err := s.command("timeline", "--submission", string(j.key))
	if err != nil {
		t.Fatal(out)
	}
	events := make(map[string]int)
	for _, row := range s.parse(out).Rows {
		events[row["event"]]++
	}
	if events["job_received"] != 2 || events["task_started"] != 20 || events["task_ended"] != 20 || events["job_answered"] != 2 {
		t.Errorf("the time line has %v", events)
	}
	for _, p := range append(append(s.entries, s.agents...), s.backends...) {
		p.stop()
	}
	if rows := s.countMembers("left"); rows != 4 {
		t.Errorf("%d members left the roster as planned", rows)
	}
	s.platform.stop()
}

// countMembers counts the members in a state, read from the platform alone.
func (s *system) countMembers(state string) int {
	return len(s.rows("show members", "state", state))
}

func TestBadSettingsStopTheStart(t *testing.T) {
	t.Parallel()
	s := &system{t: t}
	s.platform = &process{address: "127.0.0.1:1"}
	s.entries = []*process{{peers: "127.0.0.1:1"}}
	out, err := s.command("operate", "show", "services")
	if err == nil || !strings.Contains(out, "platform: unable to get sailhead/configuration") || !strings.Contains(out, "127.0.0.1:1") {
		t.Errorf("got %v: %s", err, out)
	}
	out, err = s.command("operate", "show", "nothing")
	if err == nil || !strings.Contains(out, `"nothing" does not fit here`) {
		t.Errorf("got %v: %s", err, out)
	}
}

func TestKilledAgentsStartNothingTwice(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 4, 2)
	l := s.startLoad(8)
	l.answered(30)
	s.agents[0].die()
	l.answered(30)
	// It comes back at its address as a new incarnation.
	s.agents[0] = s.startAgent(0, s.agents[0].peers)
	l.answered(30)
	s.agents[1].die()
	l.answered(30)
	l.stop()
}

func TestKilledEntriesStartNothingTwice(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 3)
	l := s.startLoad(8)
	l.answered(30)
	s.entries[0].die()
	l.answered(30)
	l.stop()
	j := newJob(t, 3)
	if a, err := j.submit(s.entries[1]); err != nil || a.Status != "complete" {
		t.Errorf("after the load: %+v, %v", a, err)
	}
}

func TestFrozenProcessesStartNothingTwice(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 2)
	l := s.startLoad(8)
	l.answered(20)
	for _, p := range []*process{s.agents[0], s.entries[0], s.agents[2]} {
		p.signal(syscall.SIGSTOP)
		l.answered(3)
		p.signal(syscall.SIGCONT)
		l.answered(20)
	}
	l.stop()
}

func TestServingWithoutThePlatform(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 2)
	s.setFaults(platformstandin.Faults{Outage: true})
	l := s.startLoad(6)
	l.answered(30)
	// A dead owner's new submissions move to its successors.
	s.agents[2].die()
	l.answered(30)
	// An entry that starts now learns from its seeds and relays.
	late := s.startEntry(9, loopback, s.entries[0].peers, s.entries[1].peers)
	j := newJob(t, 4)
	s.await("the late entry serves", func() bool {
		j = newJob(t, 4)
		a, err := j.submit(late)
		return err == nil && a.Status == "complete"
	})
	s.check(j, s.starts())
	if out := s.operate("show services"); !strings.Contains(out, "refunds") {
		t.Errorf("operators see %s during the outage", out)
	}
	out, err := s.command("operate", "create", "service", "other")
	if err == nil || !strings.Contains(out, "nothing was changed") {
		t.Errorf("a change during the outage: %v: %s", err, out)
	}
	s.setFaults(platformstandin.Faults{})
	s.await("the late entry is listed", func() bool { return len(s.rows("show members", "name", "entry-9")) == 1 })
	l.answered(30)
	l.stop()
}

func TestPlannedStopsCutNothingOff(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 2)
	before := newJob(t, 3)
	if a, err := before.submit(s.entries[0]); err != nil || a.Status != "complete" {
		t.Fatalf("got %+v, %v", a, err)
	}
	l := s.startLoad(8)
	l.answered(30)
	s.agents[0].stop()
	l.answered(30)
	s.agents[1].stop()
	l.answered(30)
	if total := l.stop(); total["failed"]+total["lost"] > 0 {
		t.Errorf("a planned stop cost answers: %v", total)
	}
	// Both owners that may have had it are gone as planned; their heir knows the answer.
	if a, err := before.submit(s.entries[1]); err != nil || a.Status != "complete" {
		t.Errorf("a resubmission got %+v, %v", a, err)
	}
	s.check(before, s.starts())
	// A planned stop of an entry hands its bindings over.
	s.entries[0].stop()
	if a, err := before.submit(s.entries[1]); err != nil || a.Status != "complete" {
		t.Errorf("a resubmission got %+v, %v", a, err)
	}
	if a, err := newJob(t, 2).submit(s.entries[1]); err != nil || a.Status != "complete" {
		t.Errorf("a new job got %+v, %v", a, err)
	}
}

func TestAllMayStopAtOnce(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 3)
	l := s.startLoad(4)
	l.answered(20)
	l.stop()
	all := append(append([]*process{}, s.agents...), s.entries...)
	for _, p := range all {
		p.signal(syscall.SIGTERM)
	}
	began := time.Now()
	for _, p := range all {
		if err := <-p.exited; err != nil {
			t.Errorf("%s: %v\n%s", p.name, err, p.output())
		}
	}
	// Without agreement on who goes first each would wait for the others until its stop_timeout.
	if took := time.Since(began); took > stopTimeout/2 {
		t.Errorf("the stop took %s", took)
	}
}

func TestAChangeHoldsForTheNextJob(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 5, 1)
	for i := range 10 {
		kind := "kind-" + string(rune('a'+i))
		s.operate("set kind " + kind + " of refunds expected 50ms")
		s.await("the entry has the change", func() bool {
			_, text, err := get(s.entries[0].address, "/debug/vars")
			return err == nil && strings.Contains(text, `"configuration_version": `+strconv.Itoa(5+i))
		})
		status, text := submitText(t, s.entries[0], `{"submission":"`+string(newJob(t, 1).key)+`","service":"refunds","kind":"`+kind+`","team":"dyfrdwy","tasks":[1]}`)
		if status != http.StatusOK {
			t.Errorf("%s: got %d %s", kind, status, text)
		}
	}
}

// countAt returns the number of tasks that started at one worker.
func (s *system) countAt(worker int) int {
	only := &system{t: s.t, backends: s.backends[worker : worker+1]}
	return len(only.starts())
}

func TestALeavingWorkerReceivesNothingNew(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 1)
	l := s.startLoad(6)
	l.answered(20)
	s.operate("drain worker worker-0")
	s.await("worker-0 is draining and idle", func() bool {
		rows := s.rows("show workers", "worker", "worker-0")
		return len(rows) == 1 && rows[0]["state"] == "draining" && rows[0]["running"] == "0"
	})
	drained := s.countAt(0)
	l.answered(30)
	if now := s.countAt(0); now != drained {
		t.Errorf("%d tasks started at a draining worker", now-drained)
	}
	s.operate("resume worker worker-0")
	s.await("worker-0 serves again", func() bool { return s.countAt(0) > drained })
	// The platform's list shows the VM of worker-1 as leaving; then the platform goes down.
	s.send(http.MethodPut, s.platform.address, platformstandin.PathVMs+"/"+s.agents[1].peers+"?state=leaving", nil)
	s.await("worker-1 is draining and idle", func() bool {
		rows := s.rows("show workers", "worker", "worker-1")
		return len(rows) == 1 && rows[0]["state"] == "draining" && rows[0]["running"] == "0"
	})
	s.setFaults(platformstandin.Faults{Outage: true})
	drained = s.countAt(1)
	l.answered(30)
	if now := s.countAt(1); now != drained {
		t.Errorf("%d tasks started at a leaving worker", now-drained)
	}
	if total := l.stop(); total["failed"]+total["lost"] > 0 {
		t.Errorf("draining cost answers: %v", total)
	}
}

func TestTasksThatTheirWorkerStopsAreReported(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 1, 1)
	for mode, word := range map[backendstandin.Mode]string{
		backendstandin.ModeThrottle: "throttled", backendstandin.ModeStop: "stopped",
		backendstandin.ModeFail: "failed", backendstandin.ModeHangUp: "unknown",
	} {
		s.send(http.MethodPost, s.backends[0].address, backendstandin.PathBehaviour, backendstandin.Behaviour{Mode: mode})
		j := newJob(t, 1)
		a, err := j.submit(s.entries[0])
		if err != nil || a.Status != "failed" || !a.MayHaveRun || !strings.Contains(a.Reason, "task 0 was "+word) {
			t.Errorf("%s: got %+v, %v", mode, a, err)
		}
		s.check(j, s.starts())
	}
}

// A task may crash each backend server that starts it, as it may crash the workers of the users' platform: it runs once all the
// same, whoever submits it again, since a task that may have run is not run again on this path.
func TestATaskThatCrashesBackendServersRunsOnce(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 2)
	for _, b := range s.backends {
		s.send(http.MethodPost, b.address, backendstandin.PathBehaviour, backendstandin.Behaviour{Mode: backendstandin.ModeHangUp})
	}
	j := newJob(t, 1)
	for _, entry := range []*process{s.entries[0], s.entries[1], s.entries[0]} {
		if a, err := j.submit(entry); err != nil || a.Status != "failed" || !a.MayHaveRun {
			t.Errorf("got %+v, %v", a, err)
		}
	}
	s.check(j, s.starts())
}

func TestConfigurationReachesEveryNodeAndSurvivesRestarts(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 2)
	s.setFaults(platformstandin.Faults{LostReplies: 2})
	s.operate("set team vardtidsforbundet quota 50")
	s.await("every node has version 5", func() bool { return len(s.rows("show workers", "version", "5")) == 3 })
	s.agents[1].die()
	s.agents[1] = s.startAgent(1, s.agents[1].peers)
	s.await("the restarted agent has version 5", func() bool { return len(s.rows("show workers", "version", "5")) == 3 })
	if rows := s.rows("show history", "version", "5"); len(rows) != 1 || rows[0]["author"] != "ada" {
		t.Errorf("the history has %v", rows)
	}
}

// submitText submits a body and returns the answer's code and text.
func submitText(t *testing.T, entry *process, body string) (int, string) {
	t.Helper()
	response, err := http.Post("http://"+entry.address+"/v1/jobs", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	status, text, err := read(response)
	if err != nil {
		t.Fatal(err)
	}
	return status, text
}

func TestWrongJobsNameTheFieldAndRunNothing(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 1, 1)
	j := newJob(t, 1)
	if a, err := j.submit(s.entries[0]); err != nil || a.Status != "complete" {
		t.Fatalf("got %+v, %v", a, err)
	}
	before := len(s.starts())
	for field, body := range map[string]string{
		"submission": `{"submission":"` + string(j.key) + `","service":"refunds","kind":"issuance","team":"dyfrdwy","tasks":["another body"]}`,
		"service":    `{"submission":"s1","service":"nothing","kind":"issuance","team":"dyfrdwy","tasks":[1]}`,
		"kind":       `{"submission":"s2","service":"refunds","kind":"nothing","team":"dyfrdwy","tasks":[1]}`,
		"team":       `{"submission":"s3","service":"refunds","kind":"issuance","team":"nothing","tasks":[1]}`,
		"deadline":   `{"submission":"s4","service":"refunds","kind":"issuance","team":"dyfrdwy","deadline":"2020-01-01T00:00:00Z","tasks":[1]}`,
	} {
		status, text := submitText(t, s.entries[0], body)
		if status != http.StatusBadRequest || !strings.Contains(text, `"field":"`+field+`"`) {
			t.Errorf("%s: got %d %s", field, status, text)
		}
	}
	if after := len(s.starts()); after != before {
		t.Errorf("%d tasks started", after-before)
	}
	// A job that cannot end in time is refused at once, with when to come back, and never runs under that attempt.
	tooMuch := `{"submission":"s5","service":"refunds","kind":"eligibility","team":"dyfrdwy","deadline":"` +
		time.Now().Add(2*time.Second).UTC().Format(time.RFC3339Nano) + `","tasks":[` + strings.Repeat(`1,`, 1799) + `1]}`
	status, text := submitText(t, s.entries[0], tooMuch)
	if status != http.StatusServiceUnavailable || !strings.Contains(text, `"status":"not_run"`) || !strings.Contains(text, "retry_after_ms") {
		t.Errorf("got %d %s", status, text)
	}
	// A team over its quota is refused.
	s.operate("set team dyfrdwy quota 1")
	s.await("the quota is used up", func() bool {
		status, _ := submitText(t, s.entries[0], `{"submission":"`+string(newJob(t, 1).key)+`","service":"refunds","kind":"eligibility","team":"dyfrdwy","tasks":[`+strings.Repeat(`1,`, 79)+`1]}`)
		return status == http.StatusTooManyRequests
	})
}

func TestOperatorsSeeWhatRunsWhere(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 2, 1)
	done := make(chan string, 1)
	go func() {
		_, text := submitText(t, s.entries[0], `{"submission":"long","service":"refunds","kind":"issuance","team":"dyfrdwy","tasks":[{"service_ms":1500},{"service_ms":1500}]}`)
		done <- text
	}()
	s.await("both tasks are running", func() bool { return len(s.rows("show running of long", "state", "running")) == 2 })
	if rows := s.rows("show running on worker-0", "submission", "long"); len(rows) > 2 {
		t.Errorf("got %v", rows)
	}
	_, state, err := get(s.entries[0].address, "/v1/jobs/long")
	if err != nil || !strings.Contains(state, `"status":"running"`) {
		t.Errorf("got %s, %v", state, err)
	}
	if text := <-done; !strings.Contains(text, `"status":"complete"`) {
		t.Errorf("got %s", text)
	}
	out, err := s.command("timeline", "--worker", "worker-0", "--since", "1m")
	if err != nil || !strings.Contains(out, "process_started") {
		t.Errorf("got %v: %s", err, out)
	}
	// Without a line the command is interactive; a wrong line does not end it.
	out, err = s.interact("show teams\nshow nothing\ncreate service other\nshow services\nquit\n")
	if err != nil || !strings.Contains(out, "dyfrdwy") || !strings.Contains(out, `"nothing" does not fit here`) ||
		!strings.Contains(out, "committed version 5") || !strings.Contains(out, "other") {
		t.Errorf("got %v: %s", err, out)
	}
}

// interact gives the interactive command its lines and returns what it prints.
func (s *system) interact(lines string) (string, error) {
	history := filepath.Join(s.t.TempDir(), "history")
	command := exec.Command(binary, "operate", "--settings", s.operatorSettings(), "--history", history)
	command.Stdin = strings.NewReader(lines)
	out, err := command.CombinedOutput()
	if kept, readErr := os.ReadFile(history); readErr != nil || !strings.Contains(string(kept), "show teams") {
		s.t.Errorf("the history holds %q, %v", kept, readErr)
	}
	return string(out), err
}
