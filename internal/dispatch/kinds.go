// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// containment is what is known of the kinds of jobs and of those that are contained. Use newContainment.
type containment struct {
	kinds map[string]*kindRecord
	// registered are all registered agents, with or without a session.
	registered []AgentID
	// isActive is set while a kind is contained, and reserved are the agents of all that are.
	isActive bool
	reserved agentSet
}

// kindRecord is what is known of one kind.
type kindRecord struct {
	// evidence has when each job was given up, or interrupted while the kind was contained, as a worker crashed under it.
	evidence map[string]time.Time
	// isTold is set while an isolated crash tells that other entries contain the kind.
	isTold bool
	// done counts the jobs that were done here since the latest evidence.
	done int
	// arrivals is the work that callers submitted, over arrivalWindow.
	arrivals recentWork
	// service is that of the jobs that callers submitted, empty before the first.
	service string
	// agents are those to which the kind is confined, nil while it is not contained.
	agents agentSet
}

// agentSet is a set of agents.
type agentSet map[AgentID]bool

func newContainment() containment {
	return containment{kinds: make(map[string]*kindRecord)}
}

// kind returns the record of a kind, which it creates if there is none.
func (c *containment) kind(name string) *kindRecord {
	k, ok := c.kinds[name]
	if !ok {
		k = &kindRecord{evidence: make(map[string]time.Time)}
		c.kinds[name] = k
	}
	return k
}

// names returns the names of all kinds for which matches returns true, in order.
func (c *containment) names(matches func(*kindRecord) bool) []string {
	var names []string
	for name, k := range c.kinds {
		if matches(k) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// contained returns the contained kinds in order.
func (c *containment) contained() []string {
	return c.names(func(k *kindRecord) bool { return k.agents != nil })
}

// isContained reports whether a kind is contained.
func (c *containment) isContained(kind string) bool {
	k, ok := c.kinds[kind]
	return ok && k.agents != nil
}

// add records that a worker crashed under a job so that it was given up or interrupted. isIsolated is set if the job was contained.
func (c *containment) add(crashedAt time.Time, kind, job string, isIsolated bool) {
	if kind == "" {
		return
	}
	k := c.kind(kind)
	if _, isKnown := k.evidence[job]; isKnown {
		return
	}
	k.evidence[job] = crashedAt
	k.isTold = k.isTold || isIsolated
	k.done = 0
}

// succeeded counts a job that was done.
func (c *containment) succeeded(kind string) {
	if c.isContained(kind) {
		c.kinds[kind].done++
	}
}

// arrived counts the work of a job that a caller submitted.
func (c *containment) arrived(now time.Time, j *job) {
	k := c.kind(j.Kind.Name)
	k.arrivals.add(now, j.work(), arrivalWindow)
	k.service = j.Kind.Service
}

// due returns the kinds that are to be contained, in order.
func (c *containment) due(now time.Time) []string {
	if len(c.registered) < minContainedAgents {
		return nil
	}
	return c.names(func(k *kindRecord) bool { return c.isDue(now, k) })
}

// isDue reports whether a kind is to be contained.
func (c *containment) isDue(now time.Time, k *kindRecord) bool {
	recent := k.countSince(now.Add(-evidenceTime))
	needed := max(minEvidence, (len(c.registered)+agentsPerEvidence-1)/agentsPerEvidence)
	isContained := k.agents != nil
	switch {
	case len(k.evidence) == 0:
		return false
	case isContained:
		return recent > 0 || k.done < trialJobs
	case k.isTold:
		return true
	default:
		return recent >= needed && c.shareOf(now, k) <= maxKindShare
	}
}

// countSince returns how many jobs speak against the kind since a time.
func (k *kindRecord) countSince(limit time.Time) int {
	count := 0
	for _, at := range k.evidence {
		if !at.Before(limit) {
			count++
		}
	}
	return count
}

// forgetBefore removes the evidence from before a time.
func (c *containment) forgetBefore(limit time.Time) {
	for _, k := range c.kinds {
		maps.DeleteFunc(k.evidence, func(_ string, at time.Time) bool { return at.Before(limit) })
	}
}

// shareOf returns the part, 0 to 1, that a kind has of the work that callers submitted lately; 1 if there was none.
func (c *containment) shareOf(now time.Time, k *kindRecord) float64 {
	var all work
	// In the order of the names, as the sum depends on the order.
	for _, name := range slices.Sorted(maps.Keys(c.kinds)) {
		each := c.kinds[name]
		each.arrivals.decay(now, arrivalWindow)
		all += each.arrivals.sum
	}
	if all <= 0 {
		return 1
	}
	return float64(k.arrivals.sum / all)
}

// size returns to how many of the agents a contained kind is confined.
func (c *containment) size(now time.Time, kind string, agents int) int {
	share := min(max(c.shareOf(now, c.kind(kind)), minContainedShare), maxContainedShare)
	return min(max(int(math.Round(share*float64(agents))), 1), agents)
}

// choose contains the given kinds and no others. mayRun reports whether an agent may run a kind.
func (c *containment) choose(now time.Time, kinds []string, mayRun func(kind string, id AgentID) bool) {
	for _, k := range c.kinds {
		k.agents = nil
	}
	c.isActive, c.reserved = len(kinds) > 0, make(agentSet)
	most := int(maxContainedShare * float64(len(c.registered)))
	var latest agentSet
	for _, kind := range kinds {
		ranked := slices.DeleteFunc(c.rank(kind), func(id AgentID) bool { return !mayRun(kind, id) })
		size := c.size(now, kind, len(ranked))
		if latest == nil || len(c.reserved)+size <= most {
			latest = make(agentSet)
			for _, id := range ranked[:size] {
				latest[id], c.reserved[id] = true, true
			}
		}
		c.kinds[kind].agents = latest
	}
}

// rank returns the registered agents in the order in which a kind is confined to them, the same at every entry.
func (c *containment) rank(kind string) []AgentID {
	weight := func(id AgentID) uint64 { return xxhash.Sum64String(kind + "/" + string(id)) }
	ranked := slices.Clone(c.registered)
	slices.SortFunc(ranked, func(a, b AgentID) int { return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b)) })
	return ranked
}

// permits reports whether tasks of a job may run at an agent as far as contained kinds go.
func (c *containment) permits(j *job, id AgentID) bool {
	switch {
	case !c.isActive:
		return true
	case c.isContained(j.Kind.Name):
		return c.kinds[j.Kind.Name].agents[id]
	default:
		return !c.reserved[id]
	}
}
