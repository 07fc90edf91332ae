// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"sync"

	"github.com/go-kit/log/level"

	"sailhead/internal/dispatch"
	"sailhead/internal/evacuation"
	"sailhead/internal/metric"
)

// EvacuationsReceived passes the directory's state of the evacuated availability zones to the dispatcher, which places no
// tasks there, to the agents with a session, which start none, and to the choice of agents. It implements
// cluster.Listener.
//
// Calls for two changes may be reordered. All receivers merge the states, so that the newest change of each zone wins.
func (e *Entry) EvacuationsReceived(state evacuation.State) {
	e.evacuations.update(e, state)
	e.post(dispatch.EvacuationsChanged{State: state})
	for _, s := range e.sessions.all() {
		s.conn.SendEvacuations(state)
	}
	e.choice.notify()
}

// loggedEvacuations is the state of the evacuated availability zones that was last logged and exported. It is safe for
// concurrent use.
type loggedEvacuations struct {
	mu    sync.Mutex
	state evacuation.State
}

// update logs each availability zone that was evacuated or returned to service since the last call, and exports the
// number of evacuated ones.
func (s *loggedEvacuations) update(e *Entry, state evacuation.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.state
	s.state = before.Merge(state)
	for _, zone := range s.state.Zones() {
		if !before.IsEvacuated(zone) {
			_ = level.Info(e.logger).Log("msg", "zone evacuated", "zone", zone)
		}
	}
	for _, zone := range before.Zones() {
		if !s.state.IsEvacuated(zone) {
			_ = level.Info(e.logger).Log("msg", "zone taken back", "zone", zone)
		}
	}
	e.metrics.Set(metric.ZonesEvacuated, int64(len(s.state.Zones())))
}
