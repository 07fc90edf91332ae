// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import "time"

// Lateness of the agent
//
// Inputs: the times between the ticks.
// Rule: the agent is as late as the latest tick of the last one to two latenessWindow.
// Reason: beside load, timers and answers are handled later than they are due, and what the agent dates by them looks older than it is.

const (
	// TickInterval is the time between two Ticked events: several in the shortest interval that the runner checks, stopRetryInterval.
	TickInterval = 20 * time.Millisecond
	// latenessWindow is the time over which the latest tick counts at least: longer than a task runs that is compared with another one.
	latenessWindow = time.Second
)

// lateness keeps by how much ticks were late. The zero value has seen none.
type lateness struct {
	// began is when the present window began. longest is the latest tick in it, and earlier that of the window before.
	began                           time.Time
	longestCurrent, longestPrevious time.Duration
}

// record notes the time between two ticks.
func (l *lateness) record(now time.Time, gap time.Duration) {
	if now.Sub(l.began) >= latenessWindow {
		l.began, l.longestCurrent, l.longestPrevious = now, 0, l.longestCurrent
	}
	l.longestCurrent = max(l.longestCurrent, gap-TickInterval)
}

// maxDelay returns by how much the agent may be late, with the next tick, for which it has waited for a time.
func (l *lateness) maxDelay(waited time.Duration) time.Duration {
	return max(l.longestCurrent, l.longestPrevious, waited-TickInterval)
}
