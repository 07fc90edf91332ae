// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"fmt"
	"testing"
	"time"
)

// TestManyLookupsWantOneRack covers a hot rack: eight of 48 workers hold the data of most lookups. On other workers
// these lookups take three times as long, and are late. The rack has capacity for all of them if other jobs, which
// are half of its usual load, leave it to them. These are placed there regardless of the rack, and end within a
// second. No other kind may be served worse.
func TestManyLookupsWantOneRack(t *testing.T) {
	for _, test := range []struct{ share, least float64 }{{0.3, 0.97}, {0.9, 0.8}} {
		t.Run(fmt.Sprintf("share %.1f", test.share), func(t *testing.T) {
			t.Parallel()
			s := newBurstSiteWith(1, 8, 48, 0.6, func(s *site) { s.limits.CrossRackFactor, s.crossRackFactor = 3, 3 })
			s.hotRack, s.hotShare = "rack-0", test.share
			s.simulate(6 * time.Second)
			for _, k := range variedKinds {
				least := 0.98
				if k.Name == "lookup" {
					least = test.least
				}
				if share, jobs := s.served(during(2*time.Second, 6*time.Second, k.Name, "")); share < least {
					t.Errorf("%s: %.3f of the work of %d jobs completed on time, want at least %.2f", k.Name, share, jobs, least)
				}
			}
		})
	}
}
