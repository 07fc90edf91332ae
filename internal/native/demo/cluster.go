// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package demo

import (
	"context"
	"fmt"
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

// loopback lets the system choose the port.
const loopback = settings.Address("127.0.0.1:0")

// cluster is a whole small system.
type cluster struct {
	entries  []*daemon.Entry
	agents   []*daemon.Agent
	backends []*backendstandin.Server
	session  *operator.Session
	// stops are called in their order.
	stops []func()
}

// lines are the operator's lines that set the demo up.
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

// startCluster starts all processes of the demo inside this one.
func startCluster(options Options, logger log.Logger) (*cluster, error) {
	c := &cluster{}
	if err := c.start(options, logger); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

func (c *cluster) start(options Options, logger log.Logger) error {
	_, platformAddress, stopPlatform, err := platformstandin.NewServer(string(loopback))
	if err != nil {
		return err
	}
	c.stops = append(c.stops, stopPlatform)
	session, closeSession := operator.NewSession(operator.Options{
		Author: "demo", Region: settings.New(settings.RoleOperator).Region, PlatformAddress: platformAddress, PlatformTimeout: 2 * time.Second,
	})
	c.session = session
	c.stops = append([]func(){closeSession}, c.stops...)
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

func (c *cluster) startAgent(i int, platformAddress string, logger log.Logger) error {
	server, address, stopBackend, err := backendstandin.NewServer(string(loopback), backendstandin.Behaviour{
		Mode: backendstandin.ModeServe, MinMillis: 50, MaxMillis: 250,
	})
	if err != nil {
		return err
	}
	c.backends = append(c.backends, server)
	c.stops = append([]func(){stopBackend}, c.stops...)
	s := settings.New(settings.RoleAgent)
	s.Name = fmt.Sprintf("worker-%d", i+1)
	s.Zone = fmt.Sprintf("zone-%d", i%3+1)
	s.PlatformAddress = settings.Address(platformAddress)
	s.PeerAddress = loopback
	s.BackendAddress = settings.Address(address)
	s.GossipInterval = 200 * time.Millisecond
	agent, stop, err := daemon.NewAgent(s, logger)
	if err != nil {
		return err
	}
	c.agents = append(c.agents, agent)
	c.stops = append([]func(){func() { _ = stop() }}, c.stops...)
	return nil
}

func (c *cluster) startEntry(i int, platformAddress string, logger log.Logger) error {
	s := settings.New(settings.RoleEntry)
	s.Name = fmt.Sprintf("entry-%d", i+1)
	s.Zone = fmt.Sprintf("zone-%d", i%3+1)
	s.PlatformAddress = settings.Address(platformAddress)
	s.PeerAddress = loopback
	s.CallerAddress = loopback
	s.GossipInterval = 200 * time.Millisecond
	entry, stop, err := daemon.NewEntry(s, logger)
	if err != nil {
		return err
	}
	c.entries = append(c.entries, entry)
	c.stops = append([]func(){func() { _ = stop() }}, c.stops...)
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
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

func (c *cluster) isReady() bool {
	for _, entry := range c.entries {
		if !entry.Knows(len(lines()), len(c.entries)+len(c.agents)) {
			return false
		}
	}
	for _, agent := range c.agents {
		if !agent.Knows(len(lines()), len(c.entries)+len(c.agents)) {
			return false
		}
	}
	return true
}

// messages counts the messages between the processes.
func (c *cluster) messages() (needed, wasted, background int64) {
	for _, entry := range c.entries {
		needed += entry.Metrics().Value(metric.MessagesNeeded)
		wasted += entry.Metrics().Value(metric.MessagesWasted)
		background += entry.Metrics().Value(metric.MessagesGossip)
	}
	for _, agent := range c.agents {
		needed += agent.Metrics().Value(metric.MessagesNeeded)
		wasted += agent.Metrics().Value(metric.MessagesWasted)
		background += agent.Metrics().Value(metric.MessagesGossip)
	}
	return needed, wasted, 2 * background
}

func (c *cluster) stop() {
	for _, stop := range c.stops {
		stop()
	}
}
