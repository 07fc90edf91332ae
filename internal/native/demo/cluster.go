// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package demo

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"

	"sailhead/internal/metric"
	"sailhead/internal/native/backendstandin"
	"sailhead/internal/native/daemon"
	"sailhead/internal/native/operator"
	"sailhead/internal/native/platformstandin"
	"sailhead/internal/settings"
)

// loopback is an address whose port the operating system chooses.
const loopback = settings.Address("127.0.0.1:0")

const (
	// gossipInterval is shorter than the default, so that the demo starts fast.
	gossipInterval = 200 * time.Millisecond
	// platformTimeout bounds the operator's calls to the platform.
	platformTimeout = 2 * time.Second
	// readyPollInterval is the time between two checks whether the processes are ready.
	readyPollInterval = 20 * time.Millisecond
	// zones is the number of availability zones over which the processes are spread.
	zones = 3
)

// process is an entry or an agent.
type process interface {
	Knows(version, members int) bool
	Metrics() *metric.Set
}

// cluster is the system of the demo.
type cluster struct {
	// processes are all entries and agents.
	processes []process
	entries   []*daemon.Entry
	backends  []*backendstandin.Server
	session   *operator.Session
	// stops are called from the last to the first.
	stops []func()
}

// lines are the operator's lines that configure the demo.
func lines() []string {
	return []string{
		"create service slot-broker",
		"set kind lookup of slot-broker urgency 6 deadline 3s expected 150ms repeatable yes",
		"set kind confirmation of slot-broker urgency 8 deadline 4s expected 200ms repeatable no",
		"set kind reminder of slot-broker urgency 3 deadline 6s expected 100ms repeatable yes",
		"create service refunds",
		"set kind eligibility of refunds urgency 7 deadline 3s expected 150ms repeatable yes",
		"set kind issuance of refunds urgency 9 deadline 4s expected 250ms repeatable no",
		"set team vardtidsforbundet quota 0",
		"set team dyfrdwy quota 0",
	}
}

// startCluster starts the system inside this process.
func startCluster(options Options, logger log.Logger) (*cluster, error) {
	c := &cluster{}
	if err := c.start(options, logger); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

// start starts the platform, the operator's session, the agents and the entries.
func (c *cluster) start(options Options, logger log.Logger) error {
	_, platformAddress, stopPlatform, err := platformstandin.NewServer(string(loopback))
	if err != nil {
		return err
	}
	c.stops = append(c.stops, stopPlatform)
	session, closeSession := operator.NewSession(operator.Options{
		Author: "demo", Region: settings.New(settings.RoleOperator).Region, PlatformAddress: platformAddress, PlatformTimeout: platformTimeout,
	})
	c.session = session
	c.stops = append(c.stops, closeSession)
	for i := range options.Agents {
		if err := c.startAgent(i, platformAddress, logger); err != nil {
			return err
		}
	}
	for i := range options.Entries {
		if err := c.startEntry(i, platformAddress, logger); err != nil {
			return err
		}
	}
	return nil
}

// startAgent starts a backend server and its agent.
func (c *cluster) startAgent(i int, platformAddress string, logger log.Logger) error {
	server, address, stopBackend, err := backendstandin.NewServer(string(loopback), backendstandin.Behaviour{
		Mode: backendstandin.ModeServe, MinMillis: minServiceMillis, MaxMillis: maxServiceMillis,
	})
	if err != nil {
		return err
	}
	c.backends = append(c.backends, server)
	c.stops = append(c.stops, stopBackend)
	s := settings.New(settings.RoleAgent)
	s.Name = fmt.Sprintf("worker-%d", i+1)
	s.Zone = fmt.Sprintf("zone-%d", i%zones+1)
	s.PlatformAddress = settings.Address(platformAddress)
	s.PeerAddress = loopback
	s.BackendAddress = settings.Address(address)
	s.GossipInterval = gossipInterval
	agent, stop, err := daemon.NewAgent(s, logger)
	if err != nil {
		return err
	}
	c.processes = append(c.processes, agent)
	c.stops = append(c.stops, ignoreError(stop))
	return nil
}

// startEntry starts an entry.
func (c *cluster) startEntry(i int, platformAddress string, logger log.Logger) error {
	s := settings.New(settings.RoleEntry)
	s.Name = fmt.Sprintf("entry-%d", i+1)
	s.Zone = fmt.Sprintf("zone-%d", i%zones+1)
	s.PlatformAddress = settings.Address(platformAddress)
	s.PeerAddress = loopback
	s.CallerAddress = loopback
	s.GossipInterval = gossipInterval
	entry, stop, err := daemon.NewEntry(s, logger)
	if err != nil {
		return err
	}
	c.processes = append(c.processes, entry)
	c.entries = append(c.entries, entry)
	c.stops = append(c.stops, ignoreError(stop))
	return nil
}

// prepare configures the system and waits until every process knows the configuration and the roster.
func (c *cluster) prepare(ctx context.Context) error {
	for _, line := range lines() {
		if _, err := c.session.Execute(ctx, line); err != nil {
			return err
		}
	}
	for !c.isReady() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "demo: unable to wait for the processes")
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// isReady reports whether every process knows the whole configuration and all other processes.
func (c *cluster) isReady() bool {
	for _, p := range c.processes {
		if !p.Knows(len(lines()), len(c.processes)) {
			return false
		}
	}
	return true
}

// messageCounts are the numbers of messages between the processes.
type messageCounts struct {
	needed     int64
	wasted     int64
	background int64
}

// messages counts the messages between the processes so far.
func (c *cluster) messages() messageCounts {
	var counts messageCounts
	for _, p := range c.processes {
		counts.needed += p.Metrics().Value(metric.MessagesNeeded)
		counts.wasted += p.Metrics().Value(metric.MessagesWasted)
		// An exchange of gossip is counted once, by the process that began it, and is a request and an answer.
		counts.background += 2 * p.Metrics().Value(metric.MessagesGossip)
	}
	return counts
}

// stop stops what was started, the last first.
func (c *cluster) stop() {
	for _, stop := range slices.Backward(c.stops) {
		stop()
	}
}

// ignoreError returns the clean-up of a process without its error, which the process has logged.
func ignoreError(stop func() error) func() {
	return func() { _ = stop() }
}
