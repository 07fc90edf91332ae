// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import "sync"

// waiters holds the requests of one sort that wait for an answer of the event loop. It is safe for concurrent use.
type waiters[ID ~uint64, Answer any] struct {
	mu      sync.Mutex
	last    ID
	answers map[ID]chan Answer
}

func newWaiters[ID ~uint64, Answer any]() *waiters[ID, Answer] {
	return &waiters[ID, Answer]{answers: make(map[ID]chan Answer)}
}

// add returns the id of a new request and the channel on which its answer comes. The caller removes the id if it stops
// waiting before that.
func (w *waiters[ID, Answer]) add() (ID, <-chan Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last++
	// One place is enough: a request is answered once, and an answer must not block the event loop.
	answer := make(chan Answer, 1)
	w.answers[w.last] = answer
	return w.last, answer
}

// answer answers a request. A request that was removed gets no answer.
func (w *waiters[ID, Answer]) answer(id ID, answer Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if waiting, ok := w.answers[id]; ok {
		waiting <- answer
		delete(w.answers, id)
	}
}

// remove forgets a request.
func (w *waiters[ID, Answer]) remove(id ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.answers, id)
}

// count returns how many requests wait.
func (w *waiters[ID, Answer]) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.answers)
}
