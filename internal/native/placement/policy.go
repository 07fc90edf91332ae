// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package placement

import (
	"math/rand/v2"

	"github.com/go-faster/errors"

	"sailhead/internal/settings"
)

// Policy is how a worker is chosen among those that accept a task. It is one of Random, TwoChoices and LeastLoaded.
//
// Reason: loads on a view are old, so owners that all compare all workers choose the same one; a random subset spreads
// them. Random alone suffers from slow workers.
type Policy interface{ isPolicy() }

// Random chooses any worker.
type Random struct{}

// TwoChoices chooses the better of two random workers.
type TwoChoices struct{}

// LeastLoaded chooses the best of a random subset of workers; a Subset of 0 means all.
type LeastLoaded struct{ Subset int }

func (Random) isPolicy()      {}
func (TwoChoices) isPolicy()  {}
func (LeastLoaded) isPolicy() {}

// NewPolicy returns the policy that settings name. Subset is the number of workers that LeastLoaded compares; 0 is all.
func NewPolicy(name string, subset int) (Policy, error) {
	switch name {
	case settings.PolicyRandom:
		return Random{}, nil
	case settings.PolicyTwoChoices:
		return TwoChoices{}, nil
	case settings.PolicyLeastLoaded:
		return LeastLoaded{Subset: subset}, nil
	default:
		return nil, errors.Errorf("placement: unknown policy %q", name)
	}
}

// choose returns one of the candidates by the policy. There must be at least one. It reorders the candidates.
func choose(policy Policy, random *rand.Rand, candidates []*worker, by rank) *worker {
	switch p := policy.(type) {
	case TwoChoices:
		return leastLoaded(sample(random, candidates, twoChoices), by)
	case LeastLoaded:
		return leastLoaded(sample(random, candidates, p.Subset), by)
	default:
		return candidates[random.IntN(len(candidates))]
	}
}

// twoChoices is the number of workers that TwoChoices compares.
const twoChoices = 2

// sample moves a random subset of a size to the front and returns it. A size of 0 returns all in random order.
func sample(random *rand.Rand, candidates []*worker, size int) []*worker {
	if size == 0 || size > len(candidates) {
		size = len(candidates)
	}
	for i := range size {
		j := i + random.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:size]
}

// leastLoaded returns the best of the candidates, of equal ones the first.
func leastLoaded(candidates []*worker, by rank) *worker {
	best := candidates[0]
	for _, w := range candidates[1:] {
		if w.isBetter(best, by) {
			best = w
		}
	}
	return best
}
