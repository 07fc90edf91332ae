// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package admission

import (
	"time"

	"sailhead/internal/native/model"
)

// leastPart is the least part of the slots that is counted on for a kind, however much more urgent ones use.
const leastPart = 0.05

// Demand is the work that stands before a new task at some workers, as an immutable value.
type Demand struct {
	Slots int
	Ahead int
	Work  time.Duration
	// above is the number of slots that more urgent tasks to come will use.
	above float64
}

// With returns the demand with a worker's load added, as a task of the urgency sees it.
func (d Demand) With(load model.Load, urgency int) Demand {
	d.Slots += load.Slots
	d.Ahead += load.Ahead(urgency)
	d.Work += load.WorkAhead(urgency)
	d.above += load.ShareAbove(urgency) * float64(load.Slots)
	return d
}

// WithTasks returns the demand with so many tasks of a mean service time added.
func (d Demand) WithTasks(tasks int, mean time.Duration) Demand {
	d.Ahead += tasks
	d.Work += time.Duration(tasks) * mean
	return d
}

// Wait returns how long it takes until the last of the work has found a slot.
func (d Demand) Wait() time.Duration {
	if d.Ahead <= d.Slots {
		return 0
	}
	slots := max(float64(d.Slots)-d.above, leastPart*float64(d.Slots))
	return time.Duration(float64(d.Work) / slots)
}

// Wait returns how long a new task of the urgency waits at one worker.
func Wait(load model.Load, urgency int) time.Duration {
	demand := Demand{}.With(load, urgency)
	demand.Ahead++
	return demand.Wait()
}
