// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package systemtest tests sailhead's own interface with the binary as separate processes, which it kills, freezes and
// stops. process_test.go starts the processes, load_test.go makes the load and checks what must always hold: no task
// starts twice, and no answer contradicts the starts at the backend servers.
package systemtest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sailhead/internal/native/backendstandin"
	"sailhead/internal/native/platformstandin"
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "sailhead")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "sailhead")
	if out, err := exec.Command("go", "build", "-o", binary, "sailhead").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// awaitTimeout bounds every wait for something that must happen. Passing tests never come near it.
const awaitTimeout = 60 * time.Second

// stopTimeout is the longest planned stop by default.
const stopTimeout = 30 * time.Second

// process is one running process of the binary.
type process struct {
	t       *testing.T
	name    string
	command *exec.Cmd
	// address is where callers, or the clients of a stand-in, connect; peers is where other processes do.
	address string
	peers   string
	mu      sync.Mutex
	log     bytes.Buffer
	exited  chan error
}

var (
	addressPattern = regexp.MustCompile(`address=(\S+)`)
	peersPattern   = regexp.MustCompile(`peers=(\S+)`)
)

// start starts a process with the settings and waits for its log line with the addresses.
func start(t *testing.T, role string, settings map[string]any) *process {
	t.Helper()
	settings["role"] = role
	data, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, name: fmt.Sprint(settings["name"]), command: exec.Command(binary, role, file), exited: make(chan error, 1)}
	stderr, err := p.command.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	ready := make(chan string, 1)
	go func() {
		lines := bufio.NewScanner(stderr)
		for lines.Scan() {
			p.mu.Lock()
			p.log.WriteString(lines.Text() + "\n")
			p.mu.Unlock()
			if strings.Contains(lines.Text(), "serving") || strings.Contains(lines.Text(), "guarding") {
				select {
				case ready <- lines.Text():
				default:
				}
			}
		}
		p.exited <- p.command.Wait()
	}()
	t.Cleanup(p.kill)
	select {
	case line := <-ready:
		p.address = firstMatch(addressPattern, line)
		p.peers = firstMatch(peersPattern, line)
	case err := <-p.exited:
		t.Fatalf("%s did not start: %v\n%s", p.name, err, p.output())
	case <-time.After(awaitTimeout):
		t.Fatalf("%s did not start:\n%s", p.name, p.output())
	}
	return p
}

func firstMatch(pattern *regexp.Regexp, line string) string {
	if m := pattern.FindStringSubmatch(line); m != nil {
		return m[1]
	}
	return ""
}

func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		p.t.Fatalf("%s: %v", p.name, err)
	}
}

// kill sends SIGKILL. Errors are ignored: the process may have ended.
func (p *process) kill() {
	_ = p.command.Process.Signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
}

// die kills the process and waits for its end.
func (p *process) die() {
	p.kill()
	<-p.exited
}

// stop performs a planned stop and checks that the process ended without an error.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case err := <-p.exited:
		if err != nil {
			p.t.Errorf("%s: %v\n%s", p.name, err, p.output())
		}
	case <-time.After(awaitTimeout):
		p.t.Fatalf("%s did not stop:\n%s", p.name, p.output())
	}
}

// system is a platform, workers with agents, and entries.
type system struct {
	t        *testing.T
	platform *process
	backends []*process
	agents   []*process
	// mu guards entries, which callers choose from while tests replace them.
	mu      sync.Mutex
	entries []*process
	frozen  *process
}

const loopback = "127.0.0.1:0"

// startSystem starts the given numbers of workers and entries, configures them and waits until they know each other.
func startSystem(t *testing.T, workers, entries int) *system {
	t.Helper()
	s := &system{t: t}
	s.platform = start(t, "platform-standin", map[string]any{"name": "platform", "listen_address": loopback})
	for i := range workers {
		s.backends = append(s.backends, start(t, "backend-standin", map[string]any{
			"name": fmt.Sprintf("backend-%d", i), "listen_address": loopback, "service_time_min": "30ms", "service_time_max": "60ms",
		}))
		s.agents = append(s.agents, s.startAgent(i, loopback))
	}
	for i := range entries {
		s.entries = append(s.entries, s.startEntry(i, loopback))
	}
	for _, line := range []string{
		"create service refunds",
		"set kind issuance of refunds urgency 9 deadline 5s expected 50ms repeatable no",
		"set kind eligibility of refunds urgency 5 deadline 5s expected 50ms repeatable yes",
		"set team dyfrdwy quota 0",
	} {
		s.operate(line)
	}
	s.await("all processes know the configuration", func() bool {
		return len(s.rows("show workers", "version", "4")) == workers
	})
	s.await("the entries are listed and ready", func() bool {
		return len(s.rows("show members", "role", "entry")) == entries && s.allReady()
	})
	return s
}

