// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cluster

import (
	"time"

	"sailhead/internal/cluster/clusterpb"
	"sailhead/internal/runner"
	"sailhead/internal/wire"
	"sailhead/internal/worker"
)

// Crashes of workers spread with each exchange, so that an entry without a session with the agent knows them too when a job
// comes again there.
const (
	// crashSpreadTime is how long an entry passes a crash on after it heard of it. An entry exchanges with a random other one about twice a
	// second and with as many that ask it, so 55 entries have all heard of a crash after about ten exchanges.
	crashSpreadTime = 5 * time.Second
	// crashLifetime is how long a crash is remembered, so that it is not taken for a new one: longer than the slowest entry passes it on.
	crashLifetime = 4 * crashSpreadTime
	// maxCrashes bounds the crashes that are remembered and sent: about 300 bytes each, 10 KB in an exchange at most.
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

// heardCrash is a crash with the time at which this process heard of it.
type heardCrash struct {
	crash Crash
	at    time.Time
}

// crashes are those that a process has heard of. The zero value is not usable; its owner guards it.
type crashes map[crashKey]heardCrash

// add stores a crash, and returns false if it was known. The oldest one goes if there are too many.
func (c crashes) add(now time.Time, crash Crash) bool {
	c.forgetBefore(now.Add(-crashLifetime))
	if _, ok := c[crash.key()]; ok {
		return false
	}
	if len(c) >= maxCrashes {
		c.forgetOldest()
	}
	c[crash.key()] = heardCrash{crash: crash, at: now}
	return true
}

func (c crashes) forgetBefore(limit time.Time) {
	for key, heard := range c {
		if heard.at.Before(limit) {
			delete(c, key)
		}
	}
}

func (c crashes) forgetOldest() {
	var oldest crashKey
	for key, heard := range c {
		if first, ok := c[oldest]; !ok || heard.at.Before(first.at) {
			oldest = key
		}
	}
	delete(c, oldest)
}

// messages returns the crashes that are passed on at a time.
func (c crashes) messages(now time.Time) []*clusterpb.Crash {
	var messages []*clusterpb.Crash
	for _, heard := range c {
		if now.Sub(heard.at) < crashSpreadTime {
			messages = append(messages, heard.crash.message(now.Sub(heard.at)))
		}
	}
	return messages
}

// message returns what exchanges carry of a crash that was heard of some time ago.
func (c Crash) message(heardAgo time.Duration) *clusterpb.Crash {
	age := (c.Age + heardAgo).Milliseconds()
	return &clusterpb.Crash{
		Agent: c.Agent, Incarnation: c.Incarnation.ID, StartedMs: c.Incarnation.StartedMillis,
		AgeMs: uint32(age), Runs: wire.PackRuns(c.Runs),
	}
}

func crashOf(message *clusterpb.Crash) Crash {
	age := time.Duration(message.GetAgeMs()) * time.Millisecond
	incarnation := worker.Incarnation{ID: message.GetIncarnation(), StartedMillis: message.GetStartedMs()}
	return Crash{Agent: message.GetAgent(), Crash: runner.Crash{
		Incarnation: incarnation, Age: age, Runs: wire.UnpackRuns(message.GetRuns()),
	}}
}

// AddCrash stores a crash, which is then passed on for some seconds. It reports whether the crash was not known.
func (d *Directory) AddCrash(now time.Time, crash Crash) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashes.add(now, crash)
}
