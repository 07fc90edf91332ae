// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package shares

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minLengthRatio is the ratio of run times from which a longer task leaves capacity free for those of a shorter kind.
	minLengthRatio = 2
	// minTaskFraction is the fraction of the mean need of a kind from which capacity is reserved for a task, as many tasks need less than the
	// mean.
	minTaskFraction = 0.8
	// absentTime is the time without a new task after which no capacity is reserved for a kind. absentTasks is the same as a multiple of the
	// run time of its tasks, which applies if it is longer: a kind that continuously uses one core starts one task per run time.
	absentTime  = time.Second
	absentTasks = 5
	// taskWeight is the weight of a single task in the moving averages of its kind.
	taskWeight = 0.05
)

// HeadroomBound is the capacity that tasks with a run time above a threshold leave free for shorter ones.
type HeadroomBound struct {
	LongerThan time.Duration
	// CPU is in thousandths of a core.
	CPU int
}

// Kinds holds usage statistics of the kinds of jobs that use a worker. The zero value is not usable; see NewKinds.
type Kinds struct {
	kinds register[string, *kind]
}

// kind holds the statistics of one kind of job.
type kind struct {
	name string
	// length, slack and need are moving averages over its tasks: the estimated run time, how long a task can wait until its job has waited for as
	// long as its work takes, and the CPU it needs in thousandths of a core. All are zero before the first task.
	length time.Duration
	slack  time.Duration
	need   float64
	// arrived is when a task last requested capacity.
	arrived time.Time
	// charged is the charged work, which decays exponentially with usualTime, as of updated.
	charged Work
	updated time.Time
}

// NewKinds returns a Kinds without statistics.
func NewKinds() *Kinds {
	return &Kinds{kinds: newRegister[string, *kind]()}
}

// RecordArrival records a task that requests capacity: the CPU it needs in thousandths of a core, its estimated run time and its slack, which is
// how long it can wait until its job has waited for as long as its work takes.
func (k *Kinds) RecordArrival(now time.Time, name string, cpu int, length, slack time.Duration) {
	each := k.kind(now, name)
	each.arrived = now
	switch {
	case length <= 0 || cpu <= 0:
	case each.length == 0:
		each.length, each.slack, each.need = length, max(slack, 0), float64(cpu)
	default:
		each.length += time.Duration(taskWeight * float64(length-each.length))
		each.slack += time.Duration(taskWeight * float64(max(slack, 0)-each.slack))
		each.need += taskWeight * (float64(cpu) - each.need)
	}
}

// Charge charges a kind for work, or refunds it if the work is negative.
func (k *Kinds) Charge(now time.Time, name string, work Work) {
	each := k.kind(now, name)
	each.charged = max(each.charged+work, 0)
}

// kind returns the up-to-date statistics of a kind and creates them if necessary. New ones are not kept if there are too many.
func (k *Kinds) kind(now time.Time, name string) *kind {
	each := k.kinds.get(now, name, func() *kind { return &kind{name: name, updated: now} })
	each.update(now)
	return each
}

// update decays the charged work up to now.
func (k *kind) update(now time.Time) {
	if elapsed := now.Sub(k.updated); elapsed > 0 {
		k.charged *= decay(elapsed, usualTime)
		k.updated = now
	}
}

// usualWork implements user.
func (k *kind) usualWork() Work { return k.charged }

// Headroom returns the capacity that tasks leave free for shorter ones, ordered by Bound.LongerThan. inUse is the CPU currently used by the
// tasks of each kind, in thousandths of a core.
//
// Inputs: for each kind the run time of its tasks, their slack, what they need, and its usual and current usage of the worker.
//
// Rule: a task leaves capacity free for the kinds whose tasks take at most half as long and have less slack than it takes: their usual usage minus
// the current one, in whole tasks. Nothing is left for an absent kind (absentTime).
//
// Reason: capacity occupied by a long task is unavailable for its whole run time. A kind that can wait that long gets capacity through its
// share instead. Capacity for less than a whole task would remain unused, and so would capacity for a kind that may no longer run here or has
// no callers.
func (k *Kinds) Headroom(now time.Time, inUse map[string]int) []HeadroomBound {
	var bounds []HeadroomBound
	total := 0
	for _, each := range k.byLength() {
		each.update(now)
		usual := k.kinds.usualUse(now, each) * milliCores
		if reserved := each.wholeTasks(usual - float64(inUse[each.name])); reserved > 0 && !each.isAbsent(now) {
			total += reserved
			bounds = append(bounds, HeadroomBound{LongerThan: each.longerThan(), CPU: total})
		}
	}
	return bounds
}

// byLength returns the kinds that have had a task, ordered by longerThan.
func (k *Kinds) byLength() []*kind {
	known := make([]*kind, 0, len(k.kinds.users))
	for _, each := range k.kinds.users {
		if each.length > 0 {
			known = append(known, each)
		}
	}
	slices.SortFunc(known, func(a, b *kind) int {
		return cmp.Or(cmp.Compare(a.longerThan(), b.longerThan()), cmp.Compare(a.name, b.name))
	})
	return known
}

// isAbsent reports whether no task of the kind has requested capacity for so long that none is expected.
func (k *kind) isAbsent(now time.Time) bool {
	return now.Sub(k.arrived) > max(absentTime, absentTasks*k.length)
}

// longerThan returns the run time above which tasks leave capacity free for those of the kind.
func (k *kind) longerThan() time.Duration {
	return max(minLengthRatio*k.length, k.slack)
}

// wholeTasks rounds an amount of CPU to that of whole tasks of the kind, both in thousandths of a core. See minTaskFraction.
func (k *kind) wholeTasks(cpu float64) int {
	tasks := int(cpu/k.need + 1 - minTaskFraction)
	return max(tasks, 0) * int(k.need)
}

// HeadroomCPU returns the CPU that a task of the given estimated run time leaves free, in thousandths of a core.
func HeadroomCPU(bounds []HeadroomBound, length time.Duration) int {
	headroom := 0
	for _, b := range bounds {
		if length > b.LongerThan {
			headroom = b.CPU
		}
	}
	return headroom
}
