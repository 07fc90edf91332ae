// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package ejection decides whether a worker gets tasks, by how its runs end (outlier ejection).
//
// A Detector is a state machine without I/O and without a clock. It watches one worker, for the agent beside it, which sees the runs of all
// entries.
//
//	in service -> back-off    the latest runs went so badly that the worker is more likely ill than well, or it went down repeatedly
//	back-off   -> probing     the back-off is over
//	probing    -> back-off    a probe failed; the back-off is doubled
//	probing    -> in service  enough probes were done: one runs at a time at first, and one more with each that is done; or no entry
//	                          had a task for a probe for a while
//
// A worker in back-off or probing is ejected. A probe is a run of one task of a caller's job; entries choose one that can bear its failure.
//
// # Detection
//
// The detector is a cumulative sum test (CUSUM) between two assumptions: runs fail as often as others of their kind do elsewhere, or a quarter of
// those that would not fail besides. Each run adds the logarithm of how much more likely its end is under the second assumption, and the sum
// starts again at zero where it would fall below. A kind that fails on all workers thus says little of one of them. Of the runs of one job that
// fail only the first counts, as the job itself may be the cause.
//
// A run that takes far longer than expected counts like a failed one before it ends, so that a worker is found on which nothing ends. If only runs
// of one kind do while others are done, the kind is the likelier cause (kinds.go).
package ejection

import (
	"math"
	"time"
)

const (
	// minRate is the least share of runs that is assumed to fail on a worker that is well. minOverdueRate is the same for runs that are overdue:
	// estimates are wrong at times, and a few runs of each site take several times as long as others. minRejectedRate is that for starts that are
	// rejected or lost: each costs some milliseconds, so a worker that carries out some of them is worth using.
	minRate         = 0.02
	minOverdueRate  = 0.05
	minRejectedRate = 0.6
	// excessRate is the share of the runs, of those that would not fail elsewhere, that fail on a worker that is ill.
	excessRate = 0.25
	// maxScore is the sum from which a worker is ejected: that it is ill is then e^6 times, about 400 times, as likely as before. It takes three jobs
	// in a row that fail for the worker alone: two happen on each site now and then. restoredScore is that of a worker that has just been
	// put in service again, for which one less suffices.
	maxScore      = 6
	restoredScore = 2
	// MaxProbeRate is the share of the runs of a kind, 0 to 1, that fail elsewhere, from which a run of it is no probe.
	MaxProbeRate = 0.25

	// minBackoff and maxBackoff bound the time without probes. A worker that is well again should be in service within a second, of which three rounds of
	// probes take the rest.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 350 * time.Millisecond
	// relapseTime is the time in service within which another ejection continues with the back-off of the one before.
	relapseTime = 5 * time.Second
	// ProbeTime is how long a probe should take at most, so that the rounds of probes (neededProbes) fit into the second that minBackoff
	// names. One that takes longer does not hold up the next ones.
	ProbeTime = 150 * time.Millisecond
	// neededProbes is how many probes have to be done. One runs at first, then two at a time, then the others: three rounds, one after the
	// other. Of the workers that fail half of their runs one in thirty is put in service by that.
	neededProbes = 5
	// maxSilence is how long a worker waits for its next probe to be used. After that it is in service again: there are hardly any jobs, or none that
	// may fail.
	maxSilence = 3 * time.Second

	// flapTime is the time within which a worker goes down twice that is ejected: it goes down again soon after it has come back.
	flapTime = 5 * time.Second

	// rememberedJobs is how many jobs of which a run failed are remembered.
	rememberedJobs = 8
)

// tolerance is how much longer than usual a run may take before it is overdue. The factors are plain numbers; they have the type of the times
// that they multiply.
type tolerance struct {
	// factor is by how many times it may exceed its usual time, and projected by how many times it may if it goes on as fast as until now.
	factor    time.Duration
	projected time.Duration
	// minElapsed is how long it must have lasted before its progress tells its speed, as that is listed in hundredths and at intervals.
	minElapsed time.Duration
}

var (
	// runTolerance is that for a run in service: one far from its data takes three times as long.
	runTolerance = tolerance{factor: 3, projected: 5, minElapsed: 60 * time.Millisecond}
	// probeTolerance is that for a probe, which runs near its data and is listed more often.
	probeTolerance = tolerance{factor: 2, projected: 3, minElapsed: 40 * time.Millisecond}
)

