// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package handover

import (
	"math"
	"testing"

	"sailhead/internal/clock"
	"sailhead/internal/durable/durablepb"
	"sailhead/internal/handover/handoverpb"
)

func TestAJobThatNoEntryHandsOverIsInvalid(t *testing.T) {
	good := func() *handoverpb.Job {
		steps := []*durablepb.Step{{Count: 2, Cpu: 1000}, {Count: 1, After: []uint32{0}}}
		return &handoverpb.Job{Number: 1, Job: &durablepb.Job{Id: "a", Stretch: 1.6, Steps: steps}}
	}
	if err := checkJob(good()); err != nil {
		t.Errorf("a good job: %s", err)
	}
	for name, change := range map[string]func(*handoverpb.Job){
		"no job":                       func(p *handoverpb.Job) { p.Job = nil },
		"no ID":                        func(p *handoverpb.Job) { p.Job.Id = "" },
		"no steps":                     func(p *handoverpb.Job) { p.Job.Steps = nil },
		"no tasks":                     func(p *handoverpb.Job) { p.Job.Steps[0].Count = 0 },
		"too many tasks":               func(p *handoverpb.Job) { p.Job.Steps[0].Count = maxTasks },
		"a step that waits for itself": func(p *handoverpb.Job) { p.Job.Steps[1].After = []uint32{1} },
		"CPU":                          func(p *handoverpb.Job) { p.Job.Steps[0].Cpu = math.MaxUint32 },
		"negative stretch":             func(p *handoverpb.Job) { p.Job.Stretch = -1 },
		"stretch is not a number":      func(p *handoverpb.Job) { p.Job.Stretch = math.NaN() },
		"infinite stretch":             func(p *handoverpb.Job) { p.Job.Stretch = math.Inf(1) },
	} {
		job := good()
		change(job)
		if err := checkJob(job); err == nil {
			t.Errorf("%s: no error", name)
		} else {
			t.Log(err)
		}
	}
}

// TestAnInvalidJobEndsTheConnection sends a job without steps to an entry. The entry must close the connection, cancel the job received
// before and accept none after it.
func TestAnInvalidJobEndsTheConnection(t *testing.T) {
	local := &fakeEntry{submitted: make(chan *submission, 10)}
	sender := newScriptedSender(t, local)
	invalid := packJob(clock.Now(), 2, "zone-a", job("b"))
	invalid.GetJob().Job.Steps = nil
	sender.send(packJob(clock.Now(), 1, "zone-a", job("a")))
	sender.echo(sender.receivePing())
	sender.send(invalid)
	sender.send(packJob(clock.Now(), 3, "zone-a", job("c")))
	receive(t, sender.conn.Closed())
	s := receive(t, local.submitted)
	if s.job.ID != "a" {
		t.Errorf("got the job %s first", s.job.ID)
	}
	receive(t, s.ctx.Done())
	if len(local.submitted) > 0 {
		t.Error("a job was taken after the invalid one")
	}
}
