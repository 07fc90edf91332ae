// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package logging

import (
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// maxLateness is how late a tick of an event loop may be without a line. It is less than the silence after which other processes
// suspect this one, so that a log tells whether the process stood still or was cut off.
const maxLateness = 250 * time.Millisecond

// Lateness logs when the ticks of an event loop come late: the process was not scheduled, was suspended, or was busy with one
// event for as long. It is not safe for concurrent use.
type Lateness struct {
	logger   log.Logger
	interval time.Duration
	last     time.Time
}

// NewLateness returns a Lateness for a loop with a tick each interval.
func NewLateness(logger log.Logger, interval time.Duration) *Lateness {
	return &Lateness{logger: logger, interval: interval}
}

// Ticked notes a tick at a time.
func (l *Lateness) Ticked(now time.Time) {
	late := now.Sub(l.last) - l.interval
	if !l.last.IsZero() && late > maxLateness {
		_ = level.Warn(l.logger).Log("msg", "event loop late", "by", late.Round(time.Millisecond))
	}
	l.last = now
}
