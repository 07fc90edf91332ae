// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
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
	"sailhead/internal/timeline"
)

// taskRetention is how long after its deadline a guard remembers a task.
const taskRetention = 30 * time.Second

// Agent runs beside a backend server: it owns submissions and guards its worker.
type Agent struct {
	*node
	owner     *ownerDuty
	guard     *guardDuty
	stopPeers func(context.Context) error
}

// NewAgent starts an agent. Its clean-up stops it as planned: nothing in flight is cut off.
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
	a.owner = newOwnerDuty(n, owner.New(table, view, owner.Bounces{Most: s.Bounces, Wait: s.BounceWait}, newRandom()), a.guard)
	a.start()
	_ = level.Info(n.part("agent")).Log("msg", "guarding the worker", "backend", s.BackendAddress, "peers", n.self.Address)
	return a, a.stop, nil
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// start connects the duties and runs them.
func (a *Agent) start() {
	a.state.Watch(gossip.Watchers{
		Roster: func(r ownership.Roster) {
			a.owner.tell(owner.RosterSeen{Roster: r})
			a.drain(r)
		},
		Configuration: func(c configuration.Configuration) {
			a.owner.tell(owner.ConfigurationSeen{Configuration: c})
			a.guard.setDraining(byOperator, c.IsDraining(a.settings.Name))
		},
		Load: func(id ownership.MemberID, load model.Load) {
			a.owner.tell(owner.LoadSeen{Guard: id, Load: load})
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

// drain stops new tasks once the platform's list shows the VM as leaving.
func (a *Agent) drain(r ownership.Roster) {
	if self, ok := r.MemberByID(a.self.ID); ok {
		a.guard.setDraining(byPlatform, self.Leaving)
	}
}

// Removed is closed when the roster lists the agent no longer.
func (a *Agent) Removed() <-chan struct{} { return a.removed }

func (a *Agent) inspect(response *peerpb.InspectResponse) {
	a.guard.inspect(response)
	a.owner.inspect(response)
}

// stop takes no new work, finishes what runs, hands the submissions over and leaves the roster.
func (a *Agent) stop() error {
	defer a.close()
	ctx, cancel := context.WithTimeout(context.Background(), a.settings.StopTimeout)
	defer cancel()
	a.guard.setDraining(byStop, true)
	a.owner.tell(owner.LeaveAsked{})
	err := waitFor(ctx, "running submissions", func() bool { return a.owner.isIdle() })
	err = errors.Join(err, waitFor(ctx, "running tasks", func() bool { return a.guard.isIdle() }))
	err = errors.Join(err, a.leave(ctx, a.handOver, a.owner.reopen))
	err = errors.Join(err, a.stopPeers(ctx))
	a.timeline.Add(timeline.Event{Kind: timeline.ProcessStopped, Task: timeline.NoTask})
	_ = level.Info(a.part("agent")).Log("msg", "stopped", "err", err)
	return err
}

// handOver gives each heir its part of the submission table.
func (a *Agent) handOver(ctx context.Context) (ownership.MemberID, uint64, error) {
	handover := a.owner.handover()
	roster := a.state.Roster()
	if roster.Epoch != handover.epoch {
		return "", 0, errors.New("daemon: the owner has not seen the roster yet")
	}
	for id, records := range handover.heirs {
		heir, ok := roster.MemberByID(id)
		if !ok {
			return "", 0, errors.Errorf("daemon: heir %s is unknown", id)
		}
		if err := a.client.HandRecords(ctx, heir, a.self.ID, handover.epoch, records); err != nil {
			return "", 0, err
		}
	}
	return "", handover.epoch, nil
}
