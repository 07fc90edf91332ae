// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cli

import (
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"sailhead/internal/logging"
	"sailhead/internal/metric"
	"sailhead/internal/settings"
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
		if err != nil {
			continue
		}
		setLevel(logging.Level(reloaded.LogLevel))
		p.setSeeds(reloaded.SeedAddresses())
	}
	return p.stop()
}

// signalBuffer is how many signals may wait to be handled; the Go runtime drops further ones.
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
