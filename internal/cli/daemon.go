// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cli

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"sailhead/internal/logging"
	"sailhead/internal/native/backendstandin"
	"sailhead/internal/native/daemon"
	"sailhead/internal/native/platformstandin"
	"sailhead/internal/settings"
)

// errRemoved is returned by a process that the roster no longer lists; a restart joins the roster again.
var errRemoved = daemon.ErrRemoved

// process is a running daemon.
type process struct {
	// stop shuts the daemon down and returns once it has ended.
	stop func() error
	// removed is closed when the roster no longer lists the daemon; nil if it is never listed.
	removed <-chan struct{}
}

// runDaemon starts a daemon and shuts it down on SIGTERM or SIGINT, or when the roster no longer lists it.
func runDaemon(s streams, path string, role settings.Role) error {
	loaded, err := settings.LoadFor(path, role)
	if err != nil {
		return err
	}
	logger := logging.New(s.err, logging.Level(loaded.LogLevel), string(role))
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	started, err := startDaemon(loaded, logger)
	if err != nil {
		return err
	}
	select {
	case received := <-signals:
		_ = level.Info(logger).Log("msg", "stopping", "signal", received)
		return started.stop()
	case <-started.removed:
		return errors.Join(errRemoved, started.stop())
	}
}

// startDaemon starts the daemon of the settings' role.
func startDaemon(s settings.Settings, logger log.Logger) (process, error) {
	switch s.Role {
	case settings.RoleEntry:
		entry, stop, err := daemon.NewEntry(s, logger)
		if err != nil {
			return process{}, err
		}
		return process{stop: stop, removed: entry.Removed()}, nil
	case settings.RoleAgent:
		agent, stop, err := daemon.NewAgent(s, logger)
		if err != nil {
			return process{}, err
		}
		return process{stop: stop, removed: agent.Removed()}, nil
	case settings.RolePlatformStandin:
		_, address, stop, err := platformstandin.NewServer(string(s.ListenAddress))
		return standin(logger, address, stop, err)
	case settings.RoleBackendStandin:
		_, address, stop, err := backendstandin.NewServer(string(s.ListenAddress), backendstandin.Behaviour{
			Mode: backendstandin.ModeServe, MinMillis: int(s.ServiceTimeMin.Milliseconds()), MaxMillis: int(s.ServiceTimeMax.Milliseconds()),
		})
		return standin(logger, address, stop, err)
	default:
		return process{}, errors.Errorf("cli: the role %s is no daemon", s.Role)
	}
}

// standin wraps a stand-in, which is in no roster and stops without an error.
func standin(logger log.Logger, address string, stop func(), err error) (process, error) {
	if err != nil {
		return process{}, err
	}
	_ = level.Info(logger).Log("msg", "serving", "address", address)
	return process{stop: func() error { stop(); return nil }}, nil
}
