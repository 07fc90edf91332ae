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

// announce sends the agent's record to a random seed every announceInterval while no entry has a session, so that
// entries that cannot read the store discover the agent.
func (a *Agent) announce() {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	logger := logging.NewLimited(a.logger, maxAnnounceFailureLinesPerSecond)
	for {
		if seed, ok := a.randomSeed(); ok && !a.status.hasSessions() {
			if err := a.announcer.AnnounceTo(a.context, seed, a.self); err != nil {
				_ = level.Info(logger).Log("msg", "unable to announce the agent to an entry", "entry", seed, "err", err)
			}
		}
		if !wait(a.context, ticker.C) {
			return
		}
	}
}

// randomSeed returns a random seed; ok is false if there are no seeds.
func (a *Agent) randomSeed() (seed string, ok bool) {
	seeds := *a.seeds.Load()
	if len(seeds) == 0 {
		return "", false
	}
	return seeds[rand.IntN(len(seeds))], true
}
