// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"sailhead/internal/dispatch"
)

const (
	// scheduleLength is the time in which faults begin and jobs are submitted, and settleTime how long the simulation goes on after that.
	scheduleLength = 6 * time.Second
	settleTime     = 5 * time.Second
	// longestFault is the longest span of a fault.
	longestFault = 3 * time.Second
)

// schedule is a plan of jobs and faults in a cluster. The same schedule always gives the same events.
type schedule struct {
	seed            uint64
	entries, agents int
	// clockRates are the rates of the workers' clocks, by agent.
	clockRates []float64
	jobs       []plannedJob
	faults     []plannedFault
	// handsOver is set if each entry may have one job, and hands others over.
	handsOver bool
	// noFailedAgain is set if no caller submits a job again that has failed.
	noFailedAgain bool
}

func (s schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %d entries, %d agents, clock rates %v\n", s.seed, s.entries, s.agents, s.clockRates)
	for _, j := range s.jobs {
		fmt.Fprintf(&b, "  %s\n", j)
	}
	for _, f := range s.faults {
		fmt.Fprintf(&b, "  %s\n", f)
	}
	return b.String()
}

// plannedJob is a job with the behaviour of its caller, which submits it again at the next entry up to submissions times in all.
type plannedJob struct {
	id      string
	at      time.Duration
	entry   int
	tasks   int
	runTime time.Duration
	// patience is how long the caller waits for each answer, and deadline the time that it names.
	patience, deadline time.Duration
	// isSilent is set if no entry notices that the caller leaves.
	isSilent    bool
	submissions int
	// prefix is the prefix of the payload.
	prefix string
}

func (j plannedJob) String() string {
	return fmt.Sprintf("%s at %s to entry-%d: %d tasks of %s%s, the caller names %s, waits %s (leaves unnoticed: %t), and submits it up to %d times",
		j.id, j.at, j.entry, j.tasks, j.prefix, j.runTime, j.deadline, j.patience, j.isSilent, j.submissions)
}

// plannedFault is a fault of a process, a path or a link.
type plannedFault struct {
	kind         faultName
	at, span     time.Duration
	entry, agent int
	// share is the share of the calls, 0 to 1, that a fault of a worker's link applies to.
	share float64
	seed  uint64
}

func (f plannedFault) String() string {
	return fmt.Sprintf("%s at %s for %s: entry-%d, agent-%d, share %.1f", f.kind, f.at, f.span, f.entry, f.agent, f.share)
}

// newSchedule returns the random schedule of a seed, with faults of the given names.
func newSchedule(seed uint64, names []faultName) schedule {
	random := rand.New(rand.NewPCG(seed, 3))
	s := schedule{seed: seed, entries: 2 + random.IntN(2), agents: 2 + random.IntN(3)}
	for range s.agents {
		s.clockRates = append(s.clockRates, slowClock+(1-slowClock)*float64(random.IntN(3))/2)
	}
	for i := range 1 + random.IntN(6) {
		s.jobs = append(s.jobs, s.randomJob(random, i))
	}
	for range 1 + random.IntN(10) {
		s.faults = append(s.faults, s.randomFault(random, names))
	}
	return s
}

func (s schedule) randomJob(random *rand.Rand, number int) plannedJob {
	job := plannedJob{
		id: fmt.Sprintf("%016x", number+1), at: randomTime(random, 0, scheduleLength), entry: random.IntN(s.entries), tasks: 1 + random.IntN(3),
		runTime: randomTime(random, 50*time.Millisecond, 5*time.Second), patience: randomTime(random, 100*time.Millisecond, 4*time.Second),
		submissions: 2 + random.IntN(3),
	}
	job.deadline = job.patience
	return job
}

func (s schedule) randomFault(random *rand.Rand, names []faultName) plannedFault {
	shares := []float64{0.1, 0.3, 0.7, 1}
	return plannedFault{
		kind: names[random.IntN(len(names))], at: randomTime(random, 0, scheduleLength), span: randomSpan(random),
		entry: random.IntN(s.entries), agent: random.IntN(s.agents), share: shares[random.IntN(len(shares))], seed: random.Uint64(),
	}
}

// randomTime returns a time between two times, in whole milliseconds.
func randomTime(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64((most-least)/time.Millisecond)+1))*time.Millisecond
}

// randomSpan returns the span of a fault. One in two is short.
func randomSpan(random *rand.Rand) time.Duration {
	if random.IntN(2) == 0 {
		return randomTime(random, 10*time.Millisecond, longestFault/10)
	}
	return randomTime(random, 10*time.Millisecond, longestFault)
}

func (s schedule) setLimits(c *cluster) {
	if s.handsOver {
		c.limits = dispatch.Limits{Jobs: 1, HandOver: true}
	}
}

// play simulates the schedule.
func (s schedule) play() *cluster {
	c := newCluster(s.seed, s.entries, s.agents, s.setLimits)
	c.noFailedAgain = s.noFailedAgain
	for i, a := range c.agents {
		a.worker.rate = s.clockRates[i]
		a.random = rand.New(rand.NewPCG(s.seed, uint64(10+i)))
		stops := rand.New(rand.NewPCG(s.seed, uint64(20+i)))
		a.worker.stopTime = func() time.Duration { return randomTime(stops, 0, maxWorkerStop) }
	}
	for i, e := range c.entries {
		e.random = rand.New(rand.NewPCG(s.seed, uint64(30+i)))
	}
	for _, job := range s.jobs {
		c.after(job.at, func() { c.follow(job, 0) })
	}
	for _, fault := range s.faults {
		c.after(fault.at, func() { c.inject(fault) })
	}
	c.run(scheduleLength + settleTime)
	return c
}
