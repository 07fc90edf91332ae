// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// compareJobs compares two jobs by the order in which they are placed: by urgency, then by arrival. It returns a negative
// number if a comes before b.
func compareJobs(a, b *job) int {
	return cmp.Or(a.urgency().Compare(b.urgency()), cmp.Compare(a.number, b.number))
}

// sortWaiting sorts the waiting jobs by compareJobs, unless they are sorted.
func (d *Dispatcher) sortWaiting() {
	if !d.isWaitingSorted {
		slices.SortFunc(d.waiting, compareJobs)
		d.isWaitingSorted = true
	}
}

// enqueue adds a job to the waiting ones if it is not among them yet.
func (d *Dispatcher) enqueue(j *job) {
	d.isPlaceDue = true
	if !slices.Contains(d.waiting, j) {
		d.waiting = append(d.waiting, j)
		d.isWaitingSorted = false
	}
}

// dequeue removes a job from the waiting ones.
func (d *Dispatcher) dequeue(j *job) {
	if at := slices.Index(d.waiting, j); at >= 0 {
		d.waiting = slices.Delete(d.waiting, at, at+1)
		d.isPlaceDue = true
	}
}

// dequeueUnlessPending removes a job from the waiting ones unless it has a task that can be placed now, or as soon as an
// earlier run of that task has ended.
func (d *Dispatcher) dequeueUnlessPending(now time.Time, j *job) {
	for _, t := range j.tasks {
		if t.awaitsEnd(now) || t.state == taskPending && j.isReady(t.step) {
			return
		}
	}
	d.dequeue(j)
}
