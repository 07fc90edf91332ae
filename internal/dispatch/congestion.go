// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import "time"

// This file limits the jobs that an entry accepts when its own VM cannot keep up.
//
// Inputs: for each start, the time until a load counts it; the jobs that were accepted.
//
// Rule: over windows of congestionWindow, and of minCounted starts, the shortest of these times is taken. If it is longer than maxCountTime
// the entry is congested, and accepts fewer jobs a second than it did in the window; if it is not, it accepts more again, until
// it has no limit.
//
// Reason: messages wait in the queues of the VM's link and processor. A single agent that is slow does not show in the shortest time,
// an entry that is late makes all agents look late. One that accepts all jobs then serves hardly any: their pings, offers and
// loads are late too, so that sessions end, starts are rejected, and both cost further messages.

const (
	// congestionWindow is the least time over which the shortest time is taken.
	congestionWindow = 100 * time.Millisecond
	// minCounted is the least number of starts in a window. A window without as many ends after maxCongestionWindow, and says nothing.
	minCounted          = 8
	maxCongestionWindow = time.Second
	// maxCountTime is the shortest time from a start to the load that counts it from which an entry is congested: a message each way and
	// the time between two loads take less than half.
	maxCountTime = 60 * time.Millisecond
	// congestedShare is the part of the jobs that were accepted in a window which is accepted in the next one while congested.
	congestedShare = 0.7
	// recoveryFactor is by how much the limit grows with each window that is not congested.
	recoveryFactor = 1.1
	// minAcceptRate is the least limit, in jobs a second.
	minAcceptRate = 5
	// maxUnusedLimit is how many times the accepted jobs a limit is when it ends.
	maxUnusedLimit = 2
)

// congestion is what an entry knows of its own lateness. The zero value is that of one that keeps up.
type congestion struct {
	// began is when the window began, counted its number of counted starts, shortest the shortest time of one.
	began    time.Time
	counted  int
	shortest time.Duration
	// accepted is the number of jobs that were accepted in the window.
	accepted int
	// isCongested is set after a window with a long shortest time.
	isCongested bool
	// limit is the largest number of jobs that are accepted a second, zero for no limit.
	limit float64
	// allowance is how many jobs may be accepted at once at refilled.
	allowance float64
	refilled  time.Time
}

// countedAfter notes the time from a start to the load that counts it.
func (c *congestion) countedAfter(now time.Time, took time.Duration) {
	c.counted++
	if c.counted == 1 || took < c.shortest {
		c.shortest = took
	}
	c.endWindowIfDue(now)
}

// endWindowIfDue ends the window if it is long enough.
func (c *congestion) endWindowIfDue(now time.Time) {
	length := now.Sub(c.began)
	isComplete := length >= congestionWindow && c.counted >= minCounted
	if !isComplete && length < maxCongestionWindow {
		return
	}
	c.isCongested = isComplete && c.shortest > maxCountTime
	c.adjust(now, float64(c.accepted)/length.Seconds())
	c.began, c.counted, c.accepted = now, 0, 0
}

// adjust sets the limit after a window in which so many jobs were accepted a second.
func (c *congestion) adjust(now time.Time, acceptRate float64) {
	switch {
	case c.isCongested:
		c.limit = max(congestedShare*acceptRate, minAcceptRate)
		c.refilled = now
	case c.limit > maxUnusedLimit*acceptRate:
		c.limit = 0
	default:
		c.limit *= recoveryFactor
	}
}

// accept reports whether another job may be accepted, and counts it if so.
func (c *congestion) accept(now time.Time) bool {
	if c.limit > 0 {
		c.allowance = min(c.allowance+c.limit*now.Sub(c.refilled).Seconds(), c.limit*congestionWindow.Seconds()+1)
		c.refilled = now
		if c.allowance < 1 {
			return false
		}
		c.allowance--
	}
	c.accepted++
	return true
}
