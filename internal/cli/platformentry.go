// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cli

import (
	"time"

	"github.com/go-kit/log"

	"sailhead/internal/entry"
	"sailhead/internal/metric"
	"sailhead/internal/settings"
	"sailhead/platform"
)

// startPlatformEntry connects an entry with its store, its callers, the balancer and its listeners, and starts it.
func startPlatformEntry(s settings.Settings, logger log.Logger, metrics *metric.Set) (onPlatform, error) {
	listeners, err := listen(s.CallerAddress, s.ReadyAddress, s.PeerAddress)
	if err != nil {
		return onPlatform{}, err
	}
	callers, balancer, peers := listeners[0], listeners[1], listeners[2]
	store, closeStore := platform.NewStore(string(s.PlatformAddress))
	configurations := platform.NewConfigurations(logger, metrics)
	e, closeEntry := entry.New(entry.Settings{
		Name: s.Name, Zone: s.Zone, Peers: peers, Seeds: s.SeedAddresses(),
		StopTimeout: s.StopTimeout, EventQueueSize: s.Ring, Jobs: s.Jobs, ContainKinds: s.ContainKinds == settings.Yes,
		CrossRackFactor: s.CrossRackFactor, HandOver: s.HandOver == settings.Yes, ShareLearned: s.ShareLearned == settings.Yes,
		EjectWorkers: s.EjectWorkers == settings.Yes, ForecastAdmission: s.ForecastAdmission == settings.Yes,
		Shares: s.Shares == settings.Yes, ShareWeights: s.WeightsByKind(),
		Durable: platform.NewDurableJobs(store), StoreWrites: s.StoreWrites,
	}, configurations, platform.NewStoreWatcher(store, logger, metrics), logger, metrics)
	closeReady := platform.NewReadiness(balancer, e)
	ingress := platform.NewIngress(callers, configurations, e, logger)
	return onPlatform{setSeeds: e.SetSeeds, stop: func() error {
		err := e.Shutdown(ingress)
		closeWithin(closeTime, closeReady, closeEntry, closeStore)
		return err
	}}, nil
}

// closeTime is how long the clean-ups after a shutdown may take. A call to a store that does not answer would take longer, and the process
// ends anyway.
const closeTime = 150 * time.Millisecond

// closeWithin runs clean-ups in order and returns when they are done or the limit is over. Clean-ups that are left then go
// on in the background.
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
