// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package shares

import (
	"cmp"
	"slices"
	"time"
)

const (
	// shorterBy is by how many times a task must take longer than those of a kind to leave room for them.
	shorterBy = 2
	// wholeTask is the part of the mean need of a kind from which on room is kept for a task of it: many need less than the mean.
	wholeTask = 0.8
	// absentTime is how long no task of a kind asks for room before none is kept for it, and absentTasks the same in times of its tasks, if that is
	// longer: of a kind that uses a core all the time one comes in each.
	absentTime  = time.Second
	absentTasks = 5
	// taskWeight is the weight of one task in the averages of its kind.
	taskWeight = 0.05
)

// Bound is the room that tasks which take longer than a time leave free for shorter ones.
type Bound struct {
	LongerThan time.Duration
	// CPU is in thousandths of a core.
	CPU int
}

// Kinds holds what is known of the kinds of jobs that use a worker. The zero value is not usable; see NewKinds.
type Kinds struct {
	kinds register[string, *kind]
}

// kind is what is known of one kind of job.
type kind struct {
	name string
	// length is the average estimated time of its tasks, slack how long they can wait, and need the CPU that they need in thousandths of a
	// core. All are zero before the first task.
	length time.Duration
	slack  time.Duration
	need   float64
	// arrived is when a task asked for room last.
	arrived time.Time
	// given is the work that it was given, which decays with usualTime, up to updated.
	given   Work
	updated time.Time
}

// NewKinds returns what is known before the first task.
func NewKinds() *Kinds {
	return &Kinds{kinds: newRegister[string, *kind]()}
}

// Arrived notes a task that asks for room: the CPU that it needs in thousandths of a core, its estimated time and how long it can wait.
func (k *Kinds) Arrived(now time.Time, name string, cpu int, length, slack time.Duration) {
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

// Charge adds work that a kind was given, or takes it back if it is negative.
func (k *Kinds) Charge(now time.Time, name string, work Work) {
	each := k.kind(now, name)
	each.given = max(each.given+work, 0)
}

// kind returns what is known of a kind, which it keeps unless there are too many.
func (k *Kinds) kind(now time.Time, name string) *kind {
	each := k.kinds.get(now, name, func() *kind { return &kind{name: name, updated: now} })
	each.update(now)
	return each
}

// update brings the sum up to now.
func (k *kind) update(now time.Time) {
	if elapsed := now.Sub(k.updated); elapsed > 0 {
		k.given *= decay(elapsed, usualTime)
		k.updated = now
	}
}

// usualWork returns the sum of which the usual use is made.
func (k *kind) usualWork() Work { return k.given }

// Headroom returns what tasks leave free for shorter ones, in the order of Bound.LongerThan. inUse is the CPU that tasks of each kind use now,
// in thousandths of a core.
//
// Inputs: for each kind how long its tasks take and can wait, what they need, what it usually uses of the worker and uses now.
//
// Rule: a task leaves room for the kinds whose tasks take half as long as it does or less, and cannot wait until it ends: what they usually use
// and do not use now, in whole tasks. A kind that is absent (absentTime) is left none.
//
// Reason: room that is taken by a long task is gone for all of that time. A kind that can wait as long gets it by its share instead. Less
// room than for a task would stay unused, as does room for a kind that may not run here any more or has no callers.
func (k *Kinds) Headroom(now time.Time, inUse map[string]int) []Bound {
	var bounds []Bound
	left := 0
	for _, each := range k.byLength() {
		each.update(now)
		usual := k.kinds.usualUse(now, each) * milliCores
		if room := each.wholeTasks(usual - float64(inUse[each.name])); room > 0 && !each.isAbsent(now) {
			left += room
			bounds = append(bounds, Bound{LongerThan: each.longerThan(), CPU: left})
		}
	}
	return bounds
}

// byLength returns the kinds of which tasks were noted, in the order of longerThan.
func (k *Kinds) byLength() []*kind {
	known := make([]*kind, 0, len(k.kinds.entries))
	for _, each := range k.kinds.entries {
		if each.length > 0 {
			known = append(known, each)
		}
	}
	slices.SortFunc(known, func(a, b *kind) int {
		return cmp.Or(cmp.Compare(a.longerThan(), b.longerThan()), cmp.Compare(a.name, b.name))
	})
	return known
}

// isAbsent reports whether no task of the kind has asked for room for so long that none is expected.
func (k *kind) isAbsent(now time.Time) bool {
	return now.Sub(k.arrived) > max(absentTime, absentTasks*k.length)
}

// longerThan returns from which time on tasks leave room for those of the kind.
func (k *kind) longerThan() time.Duration {
	return max(shorterBy*k.length, k.slack)
}

// wholeTasks returns the CPU of as many tasks of the kind as CPU suffices for, both in thousandths of a core.
func (k *kind) wholeTasks(cpu float64) int {
	tasks := int(cpu/k.need + 1 - wholeTask)
	return max(tasks, 0) * int(k.need)
}

// HeadroomCPU returns the CPU that a task of an estimated time leaves free, in thousandths of a core.
func HeadroomCPU(bounds []Bound, length time.Duration) int {
	left := 0
	for _, b := range bounds {
		if length > b.LongerThan {
			left = b.CPU
		}
	}
	return left
}
