// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"fmt"
	"testing"
	"time"
)

// TestManyLookupsWantOneRack plays the pattern of a hot rack: of 48 workers eight have the data of most of the lookups. On other workers these take
// three times as long, and are late. The rack has room for all of them, if the other jobs, half of what it does otherwise, leave it to them; they
// come unasked and end within a second. No other kind may lose by it.
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
					t.Errorf("%s: %.3f of the work of %d jobs on time, want %.2f", k.Name, share, jobs, least)
				}
			}
		})
	}
}
