// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"sailhead/internal/clock"
	"sailhead/internal/dispatch"
	"sailhead/internal/durable"
)

// A planned stop of an entry, in order, all within Settings.StopTimeout:
//
//  1. The readiness page says no, and jobs that would not end before the stop are refused (BeginShutdown).
//  2. The entry keeps serving for balancerDelay, since the balancer may still send connections, and after that while
//     connections arrive: if no other entry is ready the balancer keeps sending them.
//  3. It stops listening, and waits until no job is under way and all shards are released.
//  4. Requests that are still open get answerTimeout to be answered.
const (
	// exitMargin is kept of StopTimeout for the end of the process.
	exitMargin = 400 * time.Millisecond
	// releaseMargin is how long before the end of the stop the shards are released at the latest, so that the commit that records the
	// release is written.
	releaseMargin = 1200 * time.Millisecond
	// balancerDrainTime is how long after BeginShutdown the balancer may send new connections. It asks every second, and an answer may be late.
	balancerDrainTime = 2300 * time.Millisecond
	// connectionQuietTime is how long no connection must have come before the entry stops listening.
	connectionQuietTime = 250 * time.Millisecond
	// answerTimeout is how long the last open requests may take to be answered.
	answerTimeout = 250 * time.Millisecond
	// shutdownPollInterval is the time between two checks of what a stop waits for.
	shutdownPollInterval = 20 * time.Millisecond
)

// Ingress is the server of the platform's callers, as a planned stop uses it.
type Ingress interface {
	// SinceConnection returns the time since the last connection came.
	SinceConnection() time.Duration
	// StopListening accepts no new connections; open ones are served on.
	StopListening()
	// CloseIdle closes the connections without an open request, and the others after their next answer.
	CloseIdle()
	// Shutdown waits for open requests until the context ends.
	Shutdown(ctx context.Context) error
}

// Shutdown performs a planned stop and returns when no request is open or the time is over. The error says that open
// requests were cut off. The clean-up of New comes after it.
func (e *Entry) Shutdown(ingress Ingress) error {
	stopBy := e.BeginShutdown()
	time.Sleep(min(balancerDrainTime, clock.Until(stopBy)))
	for ingress.SinceConnection() < connectionQuietTime && clock.Now().Before(stopBy) {
		time.Sleep(shutdownPollInterval)
	}
	ingress.StopListening()
	ingress.CloseIdle()
	for !e.IsIdle() && clock.Now().Before(stopBy) {
		time.Sleep(shutdownPollInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	return ingress.Shutdown(ctx)
}

// BeginShutdown makes the entry not ready, refuses jobs that would not end in time, and releases the shards. It returns
// when the process must have answered everything.
func (e *Entry) BeginShutdown() (stopBy time.Time) {
	e.shuttingDown.Store(true)
	stopBy = clock.Now().Add(e.settings.StopTimeout - exitMargin)
	e.post(dispatch.ShutdownRequested{Until: stopBy})
	e.postDurable(durable.ShutdownRequested{Until: stopBy.Add(-releaseMargin)})
	_ = level.Info(e.logger).Log("msg", "stopping", "within", e.settings.StopTimeout)
	return stopBy
}

// IsShuttingDown reports whether a planned stop has begun.
func (e *Entry) IsShuttingDown() bool {
	return e.shuttingDown.Load()
}

// IsReady reports whether the entry takes jobs: it has a configuration and an agent, and is not shutting down.
func (e *Entry) IsReady() bool {
	version, _ := e.directory.Document()
	return !e.shuttingDown.Load() && version > 0 && e.agents.Load() > 0
}

// IsIdle reports whether no job is under way, no request waits for an answer and no shard is owned here.
func (e *Entry) IsIdle() bool {
	return e.jobs.Load() == 0 && e.jobWaiters.count() == 0 && e.ownedShards.Load() == 0 && e.durableWaiters.count() == 0
}

// JobsOpen returns the number of jobs under way, those that were handed over included.
func (e *Entry) JobsOpen() int { return int(e.jobs.Load()) }
