// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package placement

import (
	"math/rand/v2"
	"time"

	"sailhead/internal/native/model"
	"sailhead/internal/native/ownership"
)

// View is what one owner knows of the workers and their loads. It is not safe for concurrent use.
type View struct {
	// self is the agent of the owner.
	self    ownership.MemberID
	zone    string
	policy  Policy
	random  *rand.Rand
	workers map[ownership.MemberID]*worker
	// order has the workers in the order in which their agents joined.
	order []*worker
	// typical is the mean service time over the loads of all workers; see observeMean.
	typical time.Duration
}

// NewView returns a view without workers.
func NewView(self ownership.MemberID, zone string, policy Policy, random *rand.Rand) *View {
	return &View{self: self, zone: zone, policy: policy, random: random, workers: make(map[ownership.MemberID]*worker)}
}

// SetMembers sets the workers to those of the listed agents. Draining reports whether operators drain a worker by its
// name. Loads of workers that stay are retained; a new worker counts as one with one free slot until its load is known.
func (v *View) SetMembers(agents []ownership.Member, draining func(name string) bool) {
	known := v.workers
	v.workers = make(map[ownership.MemberID]*worker, len(agents))
	v.order = v.order[:0]
	for _, agent := range agents {
		w, ok := known[agent.ID]
		if !ok {
			w = &worker{id: agent.ID, load: model.Load{Slots: 1}}
		}
		w.draining = agent.Leaving || draining(agent.Name)
		w.isLocal = agent.ID == v.self
		w.isNear = agent.Zone == v.zone
		v.workers[agent.ID] = w
		v.order = append(v.order, w)
	}
}

// Observe applies a load that a guard reported. A load that is not newer than the one in use is ignored.
func (v *View) Observe(id ownership.MemberID, load model.Load) {
	w, ok := v.workers[id]
	if !ok || !load.IsNewer(w.load) {
		return
	}
	w.load = load
	w.reported = w.outstanding
	v.observeMean(load.Mean)
}

// typicalWeight is the number of loads over which the typical mean service time is averaged.
const typicalWeight = 64

// observeMean adds the mean service time of a worker to the typical one, as an exponential moving average.
func (v *View) observeMean(mean time.Duration) {
	if v.typical == 0 {
		v.typical = mean
	}
	v.typical += (mean - v.typical) / typicalWeight
}

// Sent counts a task that was sent to a worker.
func (v *View) Sent(id ownership.MemberID) {
	if w, ok := v.workers[id]; ok {
		w.outstanding++
	}
}

// Returned counts an outcome of a task that was sent to a worker.
func (v *View) Returned(id ownership.MemberID) {
	if w, ok := v.workers[id]; ok && w.outstanding > 0 {
		w.outstanding--
		w.reported = min(w.reported, w.outstanding)
	}
}

// Suspend excludes a worker from placement until a time, as its agent was unreachable or unresponsive.
func (v *View) Suspend(id ownership.MemberID, until time.Time) {
	if w, ok := v.workers[id]; ok {
		w.suspendedUntil = until
	}
}

// Slots returns the number of slots of all workers, draining ones included.
func (v *View) Slots() int {
	slots := 0
	for _, w := range v.order {
		slots += w.load.Slots
	}
	return slots
}
