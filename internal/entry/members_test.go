// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"testing"
	"time"

	"sailhead/internal/timing"
)

func TestTheDelayBetweenExchangesDoublesUntilOneSucceeds(t *testing.T) {
	delay := firstExchangeDelay
	for _, want := range []time.Duration{100, 200, 400, 450, 450} {
		if delay = nextExchangeDelay(delay, false); delay != want*time.Millisecond {
			t.Errorf("after a failure %s, want %s", delay, want*time.Millisecond)
		}
	}
	if got := nextExchangeDelay(firstExchangeDelay, true); got != timing.ExchangeInterval {
		t.Errorf("after a success %s, want %s", got, timing.ExchangeInterval)
	}
	if got := nextExchangeDelay(timing.ExchangeInterval, false); got != timing.ExchangeInterval {
		t.Errorf("after a later failure %s, want %s", got, timing.ExchangeInterval)
	}
}
