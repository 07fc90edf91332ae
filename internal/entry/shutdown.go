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

// The graceful shutdown of an entry has these steps, all within Settings.StopTimeout:
//
//  1. The readiness check fails, and jobs that would not end before the shutdown are refused (BeginShutdown).
//  2. The entry continues to serve for balancerDrainTime, since the load balancer may still send connections, and after
//     that while connections arrive: if no other entry is ready, the load balancer keeps sending them.
//  3. It stops listening, and waits until no job is open and all shards are released.
//  4. Requests that are still open get answerTimeout to complete.
const (
	// exitMargin is the part of StopTimeout reserved for the exit of the process.
	exitMargin = 400 * time.Millisecond
	// releaseMargin is the least time from the release of the shards to the end of the shutdown, in which the commit that
	// records the release is written.
	releaseMargin = 1200 * time.Millisecond
	// balancerDrainTime is how long after BeginShutdown the load balancer may still send new connections. It checks
	// readiness every second, and an answer may be late.
	balancerDrainTime = 2300 * time.Millisecond
	// connectionQuietTime is how long no connection must have arrived before the entry stops listening.
	connectionQuietTime = 250 * time.Millisecond
	// answerTimeout limits the time to answer the last open requests.
	answerTimeout = 250 * time.Millisecond
	// shutdownPollInterval is the time between two checks of a condition that the shutdown waits for.
	shutdownPollInterval = 20 * time.Millisecond
)

// Ingress is the part of the server for the platform's callers that a graceful shutdown uses.
type Ingress interface {
	// SinceConnection returns the time since the last connection was accepted.
	SinceConnection() time.Duration
	// StopListening stops accepting connections. Open ones continue to be served.
	StopListening()
	// DisableKeepAlives closes connections without an open request now, and the others after their next response.
	DisableKeepAlives()
	// Shutdown waits for open requests until the context is cancelled.
	Shutdown(ctx context.Context) error
}

// Shutdown shuts the entry down gracefully. It returns once no request is open or Settings.StopTimeout is nearly over, and
// an error if open requests were aborted. Call the function returned by New afterwards.
func (e *Entry) Shutdown(ingress Ingress) error {
	stopBy := e.BeginShutdown()
	time.Sleep(min(balancerDrainTime, clock.Until(stopBy)))
	for ingress.SinceConnection() < connectionQuietTime && clock.Now().Before(stopBy) {
		time.Sleep(shutdownPollInterval)
	}
	ingress.StopListening()
	ingress.DisableKeepAlives()
	for !e.IsIdle() && clock.Now().Before(stopBy) {
		time.Sleep(shutdownPollInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	return ingress.Shutdown(ctx)
}

// BeginShutdown makes the entry not ready, refuses jobs that would not end in time, and releases the shards. It returns
// the time by which all requests must have been answered.
func (e *Entry) BeginShutdown() (stopBy time.Time) {
	e.shuttingDown.Store(true)
	stopBy = clock.Now().Add(e.settings.StopTimeout - exitMargin)
	e.post(dispatch.ShutdownRequested{Until: stopBy})
	e.postDurable(durable.ShutdownRequested{Until: stopBy.Add(-releaseMargin)})
	_ = level.Info(e.logger).Log("msg", "stopping", "within", e.settings.StopTimeout)
	return stopBy
}

// IsShuttingDown reports whether a graceful shutdown has started.
func (e *Entry) IsShuttingDown() bool {
	return e.shuttingDown.Load()
}

// IsReady reports whether the entry accepts jobs: it has a configuration and a session with an agent, and is not shutting
// down.
func (e *Entry) IsReady() bool {
	version, _ := e.directory.Configuration()
	return !e.shuttingDown.Load() && version > 0 && e.agents.Load() > 0
}

// IsIdle reports whether no job is open, no submission or durable-job request waits for an answer, and no shard is owned
// here.
func (e *Entry) IsIdle() bool {
	return e.jobs.Load() == 0 && e.jobWaiters.count() == 0 && e.ownedShards.Load() == 0 && e.durableWaiters.count() == 0
}

// JobsOpen returns the number of open jobs, including those handed over to other entries.
func (e *Entry) JobsOpen() int { return int(e.jobs.Load()) }
