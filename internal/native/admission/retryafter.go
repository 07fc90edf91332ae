// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package admission

import (
	"math/rand/v2"
	"time"
)

// The shortest and the longest base of a retry-after. The shortest keeps callers from retrying at once after a refusal without a backlog,
// the longest lets them see that a backlog is gone.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// RetryAfter returns the time after which the caller of refused work may submit it again.
//
// Input: the time that the work ahead needs.
//
// Rule: a random time between the backlog and twice that, where the backlog counts as at least minRetryAfter and at
// most maxRetryAfter.
//
// Reason: work is refused in bursts; callers that retry at the same time would be the next one.
func RetryAfter(backlog time.Duration, random *rand.Rand) time.Duration {
	base := min(max(backlog, minRetryAfter), maxRetryAfter)
	return base + time.Duration(random.Int64N(int64(base)))
}
