// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cli

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"sailhead/internal/entry"
	"sailhead/internal/logging"
	"sailhead/internal/metric"
	"sailhead/internal/settings"
	"sailhead/platform"
)

// runPlatform runs an entry or an agent on the users' platform until SIGTERM or SIGINT, which start a shutdown. SIGHUP
// reads the settings file again: changed seeds and log level apply at once, other options at the next start. A file that
// is wrong then is logged and changes nothing.
func runPlatform(s streams, path string, role settings.Role) error {
	signals := make(chan os.Signal, signalBuffer)
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
			p.setSeeds(reloaded.SeedAddresses())
		}
	}
	return p.stop()
}

// signalBuffer is how many signals may wait to be handled; the Go runtime drops further ones. Not measured: one is
// enough for a shutdown, the others let SIGHUP arrive while an earlier one is handled.
const signalBuffer = 4

// onPlatform is a running process on the users' platform.
type onPlatform struct {
	// stop shuts the process down and returns once it has ended.
	stop func() error
	// setSeeds replaces the addresses of the processes that are asked while the store does not answer.
	setSeeds func([]string)
}

// startOnPlatform starts the process of the settings' role.
func startOnPlatform(s settings.Settings, logger log.Logger, metrics *metric.Set) (onPlatform, error) {
	if s.Role == settings.RolePlatformEntry {
		return startPlatformEntry(s, logger, metrics)
	}
	return startPlatformAgent(s, logger, metrics)
}

// listen opens a listener at each address. If one fails it closes the others and returns the error.
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
		Name: s.Name, Zone: s.Zone, Peers: listeners[2], Seeds: s.SeedAddresses(), StopTimeout: s.StopTimeout, Ring: s.Ring, Jobs: s.Jobs,
		Durable: platform.NewDurableJobs(store), StoreWrites: s.StoreWrites,
	}, configurations, platform.NewStoreWatcher(store), logger, metrics)
	closeReady := platform.NewReadiness(listeners[1], entry)
	ingress := platform.NewIngress(listeners[0], configurations.Current, entry, logger)
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
