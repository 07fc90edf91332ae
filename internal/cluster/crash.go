// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cluster

import (
	"slices"
	"time"

	"sailhead/internal/cluster/clusterpb"
	"sailhead/internal/runner"
	"sailhead/internal/wire"
	"sailhead/internal/worker"
)

// Crashes of workers are propagated with each exchange, so that an entry without a session with the agent knows them when a job is retried
// there.
const (
	// crashGossipPeriod is how long an entry propagates a crash after learning of it. An entry initiates about two exchanges per second with
	// random other entries and answers as many, so a crash reaches all of 55 entries after about ten exchanges.
	crashGossipPeriod = 5 * time.Second
	// crashLifetime is how long a crash is stored to recognise duplicates. It is longer than the slowest entry propagates the crash.
	crashLifetime = 4 * crashGossipPeriod
	// maxCrashes limits the number of crashes stored and sent. At about 300 bytes each, an exchange carries at most 10 KB of them.
	maxCrashes = 32
)

// Crash is the crash of an incarnation of an agent's worker.
type Crash struct {
	// Agent is the name of the agent.
	Agent string
	runner.Crash
}

// crashKey identifies a crash.
type crashKey struct {
	agent       string
	incarnation worker.Incarnation
}

func (c Crash) key() crashKey { return crashKey{agent: c.Agent, incarnation: c.Incarnation} }

// receivedCrash is a crash with the time at which this process learned of it.
type receivedCrash struct {
	crash Crash
	at    time.Time
}

// crashes holds the recent crashes known to a process. The owner must initialise it and guard it against concurrent use.
type crashes map[crashKey]receivedCrash

// add stores a crash, and returns false if it was known with all its runs. An agent may report a crash again with further runs. If there
// are maxCrashes already, it evicts the oldest.
func (c crashes) add(now time.Time, crash Crash) bool {
	c.removeBefore(now.Add(-crashLifetime))
	known, isKnown := c[crash.key()]
	if isKnown && known.crash.includes(crash) {
		return false
	}
	if !isKnown && len(c) >= maxCrashes {
		c.evictOldest()
	}
	c[crash.key()] = receivedCrash{crash: known.crash.merge(crash), at: now}
	return true
}

// includes reports whether all runs of another report of the same crash are known.
func (c Crash) includes(other Crash) bool {
	return !slices.ContainsFunc(other.Runs, func(run runner.CrashedRun) bool { return !c.has(run.RunID) })
}

// merge returns a later report of the same crash, together with the runs that only this report has.
func (c Crash) merge(later Crash) Crash {
	merged := later
	merged.Runs = slices.Clone(later.Runs)
	for _, run := range c.Runs {
		if !later.has(run.RunID) {
			merged.Runs = append(merged.Runs, run)
		}
	}
	return merged
}

// has reports whether a run was on the worker at the crash.
func (c Crash) has(id runner.RunID) bool {
	return slices.ContainsFunc(c.Runs, func(run runner.CrashedRun) bool { return run.RunID == id })
}

func (c crashes) removeBefore(limit time.Time) {
	for key, received := range c {
		if received.at.Before(limit) {
			delete(c, key)
		}
	}
}

func (c crashes) evictOldest() {
	var oldest crashKey
	for key, received := range c {
		if first, ok := c[oldest]; !ok || received.at.Before(first.at) {
			oldest = key
		}
	}
	delete(c, oldest)
}

// messages returns the messages for the crashes that are still propagated at the given time.
func (c crashes) messages(now time.Time) []*clusterpb.Crash {
	var messages []*clusterpb.Crash
	for _, received := range c {
		if now.Sub(received.at) < crashGossipPeriod {
			messages = append(messages, received.crash.pack(now.Sub(received.at)))
		}
	}
	return messages
}

// pack converts a crash to a message. sinceReceived is the time since this process learned of the crash.
func (c Crash) pack(sinceReceived time.Duration) *clusterpb.Crash {
	age := (c.Age + sinceReceived).Milliseconds()
	return &clusterpb.Crash{
		Agent: c.Agent, Incarnation: c.Incarnation.ID, StartedMs: c.Incarnation.StartedMillis,
		AgeMs: uint32(age), Runs: wire.PackRuns(c.Runs),
	}
}

func unpackCrash(message *clusterpb.Crash) Crash {
	age := time.Duration(message.GetAgeMs()) * time.Millisecond
	incarnation := worker.Incarnation{ID: message.GetIncarnation(), StartedMillis: message.GetStartedMs()}
	return Crash{Agent: message.GetAgent(), Crash: runner.Crash{
		Incarnation: incarnation, Age: age, Runs: wire.UnpackRuns(message.GetRuns()),
	}}
}

// AddCrash stores a crash, which exchanges then propagate for crashGossipPeriod. It reports whether the crash was new.
func (d *Directory) AddCrash(now time.Time, crash Crash) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashes.add(now, crash)
}
