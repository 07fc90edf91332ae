// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"fmt"
	"math"
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/worker"
)

// variedKind is a kind of job of which each job has sizes of its own.
type variedKind struct {
	dispatch.Kind
	// width is the mean number of tasks, each their mean time, cpu their mean need in thousandths of a core.
	width int
	each  time.Duration
	cpu   int
	// share is the part of all jobs that are of the kind.
	share float64
}

// variedKinds are the three kinds of package overload with sizes that vary.
var variedKinds = []variedKind{
	{Kind: newKind("lookup", 0), width: 8, each: 60 * time.Millisecond, cpu: 3300, share: 0.244},
	{Kind: newKind("reminder", 1), width: 2, each: 200 * time.Millisecond, cpu: 3300, share: 0.711},
	{Kind: newKind("confirmation", 2), width: 4, each: 900 * time.Millisecond, cpu: 3300, share: 0.045},
}

const (
	// sizeSpread is the standard deviation of the logarithm of widths and times, needSpread that of needs, unevenness that of the times of the
	// tasks of one job, and guessSpread that of the callers' guesses.
	sizeSpread     = 0.4
	demandSpread   = 0.2
	taskTimeSpread = 0.15
	estimateSpread = 0.4
	// maxSizeFactor is by how many times a width or a time exceeds the mean at most, largestNeed a need.
	maxSizeFactor   = 4
	maxDemandFactor = 1.5
)

// burst is a time in which more jobs come than usual.
type burst struct {
	// kind and zone are those whose jobs come more often, empty for all; entry is the number of the only entry that gets more, counted from 1, zero
	// for all.
	kind, zone string
	entry      int
	factor     float64
	from, to   time.Duration
}

// burstSite is a site on which more work comes at times than fits.
type burstSite struct {
	*site
	// load is the work that usually comes, as a part of what all workers do.
	load   float64
	bursts []burst
	// hotRack is the rack of the data of some lookups, and hotShare the part of them, 0 to 1.
	hotRack  string
	hotShare float64
	// estimateBias is by how many times callers' guesses are too long.
	estimateBias float64
	// failingKind is a kind of which a share of the runs, 0 to 1, fails on any worker for a time; empty for none.
	failingKind  string
	failingShare float64
	// failingSlowdown is by how many times the tasks of failingKind take longer than their callers guess.
	failingSlowdown float64
	// attempts is how many runs of a task may fail, zero for as many as the kind says.
	attempts int
	started  time.Time
	lastJob  int
	// jobs are all that came, in the order of their arrival.
	jobs []*variedJob
	// sharedWith are the entries that get half of the jobs of others.
	sharedWith map[*entry]*entry
}

// variedJob is a job and what became of it.
type variedJob struct {
	kind    variedKind
	zone    string
	arrived time.Duration
	// work is that of all its tasks, in core-seconds, and objective the time within which it should be answered.
	work      float64
	objective time.Duration
	// longest is the time of its longest task.
	longest time.Duration
	// took is the time until the answer, which is nil if there was none.
	took   time.Duration
	answer dispatch.Answer
}

// isOnTime reports whether the job was done within its objective.
func (j *variedJob) isOnTime() bool {
	_, isDone := j.answer.(dispatch.Completed)
	return isDone && j.took <= j.objective
}

// newBurstSite returns a site of three availability zones. Every third worker has half as many cores again as the others.
func newBurstSite(seed uint64, entries, agents int, load float64, bursts ...burst) *burstSite {
	return newBurstSiteWith(seed, entries, agents, load, func(*site) {}, bursts...)
}

// newBurstSiteWith returns such a site that an option has changed before its entries and agents are added.
func newBurstSiteWith(seed uint64, entries, agents int, load float64, option func(*site), bursts ...burst) *burstSite {
	const cpu, subsetSize, rackSize = 32000, 48, 8
	s := &burstSite{site: newSite(seed, 0, 0, 0, option), load: load, bursts: bursts, estimateBias: 1, failingSlowdown: 1, sharedWith: make(map[*entry]*entry)}
	s.build(entries, agents, subsetSize, func(number int, a *agent) {
		a.cpu, a.rack = cpu, fmt.Sprintf("rack-%d", number/rackSize)
		if number%3 == 2 {
			a.cpu = cpu * 3 / 2
		}
	})
	return s
}

// simulate lets jobs come for some time, and the site run until all are answered.
func (s *burstSite) simulate(length time.Duration) {
	s.started = s.now
	rate := s.load * s.cores() / meanVariedJobWork()
	for number, e := range s.entries {
		for _, k := range variedKinds {
			s.scheduleVariedArrivals(number, e, k, rate*k.share/float64(len(s.entries)), length)
		}
	}
	s.run(length + 5*time.Second)
}

// cores returns the cores of all workers.
func (s *burstSite) cores() float64 {
	sum := 0
	for _, a := range s.agents {
		sum += a.cpu
	}
	return float64(sum) / 1000
}

