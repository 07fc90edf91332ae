// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package agent

import (
	"testing"
	"time"
)

// A start that an earlier process sent may arrive at the worker after the first call of this one, which must fence it.
func TestARestartWithinASecondHasAHigherFence(t *testing.T) {
	started := time.Unix(1_000_000, 0)
	earlier, later := newFence(started), newFence(started.Add(10*time.Millisecond))
	if later <= earlier {
		t.Errorf("the process that started 10 ms later has the fencing token %d, the earlier one %d", later, earlier)
	}
}
