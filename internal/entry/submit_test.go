// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"testing"

	"sailhead/internal/dispatch"
	"sailhead/internal/metric"
)

// newSubmitTestEntry returns an entry without an event loop, and a function that stops it.
func newSubmitTestEntry(ring int) (*Entry, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	return &Entry{
		events: make(chan dispatch.Event, ring), metrics: metric.NewSet(), context: ctx, jobWaiters: newWaiters[dispatch.Waiter, dispatch.Answer](),
	}, cancel
}

// callerContext is a context that calls onWait when a request starts to wait for its cancellation.
type callerContext struct {
	context.Context
	onWait func()
}

func (c callerContext) Done() <-chan struct{} {
	c.onWait()
	return c.Context.Done()
}

// If a job is answered and the entry stops before the request checks for either, the request must return the answer.
func TestAnAnswerIsNotLostWithTheEntry(t *testing.T) {
	for range 50 {
		e, end := newSubmitTestEntry(1)
		caller := callerContext{Context: t.Context(), onWait: func() {
			submitted := (<-e.events).(dispatch.Submitted)
			e.jobWaiters.answer(submitted.Waiter, dispatch.Completed{})
			end()
		}}
		if got := e.Submit(caller, dispatch.Job{ID: "a"}); got != (dispatch.Completed{}) {
			t.Fatalf("got %+v, want the answer", got)
		}
	}
}

// A job that is refused because the event loop does not keep up must be marked as a local refusal, so that an entry that
// has handed it over may run it itself.
func TestAFullQueueRefusesLocally(t *testing.T) {
	e, end := newSubmitTestEntry(1)
	defer end()
	e.events <- dispatch.Ticked{}
	answer, isNotRun := e.Submit(t.Context(), dispatch.Job{ID: "a"}).(dispatch.NotRun)
	if !isNotRun || !answer.IsLocal {
		t.Errorf("got %+v, want a local refusal", answer)
	}
	if waiting := e.jobWaiters.count(); waiting > 0 {
		t.Errorf("%d requests are still waiting", waiting)
	}
}