// meanVariedJobWork is the mean work of a job, in core-seconds.
func meanVariedJobWork() float64 {
	sum := 0.0
	for _, k := range variedKinds {
		sum += k.share * float64(k.width*k.cpu) / 1000 * k.each.Seconds()
	}
	return sum
}

// scheduleVariedArrivals submits jobs of a kind to an entry, perSecond of them on average while there is no burst.
func (s *burstSite) scheduleVariedArrivals(number int, e *entry, k variedKind, perSecond float64, length time.Duration) {
	most := 1.0
	for _, b := range s.bursts {
		most = math.Max(most, b.factor)
	}
	gap := time.Duration(s.random.ExpFloat64() / (perSecond * most) * float64(time.Second))
	s.after(gap, func() {
		age := s.now.Sub(s.started)
		if age > length {
			return
		}
		if s.random.Float64() < s.factorAt(age, number, e, k)/most {
			s.submitVaried(e, k)
		}
		s.scheduleVariedArrivals(number, e, k, perSecond, length)
	})
}

// factorAt returns by how many times more jobs of a kind come to an entry than usual.
func (s *burstSite) factorAt(age time.Duration, number int, e *entry, k variedKind) float64 {
	factor := 1.0
	for _, b := range s.bursts {
		if age >= b.from && age < b.to && (b.kind == "" || b.kind == k.Name) && (b.zone == "" || b.zone == e.zone) && (b.entry == 0 || b.entry == number+1) {
			factor = math.Max(factor, b.factor)
		}
	}
	return factor
}

// submitVaried hands a job of random sizes to an entry.
func (s *burstSite) submitVaried(e *entry, k variedKind) {
	s.lastJob++
	id := fmt.Sprintf("%016x", s.lastJob)
	width := max(1, int(math.Round(float64(k.width)*s.logNormalFactor(sizeSpread, maxSizeFactor))))
	cpu := int(float64(k.cpu) * s.logNormalFactor(demandSpread, maxDemandFactor))
	each := time.Duration(float64(k.each) * s.logNormalFactor(sizeSpread, maxSizeFactor))
	if other := s.sharedWith[e]; other != nil && s.random.IntN(2) == 0 {
		e = other
	}
	j := &variedJob{kind: k, zone: e.zone, arrived: s.now.Sub(s.started)}
	var longest time.Duration
	rack := ""
	if k.Name == "lookup" && s.random.Float64() < s.hotShare {
		rack = s.hotRack
	}
	for i := range width {
		if rack != "" {
			s.racks[dispatch.TaskName(id, 0, i)] = rack
		}
		runTime := time.Duration(float64(each) * s.logNormalFactor(taskTimeSpread, maxSizeFactor))
		s.runTimes[dispatch.TaskName(id, 0, i)] = runTime
		if k.Name == s.failingKind {
			s.failing[dispatch.TaskName(id, 0, i)] = s.failingShare
			runTime = time.Duration(s.failingSlowdown * float64(runTime))
			s.runTimes[dispatch.TaskName(id, 0, i)] = runTime
		}
		longest = max(longest, runTime)
		j.work += float64(cpu) / 1000 * runTime.Seconds()
	}
	j.longest = longest
	j.objective = time.Duration(k.Stretch*float64(longest)) + k.Target
	s.jobs = append(s.jobs, j)
	estimate := time.Duration(s.estimateBias * float64(each) * s.logNormalFactor(estimateSpread, maxSizeFactor))
	step := dispatch.Step{Count: width, Needs: worker.Resources{CPU: cpu, Memory: 64}, Expected: estimate, Rack: rack}
	if s.attempts > 0 {
		k.Attempts = s.attempts
	}
	submitted := dispatch.Job{ID: id, Payload: each.String(), Kind: k.Kind, Steps: []dispatch.Step{step}}
	began := s.now
	e.submit(submitted, func(answer dispatch.Answer) { j.answer, j.took = answer, s.now.Sub(began) })
}

// logNormalFactor returns a random factor with a mean of about 1, whose logarithm has a standard deviation.
func (s *burstSite) logNormalFactor(deviation, largest float64) float64 {
	return math.Min(math.Exp(s.random.NormFloat64()*deviation-deviation*deviation/2), largest)
}

// served returns the part of the jobs on time, by their work, among those for which matches returns true, and their number.
func (s *burstSite) served(matches func(*variedJob) bool) (share float64, jobs int) {
	var all, onTime float64
	for _, j := range s.jobs {
		if !matches(j) {
			continue
		}
		jobs++
		all += j.work
		if j.isOnTime() {
			onTime += j.work
		}
	}
	return onTime / math.Max(all, 1e-9), jobs
}

// during returns a condition for served: the job came in a time, and is of a kind and zone unless these are empty.
func during(from, to time.Duration, kind, zone string) func(*variedJob) bool {
	return func(j *variedJob) bool {
		return j.arrived >= from && j.arrived < to && (kind == "" || kind == j.kind.Name) && (zone == "" || zone == j.zone)
	}
}
