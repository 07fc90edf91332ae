// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"sailhead/internal/native/admission"
	"sailhead/internal/native/model"
	"sailhead/internal/native/ownership"
)

// waitMargin is the factor by which an estimated wait is lengthened: other owners admit jobs at the same time
// on the same view, and a job of which one task comes too late has wasted all the others.
const waitFactor = 2.0

// View is what one owner knows of the workers' loads. It is not safe for concurrent use.
type View struct {
	self    ownership.MemberID
	zone    string
	policy  Policy
	random  *rand.Rand
	workers map[ownership.MemberID]*worker
	order   []*worker
	// typical is the mean service time of all workers.
	typical time.Duration
}

// worker is a worker as one owner sees it.
type worker struct {
	id       ownership.MemberID
	name     string
	zone     string
	load     model.Load
	draining bool
	// outstanding counts this owner's own tasks there.
	outstanding int
	// suspended is until when the worker gets no tasks, since its agent was not reached.
	suspended time.Time
	// reported is what outstanding was when the load was last seen.
	reported int
	isLocal  bool
	isNear   bool
}

// NewView returns a view without workers.
func NewView(self ownership.MemberID, zone string, policy Policy, random *rand.Rand) *View {
	return &View{self: self, zone: zone, policy: policy, random: random, workers: make(map[ownership.MemberID]*worker)}
}

// SetMembers takes the listed agents as the workers, with those that operators drain.
func (v *View) SetMembers(agents []ownership.Member, draining func(name string) bool) {
	known := v.workers
	v.workers = make(map[ownership.MemberID]*worker, len(agents))
	v.order = v.order[:0]
	for _, agent := range agents {
		w, ok := known[agent.ID]
		if !ok {
			w = &worker{id: agent.ID, name: agent.Name, zone: agent.Zone, load: model.Load{Slots: 1}}
		}
		w.draining = agent.Leaving || draining(agent.Name)
		w.isLocal = agent.ID == v.self
		w.isNear = agent.Zone == v.zone
		v.workers[agent.ID] = w
		v.order = append(v.order, w)
	}
}

// Observe takes in a load that a guard reported; an older one is ignored.
func (v *View) Observe(id ownership.MemberID, load model.Load) {
	w, ok := v.workers[id]
	if !ok || !load.IsNewer(w.load) {
		return
	}
	w.load = load
	w.reported = w.outstanding
	v.learnMean(load.Mean)
}

// typicalWeight is the number of loads over which the typical mean service time is taken.
const typicalWeight = 64

// learnMean takes a worker's mean service time into the typical one.
func (v *View) learnMean(mean time.Duration) {
	if v.typical == 0 {
		v.typical = mean
	}
	v.typical += (mean - v.typical) / typicalWeight
}

// Sent counts a task on its way to a worker.
func (v *View) Sent(id ownership.MemberID) {
	if w, ok := v.workers[id]; ok {
		w.outstanding++
	}
}

// Returned counts a task that has an outcome.
func (v *View) Returned(id ownership.MemberID) {
	if w, ok := v.workers[id]; ok && w.outstanding > 0 {
		w.outstanding--
		w.reported = min(w.reported, w.outstanding)
	}
}

// Suspend keeps tasks away from a worker whose agent was not reached.
func (v *View) Suspend(id ownership.MemberID, until time.Time) {
	if w, ok := v.workers[id]; ok {
		w.suspended = until
	}
}

// Place chooses a worker for a task that is not among those tried. A free slot at the owner goes first.
func (v *View) Place(now time.Time, urgency int, tried []ownership.MemberID) (ownership.MemberID, bool) {
	candidates := make([]*worker, 0, len(v.order))
	for _, w := range v.order {
		if !w.isOpen(now) || slices.Contains(tried, w.id) {
			continue
		}
		if w.isLocal && w.ahead(urgency) < w.load.Slots && w.slowness(v.typical) == 1 {
			return w.id, true
		}
		candidates = append(candidates, w)
	}
	if len(candidates) == 0 {
		return "", false
	}
	return choose(v.policy, v.random, candidates, rank{urgency: urgency, typical: v.typical}).id, true
}

// HasFree reports whether a worker that is not among those tried seems to have a free slot.
func (v *View) HasFree(now time.Time, urgency int, tried []ownership.MemberID) bool {
	for _, w := range v.order {
		if w.isOpen(now) && w.ahead(urgency) < w.load.Slots && !slices.Contains(tried, w.id) {
			return true
		}
	}
	return false
}

// Finish estimates how long the last of new tasks takes to end, over all open workers.
func (v *View) Finish(now time.Time, tasks, urgency int, estimate admission.Estimate) (time.Duration, bool) {
	var total admission.Demand
	for _, w := range v.order {
		if w.isOpen(now) {
			total = total.With(w.load, urgency)
			total = total.WithTasks(w.outstanding-w.reported, estimate.Mean)
		}
	}
	if total.Slots == 0 {
		return 0, false
	}
	wait := total.WithTasks(tasks, estimate.Mean).Wait()
	return time.Duration(waitFactor*float64(wait)) + estimate.High, true
}

// Slots returns the number of slots of all workers.
func (v *View) Slots() int {
	slots := 0
	for _, w := range v.order {
		slots += w.load.Slots
	}
	return slots
}

func (w *worker) isOpen(now time.Time) bool {
	return !w.draining && !w.load.Leaving && !now.Before(w.suspended)
}

// ahead estimates how many tasks a new one would wait for.
func (w *worker) ahead(urgency int) int {
	return w.load.Ahead(urgency) + w.outstanding - w.reported
}

// rank is what workers are compared by.
type rank struct {
	urgency int
	typical time.Duration
}

// isBetter reports whether the worker would serve a task sooner than the other.
func (w *worker) isBetter(other *worker, by rank) bool {
	own, others := w.finish(by), other.finish(by)
	if own != others {
		return own < others
	}
	if w.isNear != other.isNear {
		return w.isNear
	}
	return w.ahead(by.urgency)*other.load.Slots < other.ahead(by.urgency)*w.load.Slots
}

// finish estimates when a new task would end, in typical service times; workers with a free slot are
// equal if they are equally fast.
func (w *worker) finish(by rank) float64 {
	slowness := w.slowness(by.typical)
	ahead := w.ahead(by.urgency)
	if ahead < w.load.Slots || by.typical == 0 {
		return slowness
	}
	work := w.load.WorkAhead(by.urgency) + time.Duration(w.outstanding-w.reported)*by.typical
	return slowness + float64(work)/float64(by.typical)/float64(max(w.load.Slots, 1))
}

// slowFactor is how much slower than typical a worker's tasks are before it counts as slow.
const slowFactor = 1.5

// slowness is how many times longer than typical tasks take at the worker, or 1 for an ordinary one.
func (w *worker) slowness(typical time.Duration) float64 {
	if typical == 0 || w.load.Mean == 0 {
		return 1
	}
	if slowness := float64(w.load.Mean) / float64(typical); slowness > slowFactor {
		return slowness
	}
	return 1
}
