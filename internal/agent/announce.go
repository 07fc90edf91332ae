// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package agent

import (
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"sailhead/internal/logging"
)

const (
	// announceInterval is the time between announcements while no entry has a session. It is about the interval at which
	// entries exchange members (timing.ExchangeInterval). 70 agents make 175 calls a second to all seeds together, until
	// sessions open.
	announceInterval = 400 * time.Millisecond
	// maxAnnounceFailureLinesPerSecond limits the log lines about failed announcements.
	maxAnnounceFailureLinesPerSecond = 1
)

// announce announces the agent to a random seed every announceInterval while no entry has a session, so that entries that
// cannot read the store discover the agent.
func (a *Agent) announce() {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	logger := logging.NewLimited(a.logger, maxAnnounceFailureLinesPerSecond)
	for {
		if seed, ok := a.randomSeed(); ok && !a.status.hasSessions() {
			if err := a.announceTo(seed); err != nil {
				_ = level.Info(logger).Log("msg", "unable to announce the agent to an entry", "entry", seed, "err", err)
			}
		}
		if !wait(a.context, ticker.C) {
			return
		}
	}
}

// announceTo sends the agent's record to an entry.
func (a *Agent) announceTo(seed string) error {
	superseding, err := a.announcer.AnnounceTo(a.context, seed, a.registration.latest(a.self))
	if err != nil {
		return err
	}
	a.refute(timeOfDay(), superseding)
	return nil
}

// An agent that no entry reaches may have been superseded by a wrong record.
//
// Inputs: the incarnation of the record by which an entry knows the agent, which is higher than that of this process; the time of day.
//
// Rule: if it is later than the present by more than maxClockDifference, the agent takes a higher one, writes its record anew and announces it.
//
// Reason: an incarnation is the start time of a process, so no process has such a one. Another writer left the record, or an earlier process whose
// clock was ahead. A record with a possible incarnation is that of a later process, which this one must not replace.

// maxClockDifference is how far the time of day of two VMs may be apart.
const maxClockDifference = time.Minute

// refute makes the agent's record replace one with an incarnation that no process can have. 0 stands for none.
func (a *Agent) refute(now time.Time, superseding int64) {
	if superseding <= now.Add(maxClockDifference).UnixNano() {
		return
	}
	incarnation := a.registration.raiseIncarnation(superseding)
	a.sessions.SetIncarnation(incarnation)
	_ = level.Warn(a.logger).Log("msg", "an entry knows the agent by a record from the future", "incarnation", superseding, "new_incarnation", incarnation)
}

// randomSeed returns a random seed; ok is false if there are no seeds.
func (a *Agent) randomSeed() (seed string, ok bool) {
	seeds := *a.seeds.Load()
	if len(seeds) == 0 {
		return "", false
	}
	return seeds[rand.IntN(len(seeds))], true
}
