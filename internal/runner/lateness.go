// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import "time"

// Event-handling delay of the agent
//
// Inputs: the times between ticks.
// Rule: the delay is that of the most delayed tick within the current and the previous latenessWindow.
// Reason: under load, timers and answers are handled later than they are due, so the ages that the agent derives from
// them are too high.

const (
	// TickInterval is the time between two Ticked events. It is a fraction of stopRetryInterval, the shortest interval
	// that the runner checks.
	TickInterval = 20 * time.Millisecond
	// latenessWindow is the shortest time for which a late tick counts. It is longer than the run time of tasks whose
	// ages are compared.
	latenessWindow = time.Second
)

// lateness tracks by how much ticks were late. The zero value has recorded none.
type lateness struct {
	// began is the start of the current window. longestCurrent is the longest delay in it, and longestPrevious that in
	// the previous window.
	began                           time.Time
	longestCurrent, longestPrevious time.Duration
}

// record adds the time between two ticks.
func (l *lateness) record(now time.Time, gap time.Duration) {
	if now.Sub(l.began) >= latenessWindow {
		l.began, l.longestCurrent, l.longestPrevious = now, 0, l.longestCurrent
	}
	l.longestCurrent = max(l.longestCurrent, gap-TickInterval)
}

// maxDelay returns the longest recent delay, including that of the next tick, which has been awaited for the given
// time.
func (l *lateness) maxDelay(waited time.Duration) time.Duration {
	return max(l.longestCurrent, l.longestPrevious, waited-TickInterval)
}

// maxDelay returns the longest delay with which the agent may have handled recent events.
func (r *Runner) maxDelay(now time.Time) time.Duration {
	return r.lateness.maxDelay(now.Sub(r.lastTick))
}
