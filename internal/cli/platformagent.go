// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cli

import (
	"github.com/go-kit/log"

	"sailhead/internal/agent"
	"sailhead/internal/metric"
	"sailhead/internal/runner"
	"sailhead/internal/settings"
	"sailhead/platform"
)

// startPlatformAgent connects an agent with its worker, its store and its listeners, and starts it.
func startPlatformAgent(s settings.Settings, logger log.Logger, metrics *metric.Set) (onPlatform, error) {
	listeners, err := listen(s.HeartbeatAddress, s.PeerAddress)
	if err != nil {
		return onPlatform{}, err
	}
	heartbeats, sessions := listeners[0], listeners[1]
	store, closeStore := platform.NewStore(string(s.PlatformAddress))
	worker, closeWorker := platform.NewWorker(string(s.BackendAddress))
	limits := runner.DefaultLimits(s.MaxWorkerLease, s.StopTime)
	limits.NoEjection = s.EjectWorkers == settings.No
	limits.NoShares = s.Shares == settings.No
	agent, closeAgent := agent.New(agent.Settings{
		Name: s.Name, Zone: s.Zone, Sessions: sessions, Seeds: s.SeedAddresses(),
		Limits: limits, Ends: platform.NewEndStore(store), StopTimeout: s.StopTimeout, EventQueueSize: s.Ring,
	}, worker, platform.NewStoreWatcher(store, logger, metrics), logger, metrics)
	closeHeartbeats := platform.NewHeartbeats(heartbeats, agent)
	return onPlatform{setSeeds: agent.SetSeeds, stop: func() error {
		err := closeAgent()
		closeHeartbeats()
		closeWorker()
		closeStore()
		return err
	}}, nil
}
