// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// newDenseSchedule returns a random schedule of a seed with few jobs of long tasks, and many faults, most of them at one entry and one agent.
func newDenseSchedule(seed uint64, names []faultName) schedule {
	random := rand.New(rand.NewPCG(seed, 4))
	return fillDenseSchedule(schedule{seed: seed, entries: 2 + random.IntN(2), agents: 2 + random.IntN(2)}, random, names)
}

// newHandOverSchedule is newDenseSchedule for three entries that hand most jobs over.
func newHandOverSchedule(seed uint64, names []faultName) schedule {
	random := rand.New(rand.NewPCG(seed, 5))
	return fillDenseSchedule(schedule{seed: seed, entries: 3, agents: 2 + random.IntN(2), handsOver: true}, random, append(names, peerPathSilent))
}

// fillDenseSchedule adds jobs and faults to a schedule.
func fillDenseSchedule(s schedule, random *rand.Rand, names []faultName) schedule {
	for range s.agents {
		s.clockRates = append(s.clockRates, slowClock+(1-slowClock)*float64(random.IntN(3))/2)
	}
	for i := range 1 + random.IntN(3) {
		s.jobs = append(s.jobs, s.denseJob(random, i))
	}
	victim := plannedFault{entry: random.IntN(s.entries), agent: random.IntN(s.agents)}
	for range 4 + random.IntN(20) {
		s.faults = append(s.faults, s.denseFault(random, names, victim))
	}
	return s
}

func (s schedule) denseJob(random *rand.Rand, number int) plannedJob {
	job := plannedJob{
		id: fmt.Sprintf("%016x", number+1), at: randomTime(random, 0, 2*time.Second), entry: random.IntN(s.entries), tasks: 1 + random.IntN(4),
		runTime: randomTime(random, time.Second, 8*time.Second), patience: randomTime(random, 100*time.Millisecond, 2500*time.Millisecond),
		submissions: 4,
	}
	job.deadline = job.patience
	if job.isSilent = random.IntN(2) == 0; !job.isSilent {
		job.deadline = time.Minute
	}
	job.prefix = []string{"", "", "", failPayload, crashPayload}[random.IntN(5)]
	return job
}

// denseFault returns a fault, in three of four cases at the victim.
func (s schedule) denseFault(random *rand.Rand, names []faultName, victim plannedFault) plannedFault {
	f := s.randomFault(random, names)
	f.span = randomTime(random, 5*time.Millisecond, 1500*time.Millisecond)
	if random.IntN(4) > 0 {
		f.entry = victim.entry
	}
	if random.IntN(4) > 0 {
		f.agent = victim.agent
	}
	return f
}
