// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package systemtest

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"sailhead/internal/native/platformstandin"
)

// fault is a failure that a test begins and ends.
type fault struct {
	name  string
	begin func(s *system)
	end   func(s *system)
}

// replaceEntry directs the callers of one entry to another, as the balancer does.
func (s *system) replaceEntry(i int, with *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[i] = with
}

func nothing(*system) {}

// faults lists the faults that are tested alone and in pairs. Each affects other processes than the others.
func faults() []fault {
	return []fault{
		{"agent killed and restarted", func(s *system) {
			s.agents[0].die()
		}, func(s *system) { s.agents[0] = s.startAgent(0, s.agents[0].peers) }},
		{"agent frozen", func(s *system) { s.agents[1].signal(syscall.SIGSTOP) }, func(s *system) { s.agents[1].signal(syscall.SIGCONT) }},
		{"agent stopped as planned", func(s *system) { s.agents[2].signal(syscall.SIGTERM) }, nothing},
		{"entry killed", func(s *system) {
			dead := s.entries[1]
			s.replaceEntry(1, s.entries[0])
			dead.die()
		}, nothing},
		{"entry frozen", func(s *system) {
			s.frozen = s.entries[2]
			s.replaceEntry(2, s.entries[0])
			s.frozen.signal(syscall.SIGSTOP)
		}, func(s *system) { s.frozen.signal(syscall.SIGCONT) }},
		{"platform outage", func(s *system) { s.setFaults(platformstandin.Faults{Outage: true}) }, func(s *system) { s.setFaults(platformstandin.Faults{}) }},
		{"VM taken off the list", func(s *system) {
			s.send(http.MethodPut, s.platform.address, platformstandin.PathVMs+"/"+s.agents[4].peers+"?state=live", nil)
			s.agents[4].die()
		}, func(s *system) {
			s.send(http.MethodDelete, s.platform.address, platformstandin.PathVMs+"/"+s.agents[4].peers, nil)
		}},
		{"worker drained", func(s *system) { _, _ = s.command("operate", "drain", "worker", "worker-3") }, nothing},
	}
}

// TestFaultsAloneAndInPairs checks the promises under each fault and each pair, while callers resubmit.
func TestFaultsAloneAndInPairs(t *testing.T) {
	t.Parallel()
	all := faults()
	for i := range all {
		for j := i; j < len(all); j++ {
			t.Run(fmt.Sprintf("%s, %s", all[i].name, all[j].name), func(t *testing.T) {
				t.Parallel()
				runFaults(t, all[i], all[j], i == j)
			})
		}
	}
}

func runFaults(t *testing.T, first, second fault, alone bool) {
	s := startSystem(t, 5, 3)
	l := s.startLoad(6)
	l.answered(15)
	began := time.Now()
	first.begin(s)
	if !alone {
		second.begin(s)
	}
	l.answered(15)
	first.end(s)
	if !alone {
		second.end(s)
	}
	l.answered(15)
	total := l.stop()
	last := time.Duration(0)
	if l.trouble.After(began) {
		last = l.trouble.Sub(began)
	}
	t.Logf("last answer that was not complete: %s after the fault began", last.Round(time.Millisecond))
	if total["complete"] == 0 {
		t.Error("nothing was complete")
	}
}
