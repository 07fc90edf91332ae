// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"math"
	"time"
)

// This file limits the jobs that an entry accepts while its own VM cannot keep up.
//
// Inputs: for each start, the time until a load report of the agent counts it; the number of tasks that wait for a worker or
// for the load report that counts their start.
//
// Rule: the minimum of these times is taken over windows of at least congestionWindow and minCounted starts. If it exceeds
// maxCountTime the entry is congested, and accepts a job only while fewer tasks wait than are counted within maxCountTime. After
// each window without congestion the limit grows, and it is removed once less than half of it is used.
//
// Reason: under overload, messages queue at the VM's network link and processor. A single slow agent does not affect the
// minimum, while a slow entry delays the reports of all agents. An entry that then accepts every job completes hardly any of
// them: its pings, offers and loads are late too, so sessions end and starts are rejected, and both cost further messages. The
// capacity of the VM is not known in advance, but the delay of the load reports shows when it is exceeded.
//
// The jobs being handed over to other entries are limited by the same rule with a congestion value of their own (handover.go): a
// hand-over corresponds to a start, and the report that the other entry has taken the job corresponds to the load report.

const (
	// congestionWindow is the minimum length of a window, and minCounted the minimum number of counted starts in it.
	congestionWindow = 50 * time.Millisecond
	minCounted       = 8
	// maxCountTime is the minimum time from a start to the load report that counts it above which an entry is congested. A message
	// in each direction and the interval between two loads take less than half of it.
	maxCountTime = 40 * time.Millisecond
	// countRateTime is the time constant for averaging the rate of counted starts.
	countRateTime = 300 * time.Millisecond
	// minLimit is the lowest limit on waiting tasks, and limitGrowth the factor by which the limit grows after each window
	// without congestion.
	minLimit    = 8
	limitGrowth = 1.015
)

// congestion tracks whether an entry keeps up with its messages. The zero value is an entry that does.
type congestion struct {
	// windowStart is the start of the window, counted the number of starts counted in it, and shortest the shortest time of one.
	windowStart time.Time
	counted     int
	shortest    time.Duration
	// recent is the exponentially decayed number of counted starts, as of countedAt.
	recent    float64
	countedAt time.Time
	// limit is the number of waiting tasks below which another job is accepted, zero for no limit. maxWaiting is the largest
	// number of waiting tasks seen in the window on arrival of a job.
	limit      float64
	maxWaiting int
	// handOver is the share of the jobs that is handed over to other entries; see handover.go.
	handOver handOverShare
}

// startCounted records that a load report counts a start sent at the given time, or that another entry has taken a job handed
// over at that time.
func (c *congestion) startCounted(now, sent time.Time) {
	c.decay(now)
	c.recent++
	c.counted++
	if took := now.Sub(sent); c.counted == 1 || took < c.shortest {
		c.shortest = took
	}
	if now.Sub(c.windowStart) < congestionWindow || c.counted < minCounted {
		return
	}
	c.adjust(now.Sub(c.windowStart))
	c.windowStart, c.counted, c.maxWaiting = now, 0, 0
}

// adjust updates the limit and the hand-over share at the end of a window of the given length.
func (c *congestion) adjust(lasted time.Duration) {
	c.handOver = c.handOver.after(c.shortest, lasted)
	switch {
	case c.shortest > maxCountTime:
		c.limit = max(c.recent*float64(maxCountTime)/float64(countRateTime), minLimit)
	case float64(c.maxWaiting) < c.limit/2:
		c.limit = 0
	default:
		c.limit *= limitGrowth
	}
}

// decay reduces the weight of earlier starts by the time that has passed.
func (c *congestion) decay(now time.Time) {
	if !c.countedAt.IsZero() {
		c.recent *= math.Exp(-float64(now.Sub(c.countedAt)) / float64(countRateTime))
	}
	c.countedAt = now
}

// isLate reports whether the entry is congested or hands over jobs because it is close to that.
func (c *congestion) isLate() bool { return c.isLimited() || c.handOver > 0 }

// isLimited reports whether the number of waiting tasks is limited.
func (c *congestion) isLimited() bool { return c.limit > 0 }

// mayAccept reports whether another job may be accepted while the given number of tasks wait.
func (c *congestion) mayAccept(waiting int) bool {
	c.maxWaiting = max(c.maxWaiting, waiting)
	return float64(waiting) < c.limit
}

// pendingTasks returns the number of tasks that wait for a worker or for the load report that counts their start.
func (d *Dispatcher) pendingTasks() int {
	count := 0
	for _, a := range d.ordered {
		count += len(a.uncounted)
	}
	for _, j := range d.waiting {
		for _, t := range j.tasks {
			if t.state == taskPending {
				count++
			}
		}
	}
	return count
}
