// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package agent

import (
	"testing"
	"time"
)

// A start request sent by the previous agent process may reach the worker after the first call of the new process. The
// worker rejects it only if the new process has the higher fencing token.
func TestARestartWithinASecondHasAHigherFence(t *testing.T) {
	started := time.Unix(1_000_000, 0)
	earlier, later := newFencingToken(started), newFencingToken(started.Add(10*time.Millisecond))
	if later <= earlier {
		t.Errorf("the process that started 10 ms later has the fencing token %d, the earlier one %d", later, earlier)
	}
}
