// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/runner"
	"sailhead/internal/timing"
)

// newEntryWithoutJobs returns a coordinator whose latest news of the store is that there are no durable jobs.
func newEntryWithoutJobs() *Coordinator {
	c := New(Claim{Owner: "entry-0", Address: "a", Incarnation: 1}, Limits{Jobs: 160, StatusRetention: time.Minute, LeaseTTL: 6 * time.Second, CommitsPerSecond: 1000})
	c.Handle(testStart, ClaimsRead{})
	return c
}

// acknowledgedTasks returns the tasks whose ends are acknowledged by effects.
func acknowledgedTasks(effects []Effect) []string {
	var tasks []string
	for _, effect := range effects {
		if a, ok := effect.(AcknowledgeEnd); ok {
			tasks = append(tasks, a.Name)
		}
	}
	return tasks
}

// isHasJobsRead reports whether effects read whether there are durable jobs.
func isHasJobsRead(effects []Effect) bool {
	_, ok := find[CallHasJobs](effects)
	return ok
}

// The failure: an entry that had read the store before the first durable job, and heard nothing from it since, acknowledged the end of a durable
// run, so that the job's next owner ran the done task again.
func TestAnEntryWithOldNewsOfNoDurableJobsAcknowledgesNoEnd(t *testing.T) {
	c := newEntryWithoutJobs()
	now := testStart.Add(time.Second)
	got := acknowledgedTasks(c.Handle(now, TaskEnded{Agent: "side-1", Update: doneEnd(0)}))
	for range 20 {
		now = now.Add(time.Second)
		got = append(got, acknowledgedTasks(c.Handle(now, Ticked{}))...)
	}
	if len(got) > 0 {
		t.Errorf("acknowledged the ends of %v without an answer of the store", got)
	}
}

// An agent that keeps too many ends gets no tasks, so those of its earlier process have to be acknowledged where there are no durable jobs.
func TestEndsAreAcknowledgedAfterALaterReadThatFindsNoDurableJobs(t *testing.T) {
	c := newEntryWithoutJobs()
	now := testStart.Add(time.Second)
	c.Handle(now, TaskEnded{Agent: "side-1", Update: doneEnd(0)})
	c.Handle(now, TaskEnded{Agent: "side-2", Update: doneEnd(1)})
	if !isHasJobsRead(c.Handle(now, Ticked{})) {
		t.Fatal("no read after the ends have arrived")
	}
	c.Handle(now, TaskEnded{Agent: "side-3", Update: doneEnd(2)})
	if isHasJobsRead(c.Handle(now.Add(time.Minute), Ticked{})) {
		t.Fatal("a second read while one is in flight")
	}
	now = now.Add(minEndsReadInterval - time.Millisecond)
	want := []string{doneEnd(0).Name, doneEnd(1).Name}
	if got := acknowledgedTasks(c.Handle(now, HasJobsAnswered{})); !slices.Equal(got, want) {
		t.Errorf("acknowledged the ends of %v, want %v: the read began before the others arrived", got, want)
	}
	if isHasJobsRead(c.Handle(now, Ticked{})) {
		t.Error("read again too early")
	}
	now = now.Add(time.Millisecond)
	if !isHasJobsRead(c.Handle(now, Ticked{})) {
		t.Fatal("no read for the end that arrived during the first read")
	}
	if got := acknowledgedTasks(c.Handle(now, HasJobsAnswered{})); !slices.Equal(got, []string{doneEnd(2).Name}) {
		t.Errorf("acknowledged the ends of %v after the second read", got)
	}
	if isHasJobsRead(c.Handle(now.Add(time.Minute), Ticked{})) {
		t.Error("read although no end waits")
	}
}

// The ends of durable runs would be lost if a read that failed, or that found durable jobs, let them be acknowledged.
func TestEndsAreNotAcknowledgedIfTheReadFailsOrFindsDurableJobs(t *testing.T) {
	c := newEntryWithoutJobs()
	now := testStart.Add(time.Second)
	c.Handle(now, TaskEnded{Agent: "side-1", Update: doneEnd(0)})
	c.Handle(now, Ticked{})
	if got := acknowledgedTasks(c.Handle(now, HasJobsAnswered{Err: errors.New("no answer from the store")})); len(got) > 0 {
		t.Errorf("acknowledged the ends of %v after a read that failed", got)
	}
	now = now.Add(timing.EndResendInterval)
	c.Handle(now, TaskEnded{Agent: "side-1", Update: doneEnd(0)})
	if !isHasJobsRead(c.Handle(now, Ticked{})) {
		t.Fatal("no read after the end was resent")
	}
	if got := acknowledgedTasks(c.Handle(now, HasJobsAnswered{HasJobs: true})); len(got) > 0 {
		t.Errorf("acknowledged the ends of %v although there are durable jobs", got)
	}
	if !c.IsActive() {
		t.Error("no shards are claimed although there are durable jobs")
	}
}

// A claim, a submission or a read of the claims may tell of durable jobs while the read for the ends is in flight.
func TestEndsAreNotAcknowledgedOnceThereMayBeDurableJobs(t *testing.T) {
	for name, event := range map[string]Event{
		"claim": ClaimObserved{Claim: Claim{Owner: "entry-1", Address: "b", Token: 9}}, "submission": ActivationRequested{}, "read of the claims": ClaimsRead{HasJobs: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newEntryWithoutJobs()
			now := testStart.Add(time.Second)
			c.Handle(now, TaskEnded{Agent: "side-1", Update: doneEnd(0)})
			c.Handle(now, Ticked{})
			c.Handle(now, event)
			end := runner.Update{Name: doneEnd(1).Name, Run: 1, Outcome: runner.OutcomeDone, Unacknowledged: true}
			effects := c.Handle(now, TaskEnded{Agent: "side-1", Update: end})
			effects = append(effects, c.Handle(now, HasJobsAnswered{})...)
			if got := acknowledgedTasks(append(effects, c.Handle(now.Add(time.Second), Ticked{})...)); len(got) > 0 {
				t.Errorf("acknowledged the ends of %v", got)
			}
		})
	}
}
