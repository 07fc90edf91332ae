// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"testing"
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/timing"
)

// noticeSpare is how late an entry may notice that a caller has left, if nothing else is late: what timing.CallerRetryDelay leaves beside
// timing.RerunDelay.
const noticeSpare = timing.CallerRetryDelay - timing.RerunDelay

// leaveNoticedLate makes the caller leave and submit the job again at the last entry, which cannot reach the agent. The first entry notices it
// only after a time, in which it goes on echoing pings, and is lost right before to the agent, or to the entry that it has handed the job over
// to, so that neither the stop nor the withdrawal arrives.
func (r *runningJob) leaveNoticedLate(late time.Duration) {
	c := r.cluster
	last := c.entries[len(c.entries)-1]
	c.path(last, r.agent).silence(time.Minute)
	r.request.leave(false)
	c.after(late, func() {
		if r.front == r.entry {
			c.path(r.entry, r.agent).silence(time.Minute)
		} else {
			c.peerPath(r.front, r.entry).silence(time.Minute)
		}
		r.front.do(func() { r.front.handle(dispatch.CallerLeft{Job: r.request.job, Waiter: r.request.waiter}) })
	})
	c.after(timing.CallerRetryDelay, func() { last.submit(r.job, ignoreAnswer) })
}

// agentFaults are what happens to the agent, or to the calls to its worker, beside an entry that notices late.
var agentFaults = map[string]func(*runningJob){
	"nothing":                           func(*runningJob) {},
	"the worker accepts no stop":        acceptNoStop,
	"the agent is killed":               func(r *runningJob) { r.agent.restart(time.Minute) },
	"the agent is frozen for 100 ms":    func(r *runningJob) { r.agent.freeze(100 * time.Millisecond) },
	"calls leave the agent 100 ms late": func(r *runningJob) { r.agent.callDelay = func() time.Duration { return 100 * time.Millisecond } },
}

// noticeSeeds are seeds whose pings have other phases.
var noticeSeeds = []uint64{792000, 792001, 792002}

// overlapsIfNoticedLate returns in how many plays the task has two runs at a time, with a fault of the agent at once or at a time around the one
// at which the last lease of its session ends.
func overlapsIfNoticedLate(t *testing.T, start func(*testing.T, uint64) *runningJob, seed uint64, late time.Duration, fault func(*runningJob)) (overlaps, plays int) {
	t.Helper()
	times := []time.Duration{0}
	for after := timing.SessionLease - timing.PingInterval; after <= timing.SessionLease; after += timing.PingInterval / 8 {
		times = append(times, late+after)
	}
	for _, after := range times {
		r := start(t, seed)
		begun := r.cluster.begun
		r.leaveNoticedLate(late)
		r.cluster.after(after, func() { fault(r) })
		r.cluster.run(2 * time.Second)
		plays++
		if r.cluster.begun == begun {
			t.Error("the task does not run again")
		}
		if len(r.cluster.overlaps) > 0 {
			overlaps++
		}
	}
	return overlaps, plays
}

// TestARunEndsInTimeIfItsEntryNoticesTheCallerLate guards the time that is left to the entry to notice that a caller has left: noticeSpare, also
// if the entry is lost right then and the agent or its worker has a fault of its own.
func TestARunEndsInTimeIfItsEntryNoticesTheCallerLate(t *testing.T) {
	t.Parallel()
	for name, fault := range agentFaults {
		t.Run("own job/"+name, func(t *testing.T) { checkNoticedLate(t, newRunningJob, fault) })
		t.Run("job handed over/"+name, func(t *testing.T) { checkNoticedLate(t, newHandedOverJob, fault) })
	}
}

// checkNoticedLate checks all times up to noticeSpare by which the first entry may notice late that the caller has left.
func checkNoticedLate(t *testing.T, start func(*testing.T, uint64) *runningJob, fault func(*runningJob)) {
	t.Parallel()
	for _, seed := range noticeSeeds {
		for late := time.Duration(0); late <= noticeSpare; late += noticeSpare / 4 {
			if overlaps, plays := overlapsIfNoticedLate(t, start, seed, late, fault); overlaps > 0 {
				t.Errorf("seed %d, noticed %s late: two runs at a time in %d of %d plays", seed, late, overlaps, plays)
			}
		}
	}
}
