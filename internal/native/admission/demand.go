// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package admission

import (
	"time"

	"sailhead/internal/native/model"
)

// minSlotShare is the smallest part, 0 to 1, of the slots that Demand.Wait counts on for an urgency, however much of them more urgent tasks
// use. It keeps the wait finite.
const minSlotShare = 0.05

// Demand is the work before a new task at one or more workers, as an immutable value.
type Demand struct {
	Slots int
	// Ahead counts the running tasks and those that are started before the new one.
	Ahead int
	// Work is the expected service time that these tasks have left, all together.
	Work time.Duration
	// above is the number of slots that more urgent tasks are expected to use meanwhile.
	above float64
}

// With returns the demand with the load of a worker added, as far as it is ahead of a task of the urgency.
func (d Demand) With(load model.Load, urgency int) Demand {
	d.Slots += load.Slots
	d.Ahead += load.Ahead(urgency)
	d.Work += load.WorkAhead(urgency)
	d.above += load.ShareAbove(urgency) * float64(load.Slots)
	return d
}

// WithTasks returns the demand with a number of tasks added, each of the mean service time.
func (d Demand) WithTasks(tasks int, mean time.Duration) Demand {
	d.Ahead += tasks
	d.Work += time.Duration(tasks) * mean
	return d
}

// Wait returns how long it takes until the last of the tasks has a slot.
//
// Inputs: the number of slots and of tasks, the expected work, and the part of the slots that each more urgent kind
// used lately, as guards report it (guard.usage).
//
// Rule: there is no wait while the tasks fit the slots. Otherwise the wait is the work divided by the slots that more
// urgent tasks leave, of which there are at least minSlotShare.
//
// Reason: expected work counts, not the number of tasks, as kinds differ in service time; and more urgent tasks that
// arrive later are started first.
func (d Demand) Wait() time.Duration {
	if d.Ahead <= d.Slots {
		return 0
	}
	slots := max(float64(d.Slots)-d.above, minSlotShare*float64(d.Slots))
	return time.Duration(float64(d.Work) / slots)
}

// Wait returns how long a new task of the urgency waits at one worker. The task itself adds no work, as it only needs
// to start.
func Wait(load model.Load, urgency int) time.Duration {
	demand := Demand{}.With(load, urgency)
	demand.Ahead++
	return demand.Wait()
}
