// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import "sync"

// waiters holds requests of one type that wait for an answer from the event loop. It is safe for concurrent use.
type waiters[ID ~uint64, Answer any] struct {
	mu      sync.Mutex
	last    ID
	answers map[ID]chan Answer
}

func newWaiters[ID ~uint64, Answer any]() *waiters[ID, Answer] {
	return &waiters[ID, Answer]{answers: make(map[ID]chan Answer)}
}

// add returns the id of a new request and the channel that receives its answer. The caller must remove the id if it stops
// waiting before the answer arrives.
func (w *waiters[ID, Answer]) add() (ID, <-chan Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last++
	// The buffer keeps the answer from blocking the event loop. One element suffices, as a request is answered only once.
	answer := make(chan Answer, 1)
	w.answers[w.last] = answer
	return w.last, answer
}

// answer answers a request. It does nothing if the request was answered or removed before.
func (w *waiters[ID, Answer]) answer(id ID, answer Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if waiting, ok := w.answers[id]; ok {
		waiting <- answer
		delete(w.answers, id)
	}
}

// remove removes a request without an answer.
func (w *waiters[ID, Answer]) remove(id ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.answers, id)
}

// count returns the number of waiting requests.
func (w *waiters[ID, Answer]) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.answers)
}
