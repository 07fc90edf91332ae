// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package shares

import (
	"cmp"
	"slices"
	"time"
)

// learnTime is how long it takes until a competitor that is new is weighed by what it usually uses, and by an equal share for 1/e only.
const learnTime = time.Second

// leastShare is the part of an equal share that a competitor weighs at least, however little it usually uses: a kind or an availability
// zone that is new gets work too.
const leastShare = 0.25

// Share is what a competitor uses and may use of a worker, in cores.
type Share struct {
	Competitor Competitor
	// Recent is what it was given lately, and Usual what it usually gets.
	Recent float64
	Usual  float64
	// Entitled is what it may use while others wait.
	Entitled float64
	// IsWaiting is set if it waits for room.
	IsWaiting bool
}

// Divide divides a worker between its competitors, until it is divided again. One without CPU is left as it was divided before.
//
// Inputs: the cores of the worker, the competitors that wait for room on it, what each was given lately and usually gets, the weights of the
// settings.
//
// Rule: weighted max-min fairness. Who waits asks for any amount, the others for what they use or usually use. A competitor weighs what it
// usually gets, leastShare of an equal share at least, times the weight of the settings. What one does not ask for is divided between the
// others.
//
// Reason: a competitor that goes on as usual gets all that it asks for, whatever others do, and those that ask for more than usual divide the
// rest. With equal weights a burst of a kind that is small otherwise would take from a kind that is large.
func (a *Accounts) Divide(now time.Time, cores float64, waiting []Competitor) []Share {
	if cores <= 0 {
		return nil
	}
	for _, c := range waiting {
		a.account(now, c)
	}
	demands := a.demands(now, cores, waiting)
	weigh(now, cores, demands)
	slices.SortFunc(demands, compareDemands)
	weights := sumOfWeights(demands)
	shares := make([]Share, 0, len(demands))
	left, leftWeights := cores, weights
	for _, d := range demands {
		entitled := left * d.weight / leftWeights
		if !d.isOpen {
			entitled = min(entitled, d.asked())
		}
		left -= entitled
		leftWeights -= d.weight
		// Who does not wait now may ask for as much as its weight is worth.
		d.account.share = max(entitled, cores*d.weight/weights)
		d.account.credit = Work(d.usual * creditTime.Seconds())
		shares = append(shares, Share{
			Competitor: d.competitor, Recent: d.account.recentUse(), Usual: d.usual, Entitled: d.account.share, IsWaiting: d.isOpen,
		})
	}
	return shares
}

// weigh sets the weights of the demands for a worker.
func weigh(now time.Time, cores float64, demands []demand) {
	equal := cores / float64(max(len(demands), 1))
	for i := range demands {
		d := &demands[i]
		d.weight = d.account.weight * max(d.account.weighedUse(now, d.usual, equal), leastShare*equal)
	}
}

// sumOfWeights returns the sum of the weights of demands. Their order has to be the same each time, as this is a sum of fractions.
func sumOfWeights(demands []demand) float64 {
	sum := 0.0
	for _, d := range demands {
		sum += d.weight
	}
	return sum
}

// weighedUse returns the use, in cores, by which a competitor is weighed: an equal share at first, and its usual use once it is known for long.
func (a *account) weighedUse(now time.Time, usual, equal float64) float64 {
	doubt := float64(decay(now.Sub(a.opened), learnTime))
	return doubt*equal + (1-doubt)*usual
}

// demand is what a competitor asks for.
type demand struct {
	competitor Competitor
	account    *account
	// isOpen is set if it asks for any amount.
	isOpen bool
	// usual is its usual use in cores.
	usual  float64
	weight float64
}

// demands returns the demands of all competitors for a worker. Usual use is no more than the worker has, as a long task that has just begun is
// charged for all of its time.
func (a *Accounts) demands(now time.Time, cores float64, waiting []Competitor) []demand {
	demands := make([]demand, 0, len(a.accounts.entries))
	for c, each := range a.accounts.entries {
		each.update(now)
		usual := min(a.accounts.usualUse(now, each), cores)
		demands = append(demands, demand{competitor: c, account: each, isOpen: slices.Contains(waiting, c), usual: usual})
	}
	return demands
}

// asked returns how many cores the competitor asks for, unless the demand is open.
func (d demand) asked() float64 {
	return max(d.account.recentUse(), d.usual)
}

// compareDemands orders demands by what they ask for in relation to their weight, the open ones last. Equal ones are in the order of their names,
// so that the result does not depend on the order of a map.
func compareDemands(a, b demand) int {
	byName := cmp.Or(cmp.Compare(a.competitor.Zone, b.competitor.Zone), cmp.Compare(a.competitor.Kind, b.competitor.Kind))
	switch {
	case a.isOpen && b.isOpen:
		return byName
	case a.isOpen:
		return 1
	case b.isOpen:
		return -1
	default:
		return cmp.Or(cmp.Compare(a.asked()/a.weight, b.asked()/b.weight), byName)
	}
}
