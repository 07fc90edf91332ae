// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package guard

import (
	"container/heap"

	"sailhead/internal/native/model"
)

// queue is a heap of the waiting tasks. The order is that of Task.isBefore.
type queue []*record

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	return q[i].task.isBefore(q[j].task)
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].position = i
	q[j].position = j
}

// Push appends a record; container/heap calls it.
func (q *queue) Push(x any) {
	r := x.(*record)
	r.position = len(*q)
	*q = append(*q, r)
}

// Pop removes the last record; container/heap calls it.
func (q *queue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return r
}

func (q *queue) add(r *record)    { heap.Push(q, r) }
func (q *queue) next() *record    { return heap.Pop(q).(*record) }
func (q *queue) remove(r *record) { heap.Remove(q, r.position) }

// filter returns the waiting tasks for which a test holds, in no particular order.
func (q queue) filter(test func(Task) bool) []*record {
	var late []*record
	for _, r := range q {
		if test(r.task) {
			late = append(late, r)
		}
	}
	return late
}

// isBefore reports whether the task starts before another one that waits.
//
// Inputs: the urgency of the kind (9 is the most urgent), the time at which the owner says the task is due, and the id.
//
// Rule: the higher urgency first, then the earlier due time, then the lower id.
//
// Reason: urgent kinds lose nothing to less urgent ones. The due time is later for large jobs, so that a single task
// does not wait for all their tasks (owner/order.go). The id only makes the order definite.
func (t Task) isBefore(other Task) bool {
	if t.Urgency != other.Urgency {
		return t.Urgency > other.Urgency
	}
	if !t.Due.Equal(other.Due) {
		return t.Due.Before(other.Due)
	}
	return less(t.ID, other.ID)
}

// less reports whether the id a is lower than b.
func less(a, b model.TaskID) bool {
	if a.Key != b.Key {
		return a.Key < b.Key
	}
	return a.Index < b.Index
}
