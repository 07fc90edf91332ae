// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"sailhead/internal/native/owner"
	"sailhead/internal/native/ownership"
	"sailhead/internal/timeline"
)

// A planned stop, in order, all within Settings.StopTimeout:
//
//  1. The process accepts no new work: an entry closes its server for callers and refuses relays, an agent drains its
//     worker and refuses submissions.
//  2. It waits until all that it has accepted is answered.
//  3. It hands its memory over and leaves the roster (leave). An owner sends its records to the next choices of their
//     keys, an entry its bindings to one other entry.
//  4. It answers peers for lingerTime more, closes its server for peers, and ends its duties.
const (
	// shutdownPollInterval is the time between two checks of what a stop waits for.
	shutdownPollInterval = 5 * time.Millisecond
	// maxLeaveDelay bounds the random pause between two attempts to leave. Without the pause, processes that stopped at
	// once waited for each other until StopTimeout (TestAllMayStopAtOnce).
	maxLeaveDelay = 200 * time.Millisecond
	// lingerTime is how long a process that has left still answers its peers. Requests that were sent under the old roster are refused and
	// go elsewhere; a closed connection would leave their outcome unknown.
	lingerTime = 500 * time.Millisecond
)

// handover is a finished hand-over of a process's memory.
type handover struct {
	// heir has all of it. It is empty if there is no single heir.
	heir ownership.MemberID
	// epoch is the roster's epoch by which the heirs were chosen.
	epoch uint64
}

// stop performs the planned stop of an entry. It returns what could not be finished within StopTimeout.
func (e *Entry) stop() error {
	defer e.close()
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.StopTimeout)
	defer cancel()
	e.stopping.Store(true)
	err := e.stopCallers(ctx)
	err = errors.Join(err, waitFor(ctx, "open submissions", func() bool { return e.open.Load() == 0 }))
	err = errors.Join(err, e.leave(ctx, e.handOver, e.reopen))
	err = errors.Join(err, e.stopPeers(ctx))
	e.timeline.Add(timeline.Event{Kind: timeline.ProcessStopped, Task: timeline.NoTask})
	_ = level.Info(e.part("entry")).Log("msg", "stopped", "err", err)
	return err
}

// handOver sends the bindings to the first other entry in the roster's order that accepts them. Without another entry
// there is no heir, and the bindings are lost.
func (e *Entry) handOver(ctx context.Context) (handover, error) {
	e.mu.Lock()
	bindings := e.forwarder.Close()
	roster := e.forwarder.Roster()
	e.mu.Unlock()
	var failure error
	for _, heir := range roster.Listed(ownership.RoleEntry) {
		if heir.ID == e.self.ID {
			continue
		}
		failure = e.client.HandBindings(ctx, heir, e.self.ID, bindings)
		if failure == nil {
			return handover{heir: heir.ID, epoch: roster.Epoch}, nil
		}
	}
	return handover{epoch: roster.Epoch}, failure
}

// reopen lets the entry inherit from others again, after a hand-over that failed.
func (e *Entry) reopen() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forwarder.Reopen()
}

// stop performs the planned stop of an agent. It returns what could not be finished within StopTimeout.
func (a *Agent) stop() error {
	defer a.close()
	ctx, cancel := context.WithTimeout(context.Background(), a.settings.StopTimeout)
	defer cancel()
	a.guard.setDraining(byStop, true)
	a.owner.post(owner.LeaveAsked{})
	err := waitFor(ctx, "running submissions", func() bool { return a.owner.isIdle() })
	err = errors.Join(err, waitFor(ctx, "running tasks", func() bool { return a.guard.isIdle() }))
	err = errors.Join(err, a.leave(ctx, a.handOver, a.owner.reopen))
	err = errors.Join(err, a.stopPeers(ctx))
	a.timeline.Add(timeline.Event{Kind: timeline.ProcessStopped, Task: timeline.NoTask})
	_ = level.Info(a.part("agent")).Log("msg", "stopped", "err", err)
	return err
}

// handOver sends each heir its part of the submission table. An agent has an heir for each key, so it names none.
func (a *Agent) handOver(ctx context.Context) (handover, error) {
	table := a.owner.tableByHeir()
	roster := a.state.Roster()
	if roster.Epoch != table.epoch {
		return handover{}, errors.New("daemon: the owner has not seen the roster yet")
	}
	for id, records := range table.records {
		heir, ok := roster.MemberByID(id)
		if !ok {
			return handover{}, errors.Errorf("daemon: heir %s is unknown", id)
		}
		if err := a.client.HandRecords(ctx, heir, a.self.ID, table.epoch, records); err != nil {
			return handover{}, err
		}
	}
	return handover{epoch: table.epoch}, nil
}

// tableByHeir is the final records of a leaving owner's submission table, split by heir, under an epoch of the roster.
type tableByHeir struct {
	records map[ownership.MemberID][]ownership.Record
	epoch   uint64
}

// tableByHeir returns the records to hand over. The table inherits nothing from then on, until reopen.
func (d *ownerDuty) tableByHeir() tableByHeir {
	var table tableByHeir
	d.runInLoop(func(o *owner.Owner) { table.records, table.epoch = o.Table().Handover() })
	return table
}

// reopen lets the owner inherit from others again, after a hand-over that failed.
func (d *ownerDuty) reopen() {
	d.runInLoop(func(o *owner.Owner) { o.Table().Reopen() })
}

// leave hands the memory over and removes the process from the roster, and repeats both while the roster changes
// meanwhile. After a failure it lets the memory inherit again for a random pause: of two processes that leave and would
// hand over to each other, the one that pauses longer inherits.
func (n *node) leave(ctx context.Context, handOver func(context.Context) (handover, error), reopen func()) error {
	for {
		if !n.membership.IsListed() {
			return nil
		}
		done, err := handOver(ctx)
		if err == nil {
			err = n.membership.Leave(ctx, done.heir, done.epoch)
		}
		if err == nil {
			// The process has left either way, so a linger time that the end of the stop cuts short is no failure.
			_ = sleep(ctx, lingerTime)
			return nil
		}
		reopen()
		_ = level.Info(n.logger).Log("msg", "unable to leave the roster yet", "err", err)
		if sleep(ctx, rand.N(maxLeaveDelay)) != nil {
			return errors.Wrap(err, "daemon: unable to leave the roster")
		}
		n.refresh(ctx)
	}
}

// waitFor polls a condition until it holds or the context ends.
func waitFor(ctx context.Context, what string, isDone func() bool) error {
	for !isDone() {
		if err := sleep(ctx, shutdownPollInterval); err != nil {
			return errors.Wrapf(err, "daemon: unable to wait for %s", what)
		}
	}
	return nil
}