func (s *system) startAgent(i int, peers string) *process {
	return start(s.t, "agent", map[string]any{
		"name": fmt.Sprintf("worker-%d", i), "zone": fmt.Sprintf("zone-%d", i%3), "platform_address": s.platform.address,
		"peer_address": peers, "backend_address": s.backends[i].address, "gossip_interval": "100ms", "clock_skew": "20ms",
	})
}

func (s *system) startEntry(i int, peers string, seeds ...string) *process {
	return start(s.t, "entry", map[string]any{
		"name": fmt.Sprintf("entry-%d", i), "zone": fmt.Sprintf("zone-%d", i%3), "platform_address": s.platform.address,
		"peer_address": peers, "caller_address": loopback, "gossip_interval": "100ms", "clock_skew": "20ms",
		"list_interval": "100ms", "list_lag": "0s", "seeds": append([]string{}, seeds...),
	})
}

func (s *system) allReady() bool {
	for _, entry := range s.entries {
		if status, _, err := get(entry.address, "/readyz"); err != nil || status != http.StatusOK {
			return false
		}
	}
	return true
}

// await polls a condition until it holds, and fails the test after awaitTimeout.
func (s *system) await(what string, isTrue func() bool) {
	s.t.Helper()
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if isTrue() {
			return
		}
	}
	s.t.Fatalf("not true after %s: %s", awaitTimeout, what)
}

// command runs a command of the binary for an operator and returns its output.
func (s *system) command(args ...string) (string, error) {
	file := s.operatorSettings()
	out, err := exec.Command(binary, append([]string{args[0], "--settings", file, "--json"}, args[1:]...)...).CombinedOutput()
	return string(out), err
}

// operatorSettings writes the settings file of the operators' commands and returns its path.
func (s *system) operatorSettings() string {
	file := filepath.Join(s.t.TempDir(), "operator.json")
	text := fmt.Sprintf(`{"role": "operator", "name": "ada", "platform_address": %q, "seeds": [%q]}`, s.platform.address, s.entries[0].peers)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return file
}

// operate runs an operator's line that must succeed.
func (s *system) operate(line string) string {
	s.t.Helper()
	out, err := s.command(append([]string{"operate"}, strings.Fields(line)...)...)
	if err != nil {
		s.t.Fatalf("%s: %v: %s", line, err, out)
	}
	return out
}

// table is a query's answer.
type table struct {
	Rows     []map[string]string `json:"rows"`
	Warnings []string            `json:"warnings"`
}

func (s *system) parse(out string) table {
	s.t.Helper()
	var t table
	if err := json.Unmarshal([]byte(out), &t); err != nil {
		s.t.Fatalf("%v: %s", err, out)
	}
	return t
}

// rows returns the rows of a query whose column has the value.
func (s *system) rows(line, column, value string) []map[string]string {
	s.t.Helper()
	var rows []map[string]string
	for _, row := range s.parse(s.operate(line)).Rows {
		if row[column] == value {
			rows = append(rows, row)
		}
	}
	return rows
}

// get returns the status and body of a page.
func get(address, path string) (status int, text string, err error) {
	response, err := http.Get("http://" + address + path)
	if err != nil {
		return 0, "", err
	}
	return read(response)
}

// read reads a response to its end and closes it.
func read(response *http.Response) (status int, text string, err error) {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// send sends a JSON body to a stand-in.
func (s *system) send(method, address, path string, body any) {
	s.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		s.t.Fatal(err)
	}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		s.t.Fatal(err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		s.t.Fatalf("%s answered %d", path, answer.StatusCode)
	}
}

func (s *system) setFaults(faults platformstandin.Faults) {
	s.t.Helper()
	s.send(http.MethodPost, s.platform.address, platformstandin.PathFaults, faults)
}

// starts returns the number of starts of each task, as the backend stand-ins counted them.
func (s *system) starts() map[backendstandin.Start]int {
	s.t.Helper()
	total := make(map[backendstandin.Start]int)
	for _, b := range s.backends {
		_, text, err := get(b.address, backendstandin.PathStarts)
		if err != nil {
			s.t.Fatal(err)
		}
		var counts []backendstandin.Count
		if err := json.Unmarshal([]byte(text), &counts); err != nil {
			s.t.Fatal(err)
		}
		for _, c := range counts {
			total[c.Start] += c.Times
		}
	}
	return total
}
