// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cli

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"sailhead/internal/agent"
	"sailhead/internal/entry"
	"sailhead/internal/logging"
	"sailhead/internal/metric"
	"sailhead/internal/runner"
	"sailhead/internal/settings"
	"sailhead/platform"
)

// runPlatform runs an entry or an agent on the users' platform until it is told to stop. SIGHUP reads the
// settings file again: seeds and log level are taken into use, the rest at the next start.
func runPlatform(s streams, path string, role settings.Role) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	loaded, err := settings.LoadFor(path, role)
	if err != nil {
		return err
	}
	ring, flush := logging.NewRing(s.out)
	defer flush()
	logger, setLevel := logging.NewAdjustable(ring, logging.Level(loaded.LogLevel), loaded.Name)
	metrics := metric.NewSet()
	metrics.Publish("sailhead")
	closeMetrics, err := serveMetrics(loaded, ring)
	if err != nil {
		return err
	}
	defer closeMetrics()
	p, err := startOnPlatform(loaded, logger, metrics)
	if err != nil {
		_ = level.Error(logger).Log("msg", "unable to start", "err", err)
		return err
	}
	for received := range signals {
		if received != syscall.SIGHUP {
			_ = level.Info(logger).Log("msg", "stopping", "signal", received)
			break
		}
		reloaded, err := settings.LoadFor(path, role)
		_ = level.Info(logger).Log("msg", "settings read again", "err", err)
		if err == nil {
			setLevel(logging.Level(reloaded.LogLevel))
			p.setSeeds(seedsOf(reloaded))
		}
	}
	return p.stop()
}

// onPlatform is a started process on the users' platform.
type onPlatform struct {
	stop     func() error
	setSeeds func([]string)
}

// serveMetrics shows the counters and histograms of the process, and how many lines of the log were dropped.
func serveMetrics(s settings.Settings, ring *logging.Ring) (func(), error) {
	if s.MetricsAddress == "" {
		return func() {}, nil
	}
	listeners, err := listen(s.MetricsAddress)
	if err != nil {
		return nil, err
	}
	if expvar.Get(droppedLines) == nil {
		expvar.Publish(droppedLines, expvar.Func(func() any { return ring.Dropped() }))
	}
	server := &http.Server{Handler: expvar.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listeners[0]) }()
	return func() { _ = server.Close() }, nil
}

// droppedLines names the counter of the log's lines that were dropped.
const droppedLines = "log_lines_dropped"

func startOnPlatform(s settings.Settings, logger log.Logger, metrics *metric.Set) (onPlatform, error) {
	if s.Role == settings.RolePlatformEntry {
		return startPlatformEntry(s, logger, metrics)
	}
	return startPlatformAgent(s, logger, metrics)
}

// listen opens all listeners, or none.
func listen(addresses ...settings.Address) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		listener, err := net.Listen("tcp", string(address))
		if err != nil {
			for _, each := range listeners {
				_ = each.Close()
			}
			return nil, errors.Wrapf(err, "cli: unable to listen at %s", address)
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

func seedsOf(s settings.Settings) []string {
	seeds := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		seeds = append(seeds, string(seed))
	}
	return seeds
}

const (
	// balancerDelay is how long after the start of a planned stop the balancer may send new connections: it asks
	// every second, and misses twice.
	balancerDelay = 2300 * time.Millisecond
	// quietTime is how long no connection has come once the balancer sends none.
	quietTime = 250 * time.Millisecond
	// answerTime is how long the last open requests may take to be answered.
	answerTime = 250 * time.Millisecond
	pollPause  = 20 * time.Millisecond
)

func startPlatformEntry(s settings.Settings, logger log.Logger, metrics *metric.Set) (onPlatform, error) {
	listeners, err := listen(s.CallerAddress, s.ReadyAddress, s.PeerAddress)
	if err != nil {
		return onPlatform{}, err
	}
	store, closeStore := platform.NewStore(string(s.PlatformAddress))
	configurations := &platform.Configurations{}
	entry, closeEntry := entry.New(entry.Settings{
		Name: s.Name, Zone: s.Zone, Peers: listeners[2], Seeds: seedsOf(s), StopTimeout: s.StopTimeout, Ring: s.Ring, Jobs: s.Jobs,
		Durable: platform.NewDurableJobs(store), StoreWrites: s.StoreWrites,
	}, configurations, platform.NewStoreWatcher(store, logger), logger, metrics)
	closeReady := platform.NewReadiness(listeners[1], entry)
	ingress := platform.NewIngress(listeners[0], configurations.Current, entry)
	return onPlatform{setSeeds: entry.SetSeeds, stop: func() error {
		err := stopEntry(entry, ingress)
		closeWithin(closeTime, closeReady, closeEntry, closeStore)
		return err
	}}, nil
}

// closeTime is how long the last clean-ups of a planned stop may take: a call to a store that does not answer is not
// waited for, as the process ends anyway.
const closeTime = 150 * time.Millisecond

// closeWithin runs clean-ups in order and waits for them up to a time.
func closeWithin(limit time.Duration, cleanups ...func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, cleanup := range cleanups {
			cleanup()
		}
	}()
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// stopEntry stops an entry as planned: every request that arrives is answered. Once the balancer sends no more
// connections and no job is under way there is no reason to wait. Where no entry is ready the balancer goes on
// sending, and this one goes on serving to the end.
func stopEntry(entry *entry.Entry, ingress *platform.Ingress) error {
	until := entry.BeginShutdown()
	time.Sleep(min(balancerDelay, time.Until(until)))
	for ingress.SinceConnection() < quietTime && time.Now().Before(until) {
		time.Sleep(pollPause)
	}
	ingress.StopListening()
	ingress.CloseIdle()
	for !entry.IsIdle() && time.Now().Before(until) {
		time.Sleep(pollPause)
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(answerTime))
	defer cancel()
	return ingress.Shutdown(ctx)
}

func startPlatformAgent(s settings.Settings, logger log.Logger, metrics *metric.Set) (onPlatform, error) {
	listeners, err := listen(s.HeartbeatAddress, s.PeerAddress)
	if err != nil {
		return onPlatform{}, err
	}
	store, closeStore := platform.NewStore(string(s.PlatformAddress))
	worker, closeWorker := platform.NewWorker(string(s.BackendAddress))
	agent, closeAgent := agent.New(agent.Settings{
		Name: s.Name, Zone: s.Zone, Sessions: listeners[1], Seeds: seedsOf(s),
		Limits: runner.DefaultLimits(s.HoldTime, s.StopTime), StopTimeout: s.StopTimeout, Ring: s.Ring,
	}, worker, platform.NewStoreWatcher(store, logger), logger, metrics)
	closeHeartbeats := platform.NewHeartbeats(listeners[0], agent)
	return onPlatform{setSeeds: agent.SetSeeds, stop: func() error {
		err := closeAgent()
		closeHeartbeats()
		closeWorker()
		closeStore()
		return err
	}}, nil
}
