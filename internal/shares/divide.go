// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package shares

import (
	"cmp"
	"slices"
	"time"
)

// learnTime is the time constant with which the weight of a new competitor changes from an equal share to its usual usage.
const learnTime = time.Second

// minWeightShare is the minimum weight of a competitor as a fraction of an equal share, so that a new kind or availability zone gets work
// however little it has used so far.
const minWeightShare = 0.25

// Share describes the usage of a worker by a competitor and its fair share, in cores.
type Share struct {
	Competitor Competitor
	// Recent is the recent usage, Usual the usual usage.
	Recent float64
	Usual  float64
	// FairShare is how much it may use while others wait.
	FairShare float64
	// IsWaiting is true if it has tasks waiting for capacity.
	IsWaiting bool
}

// Divide computes the fair shares of all competitors, which apply until the next call. For a worker without CPU it leaves the previous shares
// unchanged.
//
// Inputs: the cores of the worker, the competitors that wait for capacity, the recent and usual usage of each competitor, and the weights from
// the settings.
//
// Rule: weighted max-min fairness. The demand of a waiting competitor is unbounded; that of any other is its recent or usual usage, whichever
// is larger. The weight of a competitor is its usual usage, at least minWeightShare of an equal share, times the weight from the settings. What
// a competitor does not demand is divided between the others.
//
// Reason: a competitor with its usual usage gets all it demands, whatever others do, and those with more than their usual usage divide the
// rest. With equal weights, a burst of a kind with usually little usage would take capacity from a kind with much.
func (a *Accounts) Divide(now time.Time, cores float64, waiting []Competitor) []Share {
	if cores <= 0 {
		return nil
	}
	for _, c := range waiting {
		a.account(now, c)
	}
	demands := a.demands(now, cores, waiting)
	setWeights(now, cores, demands)
	slices.SortFunc(demands, compareDemands)
	weights := sumOfWeights(demands)
	shares := make([]Share, 0, len(demands))
	left, leftWeights := cores, weights
	for _, d := range demands {
		entitled := left * d.weight / leftWeights
		if !d.isUnbounded {
			entitled = min(entitled, d.requested())
		}
		left -= entitled
		leftWeights -= d.weight
		// A competitor that does not wait now is still entitled to the share of its weight if it needs more later.
		d.account.share = max(entitled, cores*d.weight/weights)
		d.account.credit = Work(d.usual * creditTime.Seconds())
		shares = append(shares, Share{
			Competitor: d.competitor, Recent: d.account.recentUse(), Usual: d.usual, FairShare: d.account.share, IsWaiting: d.isUnbounded,
		})
	}
	return shares
}

// setWeights sets the weights of the demands for a worker.
func setWeights(now time.Time, cores float64, demands []demand) {
	equal := cores / float64(max(len(demands), 1))
	for i := range demands {
		d := &demands[i]
		d.weight = d.account.weight * max(d.account.weightedUse(now, d.usual, equal), minWeightShare*equal)
	}
}

// sumOfWeights returns the sum of the weights. The demands must be sorted, as floating-point addition is not associative and the result would
// otherwise depend on their order.
func sumOfWeights(demands []demand) float64 {
	sum := 0.0
	for _, d := range demands {
		sum += d.weight
	}
	return sum
}

// weightedUse returns the usage, in cores, on which the weight of a competitor is based: an equal share when its account is new, which changes
// to its usual usage with learnTime.
func (a *account) weightedUse(now time.Time, usual, equal float64) float64 {
	uncertainty := float64(decay(now.Sub(a.opened), learnTime))
	return uncertainty*equal + (1-uncertainty)*usual
}

// demand is the demand of a competitor.
type demand struct {
	competitor Competitor
	account    *account
	// isUnbounded is true if the competitor is waiting for capacity.
	isUnbounded bool
	// usual is its usual usage in cores.
	usual  float64
	weight float64
}

// demands returns the demands of all competitors for a worker. The usual usage is capped at the cores of the worker, as a long task is charged
// for its whole run time when it starts.
func (a *Accounts) demands(now time.Time, cores float64, waiting []Competitor) []demand {
	demands := make([]demand, 0, len(a.accounts.users))
	for c, each := range a.accounts.users {
		each.update(now)
		usual := min(a.accounts.usualUse(now, each), cores)
		demands = append(demands, demand{competitor: c, account: each, isUnbounded: slices.Contains(waiting, c), usual: usual})
	}
	return demands
}

// requested returns how many cores the competitor demands, unless the demand is unbounded.
func (d demand) requested() float64 {
	return max(d.account.recentUse(), d.usual)
}

// compareDemands orders demands by requested cores relative to their weight, unbounded ones last. Equal demands are ordered by name, so that the
// result does not depend on map iteration order.
func compareDemands(a, b demand) int {
	byName := cmp.Or(cmp.Compare(a.competitor.Zone, b.competitor.Zone), cmp.Compare(a.competitor.Kind, b.competitor.Kind))
	switch {
	case a.isUnbounded && b.isUnbounded:
		return byName
	case a.isUnbounded:
		return 1
	case b.isUnbounded:
		return -1
	default:
		return cmp.Or(cmp.Compare(a.requested()/a.weight, b.requested()/b.weight), byName)
	}
}
