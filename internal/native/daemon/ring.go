// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"time"
)

// serve is the event loop of a duty: it handles requests from a bounded ring, and ticks, until the context ends. The ring
// is nil for a duty without requests.
func serve[T any](ctx context.Context, ring <-chan T, interval time.Duration, tick func(), handle func(T)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			tick()
		case request := <-ring:
			handle(request)
		}
	}
}

// sleep waits for the pause, or returns the context's error if the context ends first.
func sleep(ctx context.Context, pause time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(pause):
		return nil
	}
}

// post puts a request in a ring. It waits while the ring is full, and drops the request if the context ends.
func post[T any](ctx context.Context, ring chan<- T, request T) {
	select {
	case ring <- request:
	case <-ctx.Done():
	}
}
