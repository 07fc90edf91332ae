// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package daemon

import (
	"bytes"
	"fmt"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"sailhead/internal/logging"
	"sailhead/internal/native/backendstandin"
	"sailhead/internal/native/model"
	"sailhead/internal/native/operator"
	"sailhead/internal/native/platformstandin"
	"sailhead/internal/settings"
)

const loopback = settings.Address("127.0.0.1:0")

// fleet is a platform with agents and entries in the process of the benchmark.
type fleet struct {
	platform string
	agents   []*Agent
	entries  []*Entry
}

// configuringLines configure the service of the benchmarks.
var configuringLines = []string{"create service s", "set kind k of s expected 1ms deadline 5s", "set team t quota 0"}

// knows reports whether every node has the configuration's version and the whole roster.
func (f *fleet) knows(version int) bool {
	members := len(f.agents) + len(f.entries)
	for _, e := range f.entries {
		if !e.Knows(version, members) {
			return false
		}
	}
	for _, a := range f.agents {
		if !a.Knows(version, members) {
			return false
		}
	}
	return true
}

// newFleet starts the given numbers of agents and entries and waits until they know each other.
func newFleet(b *testing.B, agents, entries int) *fleet {
	b.Helper()
	_, address, stopPlatform, err := platformstandin.NewServer(string(loopback))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(stopPlatform)
	_, backend, stopBackend, err := backendstandin.NewServer(string(loopback), backendstandin.Behaviour{Mode: backendstandin.ModeServe})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(stopBackend)
	f := &fleet{platform: address}
	common := func(role settings.Role, i int) settings.Settings {
		s := settings.New(role)
		s.Name = fmt.Sprintf("%s-%d", role, i)
		s.PlatformAddress, s.PeerAddress, s.BackendAddress, s.CallerAddress = settings.Address(address), loopback, settings.Address(backend), loopback
		s.StopTimeout = 0
		return s
	}
	for i := range agents {
		a, stop, err := NewAgent(common(settings.RoleAgent, i), logging.Discard())
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = stop() })
		f.agents = append(f.agents, a)
	}
	for i := range entries {
		e, stop, err := NewEntry(common(settings.RoleEntry, i), logging.Discard())
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = stop() })
		f.entries = append(f.entries, e)
	}
	f.configure(b, address)
	return f
}

func (f *fleet) configure(b *testing.B, platform string) {
	b.Helper()
	session, cleanup := operator.NewSession(operator.Options{PlatformAddress: platform, PlatformTimeout: 5 * time.Second})
	b.Cleanup(cleanup)
	for _, line := range configuringLines {
		if _, err := session.Execute(b.Context(), line); err != nil {
			b.Fatal(err)
		}
	}
	for end := time.Now().Add(2 * time.Minute); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f.knows(len(configuringLines)) {
			return
		}
	}
	b.Fatal("the nodes do not know each other after two minutes")
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (f *fleet) bytes() int64 {
	var total int64
	for _, a := range f.agents {
		total += a.client.Bytes()
	}
	for _, e := range f.entries {
		total += e.client.Bytes()
	}
	return total
}

// BenchmarkIdleControl measures what a node spends on control while no job runs.
func BenchmarkIdleControl(b *testing.B) {
	for _, nodes := range []int{10, 30, 100, 300} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			f := newFleet(b, nodes-2, 2)
			const span = 10 * time.Second
			for b.Loop() {
				began, bytes := processorTime(b), f.bytes()
				time.Sleep(span)
				perNode := 1 / float64(nodes) / span.Seconds()
				b.ReportMetric(100*(processorTime(b)-began).Seconds()*perNode, "%core/node")
				// A byte that one node's client moves, another's server moves too.
				b.ReportMetric(2*float64(f.bytes()-bytes)*perNode/1024, "KB/s/node")
			}
			var memory runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&memory)
			b.ReportMetric(float64(memory.HeapAlloc+memory.StackInuse)/float64(nodes)/1024, "KB-live/node")
			b.ReportMetric(float64(runtime.NumGoroutine())/float64(nodes), "goroutines/node")
		})
	}
}

// BenchmarkSubmission measures one submission through entry, owner and guard over loopback, its backend server included.
func BenchmarkSubmission(b *testing.B) {
	for _, tasks := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			f := newFleet(b, 3, 1)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
			list := bytes.Repeat([]byte("1,"), tasks)
			before, began := f.bytes(), processorTime(b)
			b.ReportAllocs()
			for b.Loop() {
				key, err := model.NewKey()
				if err != nil {
					b.Fatal(err)
				}
				body := fmt.Sprintf(`{"submission":%q,"service":"s","kind":"k","team":"t","tasks":[%s]}`, key, list[:len(list)-1])
				response, err := client.Post("http://"+f.entries[0].CallerAddress()+"/v1/jobs", "application/json", bytes.NewReader([]byte(body)))
				if err != nil {
					b.Fatal(err)
				}
				_ = response.Body.Close()
				if response.StatusCode != http.StatusOK {
					b.Fatalf("status %d", response.StatusCode)
				}
			}
			each := 1 / float64(b.N)
			b.ReportMetric(float64(f.bytes()-before)*each, "peer-bytes/op")
			b.ReportMetric(float64((processorTime(b)-began).Microseconds())*each, "cpu-µs/op")
		})
	}
}

// BenchmarkChangeReachesAll measures how long a committed change takes to be in force on every node.
func BenchmarkChangeReachesAll(b *testing.B) {
	for _, nodes := range []int{10, 30, 100, 300} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			f := newFleet(b, nodes-2, 2)
			session, cleanup := operator.NewSession(operator.Options{PlatformAddress: f.platform, PlatformTimeout: 5 * time.Second})
			b.Cleanup(cleanup)
			version := len(configuringLines)
			for b.Loop() {
				if _, err := session.Execute(b.Context(), "set team t quota 0"); err != nil {
					b.Fatal(err)
				}
				version++
				for !f.knows(version) {
					time.Sleep(5 * time.Millisecond)
				}
			}
		})
	}
}