const (
	// overdueMargin is what is added to the usual times, as runs are listed at intervals.
	overdueMargin = 50 * time.Millisecond
	// percentDone is the progress of a run that is done.
	percentDone = 100
)

// Progress is how far a run has come.
type Progress struct {
	Elapsed time.Duration
	// Percent is that of the work that is done, if IsKnown is set.
	Percent int
	IsKnown bool
}

// IsOverdue reports whether a run lasts far longer than its usual time. isProbe is set for a probe.
func IsOverdue(p Progress, usual time.Duration, isProbe bool) bool {
	allowed := runTolerance
	if isProbe {
		allowed = probeTolerance
	}
	switch {
	case usual <= 0:
		return false
	case p.Elapsed > allowed.factor*usual+overdueMargin:
		return true
	case !p.IsKnown || p.Elapsed < allowed.minElapsed:
		return false
	default:
		projected := p.Elapsed * percentDone / time.Duration(max(p.Percent, 1))
		return projected > allowed.projected*usual
	}
}

// End is how a run went.
type End int

// The ends of runs that count.
const (
	EndDone End = iota
	EndFailed
	// EndOverdue is that of a run which has lasted far longer than usual and has not ended.
	EndOverdue
	// EndRejected is that of a start that the worker rejected as unhealthy, or which it did not carry out.
	EndRejected
)

// minRate returns the least share of the runs that are assumed to end so on a worker that is well.
func (e End) minRate() float64 {
	switch e {
	case EndOverdue:
		return minOverdueRate
	case EndRejected:
		return minRejectedRate
	default:
		return minRate
	}
}

// Run is a run that ended, or that counts as if it had.
type Run struct {
	Job  string
	Kind string
	End  End
	// KindFailureRate is the share of the runs of the kind, 0 to 1, that fail elsewhere.
	KindFailureRate float64
	// Epoch is Detector.Epoch when the run was started.
	Epoch int
}

// Reason is why a worker was ejected, for logs.
type Reason string

// The reasons of an ejection.
const (
	ReasonFailures Reason = "runs failed"
	ReasonOverdue  Reason = "runs are overdue"
	ReasonRejected Reason = "starts were rejected or not carried out"
	ReasonFlapping Reason = "the worker went down repeatedly"
	ReasonProbe    Reason = "a probe failed"
)

// reasonOf returns the reason of an ejection by the end of its last run.
func reasonOf(end End) Reason {
	switch end {
	case EndOverdue:
		return ReasonOverdue
	case EndRejected:
		return ReasonRejected
	default:
		return ReasonFailures
	}
}

// phase is the phase of a worker.
type phase int

const (
	phaseInService phase = iota
	phaseBackoff
	phaseProbing
)

// Detector watches the runs of one worker. The zero value is that of a worker in service of which nothing is known.
type Detector struct {
	phase phase
	// score is the sum of the test while the worker is in service.
	score float64
	// kinds is what the runs of each kind show meanwhile.
	kinds kinds
	// epoch counts the ejections and the failed probes. Runs of an earlier epoch count no more.
	epoch int
	// ejectedAt is when the worker was ejected, reason why, and returnedAt when it was last put in service again.
	ejectedAt  time.Time
	reason     Reason
	returnedAt time.Time
	// backoff is the latest back-off, and until its end.
	backoff time.Duration
	until   time.Time
	// done is how many probes are done since the back-off, and activeAt when one was last under way.
	done     int
	activeAt time.Time
	// failed are the latest failed runs, the oldest first, one of each job.
	failed []Run
	// downAt is when the worker last went down.
	downAt time.Time
}

// IsEjected reports whether the worker gets no tasks but probes.
func (d *Detector) IsEjected() bool { return d.phase != phaseInService }

// Epoch returns the number of ejections and failed probes so far.
func (d *Detector) Epoch() int { return d.epoch }

// Ejection describes the latest ejection: when and why it was, and the kinds of the runs that failed before it.
func (d *Detector) Ejection() (at time.Time, reason Reason, kinds []string) {
	seen := make(map[string]bool)
	for _, run := range d.failed {
		if !seen[run.Kind] {
			seen[run.Kind] = true
			kinds = append(kinds, run.Kind)
		}
	}
	return d.ejectedAt, d.reason, kinds
}

// Observe applies how a run went. Those of an earlier epoch do not count: they were started before the ejection.
func (d *Detector) Observe(now time.Time, run Run) {
	switch {
	case run.Epoch != d.epoch:
	case d.phase == phaseInService:
		d.test(now, run)
	case d.phase == phaseProbing:
		d.observeProbe(now, run)
	}
}

