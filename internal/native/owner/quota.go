// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package owner

import (
	"time"

	"golang.org/x/time/rate"

	"sailhead/internal/native/configuration"
	"sailhead/internal/native/model"
)

// quotas limits the task starts of each organisation at this owner.
//
// Inputs: the organisation's quota, in task starts a second, 0 for none; the number of listed agents, each of which is
// an owner; the number of tasks of a job.
//
// Rule: each owner has an equal share of the quota as a token bucket. A bucket holds one second of the whole quota, and
// at least the tasks of one job of maximum size. A job that needs more tokens than the bucket has is refused; its
// retry-after is based on the time until the missing tokens have been added.
//
// Reason: owners need not talk to each other. In the long run an organisation starts its quota of tasks a second; in a
// burst it starts at most as many seconds of its quota as there are owners. The minimum of the bucket lets a job of
// maximum size pass at all.
type quotas struct {
	// limiters has the bucket of each organisation with a quota, by its name.
	limiters map[string]*rate.Limiter
}

func newQuotas() *quotas {
	return &quotas{limiters: make(map[string]*rate.Limiter)}
}

// set applies new quotas or a new number of owners. Tokens that were saved stay.
func (q *quotas) set(now time.Time, organisations []configuration.Team, owners int) {
	known := q.limiters
	q.limiters = make(map[string]*rate.Limiter, len(organisations))
	for _, each := range organisations {
		if each.Quota == 0 {
			continue
		}
		share := rate.Limit(float64(each.Quota) / float64(max(owners, 1)))
		burst := max(each.Quota, model.MaxTasks)
		limiter, ok := known[each.Name]
		if !ok {
			limiter = rate.NewLimiter(share, burst)
		}
		limiter.SetLimitAt(now, share)
		limiter.SetBurstAt(now, burst)
		q.limiters[each.Name] = limiter
	}
}

// take removes a token for each task, or returns how long it takes until there are enough.
func (q *quotas) take(now time.Time, organisation string, tasks int) (wait time.Duration, ok bool) {
	limiter, limited := q.limiters[organisation]
	if !limited || limiter.AllowN(now, tasks) {
		return 0, true
	}
	missing := float64(tasks) - limiter.TokensAt(now)
	return time.Duration(missing / float64(limiter.Limit()) * float64(time.Second)), false
}
