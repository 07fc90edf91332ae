// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package guard

import (
	"math"
	"time"

	"sailhead/internal/native/model"
)

// usageSpan is the time over which the use of the slots is taken.
const usageSpan = 5 * time.Second

// usage is the slot time that each urgency has used lately, older use counting less and less.
type usage struct {
	used [model.MaxUrgency + 1]time.Duration
	at   time.Time
}

// add counts a task's service time.
func (u *usage) add(now time.Time, urgency int, took time.Duration) {
	u.decay(now)
	u.used[urgency] += took
}

// shares returns the part of the slots that each urgency has used.
func (u *usage) shares(now time.Time, slots int) [model.MaxUrgency + 1]float64 {
	u.decay(now)
	var shares [model.MaxUrgency + 1]float64
	for urgency, used := range u.used {
		shares[urgency] = min(used.Seconds()/(usageSpan.Seconds()*float64(slots)), 1)
	}
	return shares
}

func (u *usage) decay(now time.Time) {
	if u.at.IsZero() {
		u.at = now
	}
	factor := math.Exp(-now.Sub(u.at).Seconds() / usageSpan.Seconds())
	for urgency := range u.used {
		u.used[urgency] = time.Duration(float64(u.used[urgency]) * factor)
	}
	u.at = now
}
