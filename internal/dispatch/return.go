// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"math"
	"math/rand/v2"
	"time"
)

// This file determines when the callers of refused jobs may submit them again.

const (
	// RetryAfter is the minimum time after which the caller of a refused job may submit it again. Callers are told whole seconds,
	// so one second is the least.
	RetryAfter = time.Second
	// maxRetryAfter is the maximum time: the load known to an entry does not predict the load later than that.
	maxRetryAfter = 10 * time.Second
	// returnShare is the fraction of the recent rate of work at which callers return. New callers come meanwhile and are served in the same
	// order, so callers that return at the full rate are refused again.
	returnShare = 0.25
	// rateWindow is the time constant for averaging the rate of work. It is longer than the longest tasks and shorter than a burst.
	rateWindow = 2 * time.Second
)

// work is an amount of computation in thousandths of a core times seconds.
type work float64

// workOf returns the work of a number of tasks with the same CPU need, in thousandths of a core, and the same duration.
func workOf(tasks, cpu int, each time.Duration) work {
	return work(float64(tasks*cpu) * each.Seconds())
}

// recentWork is an amount of work in which each addition is weighted by exp(-age/window). The zero value is empty.
type recentWork struct {
	sum     work
	updated time.Time
}

// add adds an amount of work.
func (r *recentWork) add(now time.Time, w work, window time.Duration) {
	r.decay(now, window)
	r.sum += w
}

// decay updates the sum to the given time.
func (r *recentWork) decay(now time.Time, window time.Duration) {
	age := now.Sub(r.updated)
	r.sum *= work(math.Exp(-age.Seconds() / window.Seconds()))
	r.updated = now
}

// retrySchedule spreads the returns of refused callers over the time in which there will be resources for them. The zero value has
// no recent work.
type retrySchedule struct {
	// recent is the completed work, averaged over rateWindow.
	recent recentWork
	// next is the time at which the caller refused last is to return.
	next time.Time
}

// done adds completed work.
func (p *retrySchedule) done(now time.Time, w work) {
	p.recent.add(now, w, rateWindow)
}

// nextReturn returns the time after which the caller of a refused job may return. ok is false if there was too little work recently
// to determine it.
//
// Inputs: the work of the job; the recently completed work of the tasks of this entry; the time given to the previous refused caller.
//
// Rule: a caller returns later than the previously refused one by the time that its job takes at returnShare of the rate of work, but
// not before RetryAfter. A time beyond maxRetryAfter is replaced by a random one between half of maxRetryAfter and maxRetryAfter.
//
// Reason: jobs are refused in bursts. Callers that return together cause the next burst, and callers that return in the order of
// their refusals wait about equally long. The rate of work shows when there will be resources for them on a site of any size.
func (p *retrySchedule) nextReturn(now time.Time, w work, random *rand.Rand) (wait time.Duration, ok bool) {
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

// retryAfter returns the time after which the caller of a job that is refused for lack of resources may submit it again. If the
// entry has done no work recently, as after a restart, it is a random time between RetryAfter and twice that, so that the callers
// do not return together.
func (d *Dispatcher) retryAfter(now time.Time, j *job) time.Duration {
	if wait, ok := d.returns.nextReturn(now, j.work(), d.random); ok {
		return wait
	}
	return d.jitteredRetryAfter()
}

// jitteredRetryAfter returns a random time between RetryAfter and twice that. It is for callers that another entry may serve at once.
func (d *Dispatcher) jitteredRetryAfter() time.Duration {
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
