// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package owner

import "time"

// sizeWeight is how many mean service times later a job is due that would fill every slot once; see dueTime.
const sizeWeight = 32

// dueTime returns the time by which the guards order the tasks of a job among those of the same urgency.
//
// Inputs: the number of tasks of the job, the mean service time of its kind, the slots of all workers, the job's
// deadline.
//
// Rule: a job is due one mean service time from now, and sizeWeight mean service times later for each time that its
// tasks would fill every slot, but never after its deadline.
//
// Reason: a single task does not wait for all tasks of a large job that came a little earlier. The due time is fixed
// once, so a large job is overtaken only for a bounded time.
func (o *Owner) dueTime(now time.Time, j *job) time.Time {
	mean := o.estimator.Of(kindName(j.model), j.kind.Expected).Mean
	size := float64(len(j.tasks)) / float64(max(o.view.Slots(), 1))
	due := now.Add(mean + time.Duration(sizeWeight*size*float64(mean)))
	if due.After(j.model.Deadline) {
		return j.model.Deadline
	}
	return due
}
