// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package shares

import (
	"math"
	"time"
)

const (
	// recentTime is how long it takes until work that a competitor was given counts only 1/e in its recent use.
	recentTime = time.Second
	// usualTime is the same for its usual use. A burst of some seconds changes that little.
	usualTime = 30 * time.Second
	// creditTime bounds what a competitor that asks for less than its share can save: what it usually gets in that time.
	creditTime = 250 * time.Millisecond
	// milliCores is the number of thousandths of a core in one core.
	milliCores = 1000
)

// Competitor is who competes with others for a worker: the jobs of a kind that come through the entries of an availability zone. Zone and kind are
// empty if they are not known.
type Competitor struct {
	Zone string
	Kind string
}

// Work is an amount of work in core-seconds.
type Work float64

// NewWork returns the work of a task that needs CPU, in thousandths of a core, for some time.
func NewWork(cpu int, length time.Duration) Work {
	return Work(float64(cpu) / milliCores * length.Seconds())
}

// Accounts holds the accounts of the competitors for one worker. The zero value is not usable; see NewAccounts.
type Accounts struct {
	accounts register[Competitor, *account]
}

// account is what a competitor was given.
type account struct {
	// recent and usual are sums of work that decay, with recentTime and usualTime, up to updated.
	recent  Work
	usual   Work
	updated time.Time
	// opened is when the account was opened.
	opened time.Time
	// debt is the work that it was given beyond its share, negative if it was given less; see debtAt.
	debt Work
	// share is what it may use, and credit what it can save, in cores and core-seconds, as divided last.
	share  float64
	credit Work
	// weight is that of the settings.
	weight float64
}

// NewAccounts returns accounts without competitors.
func NewAccounts() *Accounts {
	return &Accounts{accounts: newRegister[Competitor, *account]()}
}

// Charge adds work that a competitor was given, or takes it back if it is negative. The weight is that of the settings, zero for 1.
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

// IsBelow reports whether a competitor was given its share or less: it has no debt.
func (a *Accounts) IsBelow(now time.Time, c Competitor) bool {
	each, ok := a.accounts.entries[c]
	return !ok || each.debtAt(now) <= 0
}

// account returns the account of a competitor. It opens one if there is none, and keeps it unless there are too many.
func (a *Accounts) account(now time.Time, c Competitor) *account {
	return a.accounts.get(now, c, func() *account { return &account{opened: now, updated: now, weight: 1} })
}

// update brings the sums up to now.
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

// debtAt returns what the debt is at a time if nothing is charged until then. It falls by the share, down to the credit.
func (a *account) debtAt(now time.Time) Work {
	fallen := Work(a.share * now.Sub(a.updated).Seconds())
	return max(a.debt-fallen, -a.credit)
}

// recentUse returns the cores that the competitor was given on average lately.
func (a *account) recentUse() float64 {
	return float64(a.recent) / recentTime.Seconds()
}

// usualWork returns the sum of which the usual use is made.
func (a *account) usualWork() Work { return a.usual }

// decay returns the part, 0 to 1, that is left of a sum after a time.
func decay(elapsed, toOneOverE time.Duration) Work {
	return Work(math.Exp(-float64(elapsed) / float64(toOneOverE)))
}
