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

// containment holds the state of all kinds of jobs and the agents of the contained ones. Use newContainment.
type containment struct {
	kinds map[string]*kindRecord
	// registered lists all registered agents, with or without a session.
	registered []AgentID
	// isActive is set while any kind is contained. reserved holds the agents of all contained kinds.
	isActive bool
	reserved agentSet
}

// kindRecord is the state of one kind.
type kindRecord struct {
	// evidence holds, by job, the time of the crash after which the job was given up or, as a contained job, interrupted.
	evidence map[string]time.Time
	// isContainedElsewhere is set by a crash under an isolated job. Only contained jobs are isolated, so other entries contain the kind.
	isContainedElsewhere bool
	// done counts the jobs that were done at this entry since the latest evidence.
	done int
	// arrivals is the work submitted by callers, averaged over arrivalWindow.
	arrivals recentWork
	// service is the service of the jobs submitted by callers, empty before the first.
	service string
	// agents holds the agents to which the kind is confined, nil while it is not contained.
	agents agentSet
}

// agentSet is a set of agents.
type agentSet map[AgentID]bool

func newContainment() containment {
	return containment{kinds: make(map[string]*kindRecord)}
}

// kind returns the record of a kind, creating it if there is none.
func (c *containment) kind(name string) *kindRecord {
	k, ok := c.kinds[name]
	if !ok {
		k = &kindRecord{evidence: make(map[string]time.Time)}
		c.kinds[name] = k
	}
	return k
}

// names returns the sorted names of all kinds for which matches returns true.
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

// contained returns the sorted names of the contained kinds.
func (c *containment) contained() []string {
	return c.names(func(k *kindRecord) bool { return k.agents != nil })
}

// isContained reports whether a kind is contained.
func (c *containment) isContained(kind string) bool {
	k, ok := c.kinds[kind]
	return ok && k.agents != nil
}

// add records that a job was given up or interrupted because a worker crashed under it. isIsolated is set if the job ran isolated, as
// contained jobs do.
func (c *containment) add(crashedAt time.Time, kind, job string, isIsolated bool) {
	if kind == "" {
		return
	}
	k := c.kind(kind)
	if _, isKnown := k.evidence[job]; isKnown {
		return
	}
	k.evidence[job] = crashedAt
	k.isContainedElsewhere = k.isContainedElsewhere || isIsolated
	k.done = 0
}

// succeeded counts a job of a contained kind that was done.
func (c *containment) succeeded(kind string) {
	if c.isContained(kind) {
		c.kinds[kind].done++
	}
}

// arrived counts the work of a job submitted by a caller.
func (c *containment) arrived(now time.Time, j *job) {
	k := c.kind(j.Kind.Name)
	k.arrivals.add(now, j.work(), arrivalWindow)
	k.service = j.Kind.Service
}

// due returns the sorted names of the kinds that should be contained.
func (c *containment) due(now time.Time) []string {
	if len(c.registered) < minContainedAgents {
		return nil
	}
	return c.names(func(k *kindRecord) bool { return c.isDue(now, k) })
}

// isDue reports whether a kind should be contained.
func (c *containment) isDue(now time.Time, k *kindRecord) bool {
	recent := k.countSince(now.Add(-evidenceTime))
	needed := max(minEvidence, (len(c.registered)+agentsPerEvidence-1)/agentsPerEvidence)
	isContained := k.agents != nil
	switch {
	case len(k.evidence) == 0:
		return false
	case isContained:
		return recent > 0 || k.done < trialJobs
	case k.isContainedElsewhere:
		return true
	default:
		return recent >= needed && c.shareOf(now, k) <= maxKindShare
	}
}

// countSince returns the number of jobs with evidence from the limit or later.
func (k *kindRecord) countSince(limit time.Time) int {
	count := 0
	for _, at := range k.evidence {
		if !at.Before(limit) {
			count++
		}
	}
	return count
}

// removeBefore removes the evidence that is older than the limit.
func (c *containment) removeBefore(limit time.Time) {
	for _, k := range c.kinds {
		maps.DeleteFunc(k.evidence, func(_ string, at time.Time) bool { return at.Before(limit) })
	}
}

// shareOf returns the share, 0 to 1, of a kind in the work recently submitted by callers, or 1 if there was none.
func (c *containment) shareOf(now time.Time, k *kindRecord) float64 {
	var all work
	// The names are sorted because a floating-point sum depends on the order.
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

// size returns the number of agents, out of the given number, to which a contained kind is confined.
func (c *containment) size(now time.Time, kind string, agents int) int {
	share := min(max(c.shareOf(now, c.kind(kind)), minContainedShare), maxContainedShare)
	return min(max(int(math.Round(share*float64(agents))), 1), agents)
}

// assign contains exactly the given kinds. mayRun reports whether an agent may run a kind.
func (c *containment) assign(now time.Time, kinds []string, mayRun func(kind string, id AgentID) bool) {
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

// rank returns the registered agents in the order in which they are assigned to a contained kind. The order is the same at every
// entry.
func (c *containment) rank(kind string) []AgentID {
	weight := func(id AgentID) uint64 { return xxhash.Sum64String(kind + "/" + string(id)) }
	ranked := slices.Clone(c.registered)
	slices.SortFunc(ranked, func(a, b AgentID) int { return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b)) })
	return ranked
}

// allows reports whether containment permits the tasks of a job to run at an agent.
func (c *containment) allows(j *job, id AgentID) bool {
	switch {
	case !c.isActive:
		return true
	case c.isContained(j.Kind.Name):
		return c.kinds[j.Kind.Name].agents[id]
	default:
		return !c.reserved[id]
	}
}
