// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package admission

import (
	"math/rand/v2"
	"time"
)

// Come-back times lie between these bounds.
const (
	shortestComeBack = 100 * time.Millisecond
	longestComeBack  = 10 * time.Second
)

// ComeBack spreads the return of refused work over the time that the backlog needs and as much again.
func ComeBack(backlog time.Duration, random *rand.Rand) time.Duration {
	base := min(max(backlog, shortestComeBack), longestComeBack)
	return base + time.Duration(random.Int64N(int64(base)))
}
