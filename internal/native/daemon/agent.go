// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"sailhead/internal/native/backend"
	"sailhead/internal/native/configuration"
	"sailhead/internal/native/gossip"
	"sailhead/internal/native/guard"
	"sailhead/internal/native/model"
	"sailhead/internal/native/owner"
	"sailhead/internal/native/ownership"
	"sailhead/internal/native/peer"
	"sailhead/internal/native/peer/peerpb"
	"sailhead/internal/native/placement"
	"sailhead/internal/settings"
)

// taskRetention is how long after its deadline a guard remembers a task. It must outlast every call that may still name the task: an owner
// stops asking lateOutcomeTimeout after the deadline.
const taskRetention = 30 * time.Second

// Agent runs beside a backend server: it owns submissions and guards its worker.
type Agent struct {
	*node
	owner     *ownerDuty
	guard     *guardDuty
	stopPeers func(context.Context) error
}

// NewAgent starts an agent. The clean-up performs a planned stop (see shutdown.go).
func NewAgent(s settings.Settings, logger log.Logger) (agent *Agent, cleanup func() error, err error) {
	policy, err := placement.NewPolicy(s.Policy, s.PolicySubset)
	if err != nil {
		return nil, nil, err
	}
	n, err := newNode(s, ownership.RoleAgent, logger)
	if err != nil {
		return nil, nil, err
	}
	server, closeBackend := backend.NewClient(string(s.BackendAddress), s.Connections, s.BackendTimeout)
	n.cleanups = append(n.cleanups, closeBackend)
	a := &Agent{node: n}
	a.guard = newGuardDuty(n, server.Run, guard.Limits{
		Slots: s.Slots, Queue: s.Queue, Records: s.TaskRecords, Retention: taskRetention,
	})
	table := ownership.NewTable(n.self.ID, n.limits(s.Submissions))
	view := placement.NewView(n.self.ID, s.Zone, policy, newRandom())
	a.owner = newOwnerDuty(n, owner.New(table, view, owner.Bounces{Max: s.Bounces, MaxWait: s.BounceWait}, newRandom()), a.guard)
	a.start()
	_ = level.Info(n.part("agent")).Log("msg", "guarding the worker", "backend", s.BackendAddress, "peers", n.self.Address)
	return a, a.stop, nil
}

// newRandom returns a generator with a random seed. Each state machine has its own, as they are not safe for concurrent
// use.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// start connects the duties and starts their goroutines.
func (a *Agent) start() {
	a.state.Watch(gossip.Watchers{
		Roster: func(r ownership.Roster) {
			a.owner.post(owner.RosterSeen{Roster: r})
			a.drain(r)
		},
		Configuration: func(c configuration.Configuration) {
			a.owner.post(owner.ConfigurationSeen{Configuration: c})
			a.guard.setDraining(byOperator, c.IsDraining(a.settings.Name))
		},
		Load: func(id ownership.MemberID, load model.Load) {
			a.owner.post(owner.LoadSeen{Guard: id, Load: load})
		},
	})
	a.exchanger.OwnLoad = func() (model.Load, bool) { return a.guard.load(), true }
	a.stopPeers = peer.NewServer(a.listener, peer.Services{
		Owner:     &ownerService{duty: a.owner},
		Guard:     &guardService{duty: a.guard},
		Gossip:    a.exchanger,
		Inspector: &inspector{node: a.node, fill: a.inspect},
	})
	a.run(a.owner.run)
	a.run(a.guard.run)
	a.runCommon()
}

// drain refuses new tasks while the platform's list shows the VM as leaving.
func (a *Agent) drain(r ownership.Roster) {
	if self, ok := r.MemberByID(a.self.ID); ok {
		a.guard.setDraining(byPlatform, self.Leaving)
	}
}

// inspect adds the numbers of both duties to the answer to an operator.
func (a *Agent) inspect(response *peerpb.InspectResponse) {
	a.guard.inspect(response)
	a.owner.inspect(response)
}
