// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"math"
	"time"
)

// This file limits the jobs that an entry accepts when its own VM cannot keep up.
//
// Inputs: for each start, the time until a load counts it; the tasks that wait for a worker or for the load that counts their start.
//
// Rule: over windows of congestionWindow, and of minCounted starts, the shortest of these times is taken. If it is longer than maxCountTime
// the entry is congested, and accepts a job only while fewer tasks wait than it gets counted in maxCountTime. After a window in which it is
// not congested it lets more of them wait, and any number once half of that is not used.
//
// Reason: messages wait in the queues of the VM's link and processor. A single agent that is slow does not show in the shortest time,
// an entry that is late makes all agents look late. One that accepts all jobs then serves hardly any: their pings, offers and
// loads are late too, so that sessions end, starts are rejected, and both cost further messages. What the VM carries is not known
// beforehand, but the loads that come back show it.
//
// The jobs on their way to other entries are limited by the same rule, with a congestion of their own (handover.go): a hand-over counts as a
// start, and the report that the other entry has taken it as the load.

const (
	// congestionWindow is the least time over which the shortest time is taken, and minCounted the least number of starts.
	congestionWindow = 50 * time.Millisecond
	minCounted       = 8
	// maxCountTime is the shortest time from a start to the load that counts it from which an entry is congested: a message each way and
	// the time between two loads take less than half.
	maxCountTime = 40 * time.Millisecond
	// countRateTime is the time over which the rate of counted starts is averaged.
	countRateTime = 300 * time.Millisecond
	// minWaiting is the least limit of the tasks that wait, and limitGrowth by how many times it grows with each window that is not congested.
	minWaiting  = 8
	limitGrowth = 1.015
)

// congestion is what an entry knows of its own lateness. The zero value is that of one that keeps up.
type congestion struct {
	// began is when the window began, counted its number of counted starts, shortest the shortest time of one.
	began    time.Time
	counted  int
	shortest time.Duration
	// recent is the number of counted starts, of which older ones count less, as of countedAt.
	recent    float64
	countedAt time.Time
	// limit is how many tasks may wait when another job is accepted, zero for any number. mostWaiting is how many have waited in the window
	// when a job came.
	limit       float64
	mostWaiting int
	// handOver is the part of the jobs that is handed over to other entries; see handover.go.
	handOver handOverShare
}

// startCounted notes that a load counts a start that was sent at a time, or that another entry has taken a job that was.
func (c *congestion) startCounted(now, sent time.Time) {
	c.decay(now)
	c.recent++
	c.counted++
	if took := now.Sub(sent); c.counted == 1 || took < c.shortest {
		c.shortest = took
	}
	if now.Sub(c.began) < congestionWindow || c.counted < minCounted {
		return
	}
	c.adjust(now.Sub(c.began))
	c.began, c.counted, c.mostWaiting = now, 0, 0
}

// adjust sets the limit at the end of a window that lasted for some time.
func (c *congestion) adjust(lasted time.Duration) {
	c.handOver = c.handOver.after(c.shortest, lasted)
	switch {
	case c.shortest > maxCountTime:
		c.limit = max(c.recent*float64(maxCountTime)/float64(countRateTime), minWaiting)
	case float64(c.mostWaiting) < c.limit/2:
		c.limit = 0
	default:
		c.limit *= limitGrowth
	}
}

// decay lets the earlier starts count less.
func (c *congestion) decay(now time.Time) {
	if !c.countedAt.IsZero() {
		c.recent *= math.Exp(-float64(now.Sub(c.countedAt)) / float64(countRateTime))
	}
	c.countedAt = now
}

// isLate reports whether the entry is late, or nearly so.
func (c *congestion) isLate() bool { return c.isLimited() || c.handOver > 0 }

// isLimited reports whether the number of tasks that wait matters.
func (c *congestion) isLimited() bool { return c.limit > 0 }

// mayAccept reports whether another job may be accepted while so many tasks wait.
func (c *congestion) mayAccept(waiting int) bool {
	c.mostWaiting = max(c.mostWaiting, waiting)
	return float64(waiting) < c.limit
}

// tasksUnderWay returns the number of tasks that wait for a worker or for the load that counts their start.
func (d *Dispatcher) tasksUnderWay() int {
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
