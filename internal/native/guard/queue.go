// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package guard

import (
	"container/heap"

	"sailhead/internal/native/model"
)

// queue orders waiting tasks by urgency, then by when they are due.
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

// Push appends a record; it serves container/heap.
func (q *queue) Push(x any) {
	r := x.(*record)
	r.position = len(*q)
	*q = append(*q, r)
}

// Pop removes the last record; it serves container/heap.
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

// overdue returns the waiting tasks for which the test holds.
func (q queue) filter(test func(Task) bool) []*record {
	var late []*record
	for _, r := range q {
		if test(r.task) {
			late = append(late, r)
		}
	}
	return late
}

// isBefore reports whether the task goes before the other.
func (t Task) isBefore(other Task) bool {
	if t.Urgency != other.Urgency {
		return t.Urgency > other.Urgency
	}
	if !t.Due.Equal(other.Due) {
		return t.Due.Before(other.Due)
	}
	return less(t.ID, other.ID)
}

func less(a, b model.TaskID) bool {
	if a.Key != b.Key {
		return a.Key < b.Key
	}
	return a.Index < b.Index
}
