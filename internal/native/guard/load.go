// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package guard

import (
	"math"
	"time"

	"sailhead/internal/native/model"
)

// meanWeight is the number of tasks over which the mean service time is averaged.
const meanWeight = 32

// restDivisor sets the work that a running task has left: half of the mean service time, as a task seen at a random moment is half done on
// average.
const restDivisor = 2

// Load returns the load of the worker, by which owners place and admit. A stuck worker is reported as leaving, so that
// owners send it nothing.
func (g *Guard) Load(now time.Time) model.Load {
	load := model.Load{
		Slots:    g.limits.Slots,
		Running:  g.running,
		Rest:     time.Duration(g.running) * g.mean / restDivisor,
		Share:    g.usage.shares(now, g.limits.Slots),
		Mean:     g.mean,
		Leaving:  g.leaving || g.isStuck(now),
		Measured: now,
	}
	for _, r := range g.queue {
		load.Queued[r.task.Urgency]++
		load.Work[r.task.Urgency] += r.expected
	}
	return load
}

// usageTime is the time constant with which the use of the slots decays.
const usageTime = 5 * time.Second

// usage is the slot time that each urgency has used, with exponential decay.
type usage struct {
	used [model.MaxUrgency + 1]time.Duration
	// at is the time to which the decay has been applied.
	at time.Time
}

// add adds the service time of a task.
func (u *usage) add(now time.Time, urgency int, took time.Duration) {
	u.decay(now)
	u.used[urgency] += took
}

// shares returns the part, 0 to 1, of the slots that each urgency has used lately.
func (u *usage) shares(now time.Time, slots int) [model.MaxUrgency + 1]float64 {
	u.decay(now)
	var shares [model.MaxUrgency + 1]float64
	for urgency, used := range u.used {
		shares[urgency] = min(used.Seconds()/(usageTime.Seconds()*float64(slots)), 1)
	}
	return shares
}

// decay applies the decay up to now.
func (u *usage) decay(now time.Time) {
	if u.at.IsZero() {
		u.at = now
	}
	factor := math.Exp(-now.Sub(u.at).Seconds() / usageTime.Seconds())
	for urgency := range u.used {
		u.used[urgency] = time.Duration(float64(u.used[urgency]) * factor)
	}
	u.at = now
}
