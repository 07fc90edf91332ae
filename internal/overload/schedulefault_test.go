// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"math/rand/v2"
	"slices"
	"time"
)

// faultName is the name of a kind of fault in a schedule.
type faultName string

const (
	// The faults of a worker's link apply to a share of the calls.
	requestsLost   faultName = "requests lost"
	answersLost    faultName = "answers lost"
	closedBefore   faultName = "connections closed before the call"
	closedAfter    faultName = "connections closed after the call"
	requestsLate   faultName = "requests carried out late"
	answersLate    faultName = "answers late"
	stopsLost      faultName = "stops lost"
	stopsClosed    faultName = "connections of stops closed"
	startsLate     faultName = "starts carried out late"
	callsSentLate  faultName = "calls leave late"
	pathSilent     faultName = "path silent"
	pathHalfSilent faultName = "path to the entry silent"
	pathDeaf       faultName = "path to the agent silent"
	entryFrozen    faultName = "entry frozen"
	agentFrozen    faultName = "agent frozen"
	entryKilled    faultName = "entry killed"
	agentKilled    faultName = "agent killed"
	workerCrashes  faultName = "worker crashes"
	// peerPathSilent is a fault of the paths on which an entry hands jobs over.
	peerPathSilent faultName = "paths to other entries silent"
	// peerMessagesLate makes the messages late on which an entry hands jobs over, without a pause between them.
	peerMessagesLate faultName = "messages to other entries late"
	// sessionMessagesLate makes the messages of a session late in one or both directions, without a pause between them.
	sessionMessagesLate faultName = "messages of a session late"
)

// allFaults are the faults of random schedules.
var allFaults = []faultName{
	requestsLost, answersLost, closedBefore, closedAfter, requestsLate, answersLate, stopsLost, stopsClosed, startsLate, callsSentLate,
	pathSilent, pathHalfSilent, pathDeaf, entryFrozen, agentFrozen, entryKilled, agentKilled, workerCrashes,
}

const (
	// longestRequestDelay is how late a request may be carried out, and longestAnswerDelay how late an answer may arrive.
	longestRequestDelay = 4 * time.Second
	longestAnswerDelay  = time.Second
	// longestPeerDelay is how late a message between entries may arrive.
	longestPeerDelay = 2 * time.Second
	// longestCallDelay is how late a call leaves a busy agent.
	longestCallDelay = 100 * time.Millisecond
	// closeTime is the time from a call until the agent learns that its connection was closed.
	closeTime = time.Millisecond
)

// inject injects a fault.
func (c *cluster) inject(f plannedFault) {
	e, a := c.entries[f.entry], c.agents[f.agent]
	path := c.path(e, a)
	c.record("FAULT %s", f)
	switch f.kind {
	case callsSentLate:
		random := rand.New(rand.NewPCG(f.seed, 0))
		a.callDelay = func() time.Duration { return randomTime(random, 0, longestCallDelay) }
		c.after(f.span, func() { a.callDelay = nil })
	case pathSilent:
		path.silence(f.span)
	case pathHalfSilent:
		path.backFrom = latest(path.backFrom, c.now.Add(f.span))
	case pathDeaf:
		path.forthFrom = latest(path.forthFrom, c.now.Add(f.span))
	case peerPathSilent:
		for _, other := range c.entries {
			c.peerPath(e, other).silence(f.span)
		}
	case peerMessagesLate:
		c.delayPeerMessages(e, f)
	case sessionMessagesLate:
		c.delaySessionMessages(path, f)
	case entryFrozen:
		e.freeze(f.span)
	case agentFrozen:
		a.freeze(f.span)
	case entryKilled:
		e.restart(f.span)
	case agentKilled:
		a.restart(f.span)
	case workerCrashes:
		a.worker.crash(f.span)
	default:
		a.addRule(f)
	}
}

// delayPeerMessages makes what an entry sends to other entries late for a time, by up to longestPeerDelay.
func (c *cluster) delayPeerMessages(e *clusterEntry, f plannedFault) {
	delay := randomTime(rand.New(rand.NewPCG(f.seed, 0)), 0, longestPeerDelay)
	for _, other := range c.entries {
		path := c.peerPath(e, other)
		path.forthDelay = delay
		c.after(f.span, func() { path.forthDelay = 0 })
	}
}

// delaySessionMessages makes the messages between an entry and an agent late for a time, by up to longestPeerDelay.
func (c *cluster) delaySessionMessages(path *networkPath, f plannedFault) {
	random := rand.New(rand.NewPCG(f.seed, 0))
	delay, directions := randomTime(random, 0, longestPeerDelay), random.IntN(3)
	if directions != 0 {
		path.forthDelay = delay
	}
	if directions != 1 {
		path.backDelay = delay
	}
	c.after(f.span, func() { path.forthDelay, path.backDelay = 0, 0 })
}

// addRule applies a fault to the link of an agent to its worker for a time.
func (a *clusterAgent) addRule(f plannedFault) {
	rule := &linkRule{decide: f.newRule()}
	a.rules = append(a.rules, rule)
	a.cluster.after(f.span, func() {
		a.rules = slices.DeleteFunc(slices.Clone(a.rules), func(r *linkRule) bool { return r == rule })
	})
}

// newRule returns the rule of a fault of a worker's link.
func (f plannedFault) newRule() fateRule {
	random := rand.New(rand.NewPCG(f.seed, 0))
	return func(kind callKind) callFate {
		isHit, delay := random.Float64() < f.share, randomTime(random, 0, longestRequestDelay)
		if !isHit {
			return callFate{}
		}
		return f.fateOf(kind, delay)
	}
}

// fateOf returns the fate of a call to which the fault applies.
func (f plannedFault) fateOf(kind callKind, delay time.Duration) callFate {
	switch f.kind {
	case requestsLost:
		return callFate{isRequestLost: true}
	case answersLost:
		return callFate{isAnswerLost: true}
	case closedBefore:
		return callFate{isRequestLost: true, closesAfter: closeTime}
	case closedAfter:
		return callFate{isAnswerLost: true, closesAfter: closeTime}
	case requestsLate:
		return callFate{requestDelay: delay}
	case answersLate:
		return callFate{answerDelay: delay / (longestRequestDelay / longestAnswerDelay)}
	case stopsLost:
		return callFate{isRequestLost: kind == callStop}
	case stopsClosed:
		if kind == callStop {
			return callFate{isRequestLost: true, closesAfter: closeTime}
		}
	case startsLate:
		if kind == callStart {
			return callFate{requestDelay: delay}
		}
	}
	return callFate{}
}
