// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package owner

import (
	"time"

	"golang.org/x/time/rate"

	"sailhead/internal/native/configuration"
	"sailhead/internal/native/model"
)

// quotas holds this owner's share of each team's quota.
//
// The quota is divided equally over the owners, and an owner may save up one second of the whole
// quota. So a team starts at most its quota a second in the long run, and at most as many seconds'
// quota in a burst as there are owners.
type quotas struct {
	limiters map[string]*rate.Limiter
}

func newQuotas() *quotas {
	return &quotas{limiters: make(map[string]*rate.Limiter)}
}

// set takes in the teams' quotas and the number of owners.
func (q *quotas) set(now time.Time, teams []configuration.Team, owners int) {
	known := q.limiters
	q.limiters = make(map[string]*rate.Limiter, len(teams))
	for _, team := range teams {
		if team.Quota == 0 {
			continue
		}
		share := rate.Limit(float64(team.Quota) / float64(max(owners, 1)))
		burst := max(team.Quota, model.MaxTasks)
		limiter, ok := known[team.Name]
		if !ok {
			limiter = rate.NewLimiter(share, burst)
		}
		limiter.SetLimitAt(now, share)
		limiter.SetBurstAt(now, burst)
		q.limiters[team.Name] = limiter
	}
}

// take uses up task starts of the team and returns how long to wait if there are not enough.
func (q *quotas) take(now time.Time, team string, tasks int) (wait time.Duration, ok bool) {
	limiter, limited := q.limiters[team]
	if !limited || limiter.AllowN(now, tasks) {
		return 0, true
	}
	missing := float64(tasks) - limiter.TokensAt(now)
	return time.Duration(missing / float64(limiter.Limit()) * float64(time.Second)), false
}
