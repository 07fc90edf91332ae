// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// compareJobs returns the order in which jobs are placed: negative if a comes before b.
//
// Inputs: whether a task of the job was ever sent, whether it is a late retry, the priority of its kind (0 is the most
// urgent), its place in the order of arrival.
//
// Rule: jobs of which a task was sent, then jobs that are not late retries, then by priority, then by arrival.
//
// Reason: the runs of a begun job are lost work unless the rest of the job is done. For late retries see retry.go.
//
// Measured: begun jobs first came with placing a part of a job (commit 6a302a7, see place.go); the rest is not
// measured.
func compareJobs(a, b *job) int {
	return cmp.Or(
		compareTrueFirst(a.everSent, b.everSent),
		compareTrueFirst(!a.lateRetry, !b.lateRetry),
		cmp.Compare(a.Kind.Priority, b.Kind.Priority),
		cmp.Compare(a.number, b.number),
	)
}

// compareTrueFirst returns the order of two booleans with true first.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// enqueue adds a job to the waiting ones if it is not one of them.
func (d *Dispatcher) enqueue(j *job) {
	if slices.Contains(d.waiting, j) {
		return
	}
	at, _ := slices.BinarySearchFunc(d.waiting, j, compareJobs)
	d.waiting = slices.Insert(d.waiting, at, j)
}

// dequeue removes a job from the waiting ones.
func (d *Dispatcher) dequeue(j *job) {
	if at := slices.Index(d.waiting, j); at >= 0 {
		d.waiting = slices.Delete(d.waiting, at, at+1)
	}
}

// requeue moves a job to its new place after a task of it was sent for the first time.
func (d *Dispatcher) requeue(j *job) {
	d.dequeue(j)
	d.enqueue(j)
}

// dequeueUnlessPending removes a job from the waiting ones if none of its tasks can be placed before another one ends.
func (d *Dispatcher) dequeueUnlessPending(now time.Time, j *job) {
	for _, t := range j.tasks {
		if t.awaitsEnd(now) || t.state == taskPending && j.isReady(t.step) {
			return
		}
	}
	d.dequeue(j)
}
