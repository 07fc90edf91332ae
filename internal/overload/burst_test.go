// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const (
	// burstFrom and burstTo delimit the bursts below; jobs arrive until arrivalsEnd.
	burstFrom, burstTo = 4 * time.Second, 8 * time.Second
	arrivalsEnd        = 11 * time.Second
	// baseLoad is the load outside the bursts, as a fraction of the capacity of all workers.
	baseLoad = 0.62
)

// burstPatterns are bursts that exceed the capacity: of one kind, of all kinds, in one availability zone, at one
// entry.
var burstPatterns = []struct {
	name  string
	burst burst
}{
	{"long kind 6 times", burst{kind: "confirmation", factor: 6}},
	{"short kind 5 times", burst{kind: "lookup", factor: 5}},
	{"everything twice", burst{factor: 2}},
	{"one zone 3.5 times", burst{zone: "zone-a", factor: 3.5}},
	{"one entry 9 times", burst{entry: 1, factor: 9}},
}

// TestCallersAfterABurstAreServed simulates burstPatterns. Two seconds after a burst no job of it is left, as the
// longest jobs take that long.
func TestCallersAfterABurstAreServed(t *testing.T) {
	for _, pattern := range burstPatterns {
		t.Run(pattern.name, func(t *testing.T) {
			t.Parallel()
			b := pattern.burst
			b.from, b.to = burstFrom, burstTo
			s := newBurstSite(1, 12, 69, baseLoad, b)
			s.simulate(arrivalsEnd)
			t.Log("completed on time during the burst:\n" + s.table(burstFrom, burstTo))
			for _, k := range variedKinds {
				share, jobs := s.served(during(burstTo+2*time.Second, arrivalsEnd, k.Name, ""))
				if share < 0.98 {
					t.Errorf("%s: %.3f of the work of %d jobs completed on time after the burst, want at least 0.98", k.Name, share, jobs)
				}
			}
		})
	}
}

// table lists the shares of the work that were completed on time, by kind and zone, for jobs that arrived between
// from and to.
func (s *burstSite) table(from, to time.Duration) string {
	var text strings.Builder
	for _, zone := range append([]string{""}, zones...) {
		fmt.Fprintf(&text, "%-7s", zone)
		for _, k := range append([]variedKind{{}}, variedKinds...) {
			share, jobs := s.served(during(from, to, k.Name, zone))
			fmt.Fprintf(&text, " %s %.3f of %d", k.Name, share, jobs)
		}
		text.WriteString("\n")
	}
	return text.String()
}
