// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package logging

import (
	"sync"

	"github.com/go-kit/log"
	"golang.org/x/time/rate"
)

// Limited passes so many lines a second on and counts the others; the next line that passes tells how many
// were suppressed before it.
type Limited struct {
	mu         sync.Mutex
	next       log.Logger
	limiter    *rate.Limiter
	suppressed int
}

// NewLimited returns a logger that passes so many lines a second on to the next, and twice as many at once.
func NewLimited(next log.Logger, perSecond int) *Limited {
	return &Limited{next: next, limiter: rate.NewLimiter(rate.Limit(perSecond), 2*perSecond)}
}

// Log logs a line or suppresses it.
func (l *Limited) Log(fields ...any) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limiter.Allow() {
		l.suppressed++
		return nil
	}
	if l.suppressed > 0 {
		fields = append(fields[:len(fields):len(fields)], "suppressed", l.suppressed)
		l.suppressed = 0
	}
	return l.next.Log(fields...)
}
