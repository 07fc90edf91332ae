// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package model has the types that all parts of sailhead's own interface share: keys, jobs, answers, the outcomes of tasks
// and the loads of workers. They are immutable values; the package has no state and relies on no other part.
package model

import (
	"time"

	"github.com/google/uuid"
)

// MaxKeyLength is the longest submission key accepted, in bytes.
const MaxKeyLength = 128

// timedVersion is the version of a UUID that carries its issue time.
const timedVersion = 7

// Key is the submission key that a caller chooses for a job.
type Key string

// IssuedAt returns the issue time that a UUIDv7 key carries, and false for any other key.
func (k Key) IssuedAt() (time.Time, bool) {
	id, err := uuid.Parse(string(k))
	if err != nil || id.Version() != timedVersion {
		return time.Time{}, false
	}
	var millis int64
	// The first 48 bits are the issue time in milliseconds, as RFC 9562 lays out.
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis), true
}

// NewKey returns a UUIDv7 key issued now.
func NewKey() (Key, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", err
	}
	return Key(id.String()), nil
}

// IsValid reports whether the key has 1 to MaxKeyLength bytes of printable ASCII without spaces and slashes.
func (k Key) IsValid() bool {
	if len(k) == 0 || len(k) > MaxKeyLength {
		return false
	}
	for _, r := range []byte(k) {
		if r <= ' ' || r > '~' || r == '/' {
			return false
		}
	}
	return true
}
