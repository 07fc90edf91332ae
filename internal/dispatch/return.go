// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"math"
	"math/rand/v2"
	"time"
)

// This file decides when the callers of refused jobs are asked to return.

const (
	// RetryAfter is the shortest time after which the caller of a refused job may submit it again: one second is the least that
	// callers are told, in whole seconds.
	RetryAfter = time.Second
	// maxRetryAfter is the longest such time. What an entry knows of its load says nothing of later.
	maxRetryAfter = 10 * time.Second
	// returnShare is the part, 0 to 1, of the work done lately that returning callers are expected to bring. It is that of the free
	// resources with which late retries are placed (lateRetryFreeShare): the rest is for new callers.
	returnShare = lateRetryFreeShare
	// rateWindow is the time over which the rate of work is averaged: more than the longest tasks take, less than a burst.
	rateWindow = 2 * time.Second
)

// work is an amount of computing: thousandths of a core times seconds.
type work float64

// workOf returns the work of a number of tasks with the same needs and time, in thousandths of a core and seconds.
func workOf(tasks, cpu int, each time.Duration) work {
	return work(float64(tasks*cpu) * each.Seconds())
}

// recentWork is an amount of work of which each piece is weighted by exp(-age/window). The zero value is none.
type recentWork struct {
	sum     work
	updated time.Time
}

// add adds a piece.
func (r *recentWork) add(now time.Time, w work, window time.Duration) {
	r.decay(now, window)
	r.sum += w
}

// decay brings the sum up to a time.
func (r *recentWork) decay(now time.Time, window time.Duration) {
	age := now.Sub(r.updated)
	r.sum *= work(math.Exp(-age.Seconds() / window.Seconds()))
	r.updated = now
}

// returnPlan spreads the returns of refused callers over the time in which there will be room for them. The zero value has
// seen no work.
type returnPlan struct {
	// recent is the work done, over rateWindow.
	recent recentWork
	// next is when the caller that was refused last is to return.
	next time.Time
}

// done adds work that was done.
func (p *returnPlan) done(now time.Time, w work) {
	p.recent.add(now, w, rateWindow)
}

// plan returns after which time the caller of a refused job may return; ok is false if no work was done lately.
//
// Inputs: the work of the job, the work that the tasks of this entry did lately, the time that the caller refused before was given.
//
// Rule: a caller returns after the one that was refused before it, by the time that its job takes at returnShare of the rate of
// work; RetryAfter at least. Beyond maxRetryAfter it is a random time in the second half of that.
//
// Reason: jobs are refused in bursts. Callers that return together make the next one, and callers that return in the order in
// which they were refused wait about equally long. The rate says when there is room for them, whatever the size of the site.
func (p *returnPlan) plan(now time.Time, w work, random *rand.Rand) (wait time.Duration, ok bool) {
	p.recent.decay(now, rateWindow)
	rate := returnShare * float64(p.recent.sum) / rateWindow.Seconds()
	if rate <= 0 || float64(w)/rate > maxRetryAfter.Seconds() {
		return 0, false
	}
	p.next = p.next.Add(time.Duration(float64(w) / rate * float64(time.Second)))
	if earliest := now.Add(RetryAfter); p.next.Before(earliest) {
		p.next = earliest
	}
	if latest := now.Add(maxRetryAfter); p.next.After(latest) {
		p.next = latest
		return maxRetryAfter/2 + time.Duration(random.Int64N(int64(maxRetryAfter/2))), true
	}
	return p.next.Sub(now), true
}

// retryAfter returns the time after which the caller of a job that is refused for lack of room may submit it again. If the entry
// has done no work lately, as after a restart, it is a random time between RetryAfter and twice that, so that the callers
// do not return together.
func (d *Dispatcher) retryAfter(now time.Time, j *job) time.Duration {
	if wait, ok := d.returns.plan(now, j.work(), d.random); ok {
		return wait
	}
	return d.soon()
}

// soon returns a random time between RetryAfter and twice that. It is for callers that another entry may serve at once.
func (d *Dispatcher) soon() time.Duration {
	return RetryAfter + time.Duration(d.random.Int64N(int64(RetryAfter)+1))
}

// work returns the expected work of all tasks of the job.
func (j *job) work() work {
	var sum work
	for i, step := range j.Steps {
		sum += workOf(step.Count, step.Needs.CPU, j.times[i].task)
	}
	return sum
}
