// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package placement chooses the worker for each task.
package placement

import (
	"math/rand/v2"

	"github.com/go-faster/errors"

	"sailhead/internal/settings"
)

// Policy is a way to choose a worker: Random, TwoChoices or LeastLoaded.
type Policy interface{ isPolicy() }

// Random takes any worker.
type Random struct{}

// TwoChoices takes the less loaded of two random workers.
type TwoChoices struct{}

// LeastLoaded takes the least loaded of a random subset of workers; a subset of 0 is all.
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

// choose returns one of the candidates, which are not empty.
func choose(policy Policy, random *rand.Rand, candidates []*worker, by rank) *worker {
	switch p := policy.(type) {
	case TwoChoices:
		return leastLoaded(sample(random, candidates, 2), by)
	case LeastLoaded:
		return leastLoaded(sample(random, candidates, p.Subset), by)
	default:
		return candidates[random.IntN(len(candidates))]
	}
}

// sample moves a random subset to the front and returns it; a size of 0 returns all in random order.
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

func leastLoaded(candidates []*worker, by rank) *worker {
	best := candidates[0]
	for _, w := range candidates[1:] {
		if w.isBetter(best, by) {
			best = w
		}
	}
	return best
}
