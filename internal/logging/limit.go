// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package logging

import (
	"sync"

	"github.com/go-kit/log"
	"golang.org/x/time/rate"
)

// Limited is a logger that limits the rate of lines. It drops the lines beyond it and adds their number, as the field
// suppressed, to the next line that it logs. It is safe for concurrent use.
type Limited struct {
	mu         sync.Mutex
	next       log.Logger
	limiter    *rate.Limiter
	suppressed int
}

// NewLimited returns a logger that passes at most perSecond lines a second to next, with bursts of twice as many.
func NewLimited(next log.Logger, perSecond int) *Limited {
	return &Limited{next: next, limiter: rate.NewLimiter(rate.Limit(perSecond), 2*perSecond)}
}

// Log passes a line to the next logger, or drops it and returns nil.
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
