// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"fmt"
	"strings"
	"time"
)

// eventTrace lists events with their times. Equal events in succession share a line.
type eventTrace struct {
	lines    []tracedEvent
	isClosed bool
}

type tracedEvent struct {
	first, last time.Duration
	count       int
	text        string
}

// add adds an event, unless the trace is closed.
func (t *eventTrace) add(at time.Duration, text string) {
	if t.isClosed {
		return
	}
	if last := len(t.lines) - 1; last >= 0 && t.lines[last].text == text {
		t.lines[last].last = at
		t.lines[last].count++
		return
	}
	t.lines = append(t.lines, tracedEvent{first: at, last: at, count: 1, text: text})
}

// close ends the trace.
func (t *eventTrace) close() { t.isClosed = true }

// String returns a line per event, with the time in milliseconds.
func (t *eventTrace) String() string {
	var b strings.Builder
	for _, e := range t.lines {
		fmt.Fprintf(&b, "%9.1f  %s", milliseconds(e.first), e.text)
		if e.count > 1 {
			fmt.Fprintf(&b, " (%d times until %.1f)", e.count, milliseconds(e.last))
		}
		b.WriteByte('\n')
	}
	return b.String()
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
