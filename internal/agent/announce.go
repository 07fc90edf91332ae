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
	// announceInterval is the time between two announcements while no entry has a session: as often as entries exchange members
	// (timing.ExchangeInterval); 70 agents then make 175 calls a second to all seeds together, and only until a session opens.
	announceInterval = 400 * time.Millisecond
	// announceFailuresPerSecond bounds the log lines about announcements that failed.
	announceFailuresPerSecond = 1
)

// announce sends the agent's record to a random seed at regular intervals while no entry has a session: entries that
// cannot read the store learn of the agent that way.
func (a *Agent) announce() {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	logger := logging.NewLimited(a.logger, announceFailuresPerSecond)
	for {
		if seed, ok := a.randomSeed(); ok && !a.status.hasSessions() {
			if err := a.announcer.AnnounceTo(a.context, seed, a.self); err != nil {
				_ = level.Info(logger).Log("msg", "unable to announce the agent", "entry", seed, "err", err)
			}
		}
		if !wait(a.context, ticker.C) {
			return
		}
	}
}

// randomSeed returns one of the seeds; ok is false if there is none.
func (a *Agent) randomSeed() (seed string, ok bool) {
	seeds := *a.seeds.Load()
	if len(seeds) == 0 {
		return "", false
	}
	return seeds[rand.IntN(len(seeds))], true
}