// test adds a run to the sum, and ejects the worker if that is too large.
func (d *Detector) test(now time.Time, run Run) {
	evidence := d.kinds.limit(now, run, d.evidence(run), d.score)
	d.score = max(d.score+evidence, 0)
	d.kinds.add(now, run, evidence)
	if d.score >= maxScore {
		d.eject(now, reasonOf(run.End))
	}
}

// evidence returns the logarithm of how much more likely the end of a run is on a worker that is ill.
func (d *Detector) evidence(run Run) float64 {
	if run.End == EndDone {
		return math.Log(1 - excessRate)
	}
	if run.End != EndRejected && !d.remember(run) {
		return 0
	}
	rate := min(max(run.KindFailureRate, run.End.minRate()), 1)
	return math.Log((rate + excessRate*(1-rate)) / rate)
}

// remember adds a failed run to those that are remembered. It returns false if another run of its job is one of them.
func (d *Detector) remember(run Run) bool {
	for _, other := range d.failed {
		if other.Job == run.Job {
			return false
		}
	}
	d.failed = append(d.failed, run)
	if len(d.failed) > rememberedJobs {
		d.failed = d.failed[1:]
	}
	return true
}

// observeProbe applies how a run went that was started while the worker was probed.
func (d *Detector) observeProbe(now time.Time, run Run) {
	d.activeAt = now
	switch {
	case run.End == EndDone:
		d.probeDone(now)
	case run.KindFailureRate < MaxProbeRate:
		d.startBackoff(now, min(2*d.backoff, maxBackoff))
	}
}

// probeDone counts a probe that is done.
func (d *Detector) probeDone(now time.Time) {
	d.done++
	if d.done >= neededProbes {
		d.restore(now)
	}
}

// restore puts the worker in service.
func (d *Detector) restore(now time.Time) {
	d.phase, d.score, d.failed = phaseInService, restoredScore, nil
	d.kinds.restored()
	d.returnedAt = now
}

// eject ends the service of the worker.
func (d *Detector) eject(now time.Time, reason Reason) {
	isRelapse := d.backoff > 0 && now.Sub(d.returnedAt) < relapseTime
	d.ejectedAt, d.reason = now, reason
	if isRelapse {
		d.startBackoff(now, min(2*d.backoff, maxBackoff))
	} else {
		d.startBackoff(now, minBackoff)
	}
}

func (d *Detector) startBackoff(now time.Time, backoff time.Duration) {
	d.phase, d.epoch = phaseBackoff, d.epoch+1
	d.backoff, d.until = backoff, now.Add(backoff)
}

// Advance applies the time that has passed. isActive is set while a probe is under way, or none can be as the worker gets no tasks for other
// reasons.
func (d *Detector) Advance(now time.Time, isActive bool) {
	if d.phase == phaseBackoff && !now.Before(d.until) {
		d.phase, d.done, d.activeAt = phaseProbing, 0, now
	}
	if isActive {
		d.activeAt = now
	}
	if d.phase == phaseProbing && now.Sub(d.activeAt) > maxSilence {
		d.restore(now)
	}
}

// IsProbing reports whether the worker is ejected and its back-off is over.
func (d *Detector) IsProbing() bool { return d.phase == phaseProbing }

// MissingProbes returns how many more probes may be started if so many are offered or under way, without those that take longer than ProbeTime.
func (d *Detector) MissingProbes(probes int) int {
	if d.phase != phaseProbing {
		return 0
	}
	return max(1+d.done-probes, 0)
}

// WentDown applies that the worker has crashed or ceased to answer. What ran there does not count as failed.
func (d *Detector) WentDown(now time.Time) {
	isFlapping := !d.downAt.IsZero() && now.Sub(d.downAt) < flapTime
	d.downAt = now
	if isFlapping && !d.IsEjected() {
		d.eject(now, ReasonFlapping)
	}
}

// Restarted applies that another process of the worker has begun. The back-off of one that is ejected begins again, as it was not there to be
// probed.
func (d *Detector) Restarted(now time.Time) {
	if d.IsEjected() {
		d.startBackoff(now, d.backoff)
	}
}

// Replaced applies that the worker has left as it said. The one that follows is in service.
func (d *Detector) Replaced() { *d = Detector{epoch: d.epoch + 1} }
