// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package shares

import (
	"math"
	"time"
)

const (
	// recentTime is the time constant of the recent usage, after which charged work counts only 1/e.
	recentTime = time.Second
	// usualTime is the time constant of the usual usage. A burst of some seconds has little effect on it.
	usualTime = 30 * time.Second
	// creditTime limits the credit of a competitor that uses less than its share to its usual usage in that time.
	creditTime = 250 * time.Millisecond
	// milliCores is the number of millicores in a core.
	milliCores = 1000
)

// Competitor identifies a competitor for a worker: the jobs of one kind that arrive through the entries of one availability zone. Zone and kind
// are empty if unknown.
type Competitor struct {
	Zone string
	Kind string
}

// Work is an amount of work in core-seconds.
type Work float64

// NewWork returns the work of a task that uses the given CPU, in thousandths of a core, for the given time.
func NewWork(cpu int, length time.Duration) Work {
	return Work(float64(cpu) / milliCores * length.Seconds())
}

// Accounts holds the usage accounts of the competitors for one worker. The zero value is not usable; see NewAccounts.
type Accounts struct {
	accounts register[Competitor, *account]
}

// account tracks the usage of a competitor.
type account struct {
	// recent and usual are sums of charged work that decay exponentially with recentTime and usualTime, as of updated.
	recent  Work
	usual   Work
	updated time.Time
	// opened is when the account was created.
	opened time.Time
	// debt is the charged work in excess of the share, as of updated. It is negative if less was charged; see debtAt.
	debt Work
	// share is the fair share in cores, and credit the maximum credit in core-seconds, as of the last division.
	share  float64
	credit Work
	// weight is the weight from the settings.
	weight float64
}

// NewAccounts returns an Accounts without competitors.
func NewAccounts() *Accounts {
	return &Accounts{accounts: newRegister[Competitor, *account]()}
}

// Charge charges a competitor for work, or refunds it if the work is negative. weight is the weight from the settings; zero means 1.
func (a *Accounts) Charge(now time.Time, c Competitor, weight float64, work Work) {
	each := a.account(now, c)
	each.update(now)
	each.recent = max(each.recent+work, 0)
	each.usual = max(each.usual+work, 0)
	each.debt += work
	each.weight = 1
	if weight > 0 {
		each.weight = weight
	}
}

// IsWithinShare reports whether a competitor has used no more than its share, that is, it has no debt.
func (a *Accounts) IsWithinShare(now time.Time, c Competitor) bool {
	each, ok := a.accounts.users[c]
	return !ok || each.debtAt(now) <= 0
}

// account returns the account of a competitor and creates it if necessary. A new account is not kept if there are too many.
func (a *Accounts) account(now time.Time, c Competitor) *account {
	return a.accounts.get(now, c, func() *account { return &account{opened: now, updated: now, weight: 1} })
}

// update decays the sums and reduces the debt up to now.
func (a *account) update(now time.Time) {
	elapsed := now.Sub(a.updated)
	if elapsed <= 0 {
		return
	}
	a.debt = a.debtAt(now)
	a.recent *= decay(elapsed, recentTime)
	a.usual *= decay(elapsed, usualTime)
	a.updated = now
}

// debtAt returns the debt at a time if nothing is charged until then. It decreases at the rate of the share, down to the negated credit.
func (a *account) debtAt(now time.Time) Work {
	repaid := Work(a.share * now.Sub(a.updated).Seconds())
	return max(a.debt-repaid, -a.credit)
}

// recentUse returns the average recent usage in cores.
func (a *account) recentUse() float64 {
	return float64(a.recent) / recentTime.Seconds()
}

// usualWork implements user.
func (a *account) usualWork() Work { return a.usual }

// decay returns the factor, 0 to 1, by which a sum with the given time constant decays.
func decay(elapsed, timeConstant time.Duration) Work {
	return Work(math.Exp(-float64(elapsed) / float64(timeConstant)))
}
