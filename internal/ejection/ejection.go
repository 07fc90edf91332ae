// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package ejection implements outlier ejection: it decides from the outcomes of a worker's runs whether the worker gets tasks.
//
// A Detector is a state machine that does no I/O and reads no clock. It monitors one worker on behalf of the worker's agent, which sees the
// runs of all entries.
//
//	in service -> back-off    recent runs indicate that the worker is more likely faulty than healthy, or it went down repeatedly
//	back-off   -> probing     the back-off is over
//	probing    -> back-off    a probe failed; the back-off is doubled
//	probing    -> in service  enough probes were done: one runs at a time at first, and one more with each that is done; or no entry
//	                          had a task for a probe for maxProbeWait
//
// A worker in back-off or probing is ejected. A probe is a run of one task of a caller's job; entries choose a task that can tolerate failure.
//
// # Detection
//
// The detector is a cumulative sum test (CUSUM) of two hypotheses: either runs fail as often as others of their kind do elsewhere, or a quarter
// of those that would succeed elsewhere fail as well. Each run adds the log-likelihood ratio of its outcome to the sum, which never falls below
// zero. A kind that fails on all workers is therefore little evidence against a single one. Of the failed runs of one job only the first
// counts, as the job itself may be the cause.
//
// A run that takes far longer than expected counts as failed before it ends, so that a worker on which nothing ends is detected. If only runs
// of one kind are overdue while runs of other kinds are done, the kind is the more likely cause (kinds.go).
package ejection

import (
	"math"
	"time"
)

const (
	// minRate is the lowest failure rate that is assumed for runs on a healthy worker. minOverdueRate is the same for overdue runs, as estimates
	// are sometimes wrong and a few runs of each site take several times as long as others. minRejectedRate applies to starts that are rejected
	// or lost: each costs only a few milliseconds, so a worker that executes some of them is still worth using.
	minRate         = 0.02
	minOverdueRate  = 0.05
	minRejectedRate = 0.6
	// excessRate is the fraction of runs that fail on a faulty worker, of those that would not fail elsewhere.
	excessRate = 0.25
	// ejectionScore is the sum at which a worker is ejected. The odds that it is faulty have then grown by a factor of e^6, about 400. Reaching
	// it takes three jobs in a row that fail on this worker only, as two occasionally happen on every site. restoredScore is the score of a
	// worker that was just put back in service, which two such jobs eject.
	ejectionScore = 6
	restoredScore = 2
	// MaxProbeFailureRate is the failure rate of a kind on other workers, 0 to 1, from which its runs are not used as probes.
	MaxProbeFailureRate = 0.25

	// minBackoff and maxBackoff bound the back-off. A recovered worker should be back in service within a second, of which the back-off leaves
	// enough time for three rounds of probes.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 350 * time.Millisecond
	// relapseWindow is the time after a return to service within which another ejection doubles the previous back-off.
	relapseWindow = 5 * time.Second
	// MaxProbeTime is the maximum time that a probe should take, so that the three rounds of probes (requiredProbes) fit into the second stated
	// at minBackoff. A probe that takes longer does not delay the next ones.
	MaxProbeTime = 150 * time.Millisecond
	// requiredProbes is the number of probes that have to be done before a worker returns to service. They take three successive rounds: one
	// probe first, then two at a time, then the others. Of the workers that fail half of their runs, one in thirty passes.
	requiredProbes = 5
	// maxProbeWait is how long a worker waits for its next probe to be used before it returns to service without it. There are then hardly any
	// jobs, or none that may fail.
	maxProbeWait = 3 * time.Second

	// flapWindow is the time within which a worker that goes down twice is ejected, as it went down again soon after it had come back.
	flapWindow = 5 * time.Second

	// maxFailedJobs is the number of jobs with failed runs that are kept, to count each job once.
	maxFailedJobs = 8
)

// overdueLimits defines how much longer than usual a run may take before it is overdue. The factors are dimensionless; they are of type
// time.Duration because they multiply durations.
type overdueLimits struct {
	// factor limits the elapsed time as a multiple of the usual time, projected limits the total time extrapolated from the progress so far.
	factor    time.Duration
	projected time.Duration
	// minElapsed is the elapsed time from which the progress is used, as it is listed in whole per cent and only at intervals.
	minElapsed time.Duration
}

var (
	// runLimits applies to runs in service. A run far from its data takes three times as long.
	runLimits = overdueLimits{factor: 3, projected: 5, minElapsed: 60 * time.Millisecond}
	// probeLimits applies to probes, which run near their data and are listed more often.
	probeLimits = overdueLimits{factor: 2, projected: 3, minElapsed: 40 * time.Millisecond}
)

const (
	// overdueMargin is added to the limit of the elapsed time, as runs are listed only at intervals.
	overdueMargin = 50 * time.Millisecond
	// percentDone is the progress of a completed run.
	percentDone = 100
)

// Progress is the progress of a run.
type Progress struct {
	Elapsed time.Duration
	// Percent is the percentage of the work that is done. It is valid only if IsKnown is true.
	Percent int
	IsKnown bool
}

// IsOverdue reports whether a run takes far longer than its usual time. Probes have lower limits than other runs.
func IsOverdue(p Progress, usual time.Duration, isProbe bool) bool {
	limits := runLimits
	if isProbe {
		limits = probeLimits
	}
	switch {
	case usual <= 0:
		return false
	case p.Elapsed > limits.factor*usual+overdueMargin:
		return true
	case !p.IsKnown || p.Elapsed < limits.minElapsed:
		return false
	default:
		projected := p.Elapsed * percentDone / time.Duration(max(p.Percent, 1))
		return projected > limits.projected*usual
	}
}

// End is the outcome of a run.
type End int

// Outcomes of runs that the detector evaluates.
const (
	EndDone End = iota
	EndFailed
	// EndOverdue is a run that has taken far longer than usual and has not ended yet.
	EndOverdue
	// EndRejected is a start that the worker rejected as unhealthy or did not execute.
	EndRejected
)

// minRate returns the lowest rate of this outcome that is assumed for a healthy worker.
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

// Run is a run that has ended, or that is evaluated as if it had.
type Run struct {
	Job  string
	Kind string
	End  End
	// KindFailureRate is the failure rate of the kind on other workers, 0 to 1.
	KindFailureRate float64
	// Epoch is the value of Detector.Epoch when the run was started.
	Epoch int
}

// Reason states why a worker was ejected, for logs.
type Reason string

// Reasons for an ejection.
const (
	ReasonFailures Reason = "runs failed"
	ReasonOverdue  Reason = "runs are overdue"
	ReasonRejected Reason = "starts were rejected or not carried out"
	ReasonFlapping Reason = "the worker went down repeatedly"
	ReasonProbe    Reason = "a probe failed"
)

// reasonOf returns the reason for an ejection from the outcome of the run that triggered it.
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

// phase is the state of the state machine described in the package comment.
type phase int

const (
	phaseInService phase = iota
	phaseBackoff
	phaseProbing
)

// Detector evaluates the runs of one worker. The zero value is a worker in service without any runs.
type Detector struct {
	phase phase
	// score is the cumulative sum of the test while the worker is in service.
	score float64
	// kinds holds the evidence per kind while the worker is in service.
	kinds kindEvidence
	// epoch counts ejections and failed probes. Runs of an earlier epoch are ignored.
	epoch int
	// ejectedAt and reason describe the latest ejection. returnedAt is when the worker last returned to service.
	ejectedAt  time.Time
	reason     Reason
	returnedAt time.Time
	// backoff is the duration of the latest back-off, until its end.
	backoff time.Duration
	until   time.Time
	// probesDone is the number of probes done since the back-off. activeAt is when a probe was last in progress.
	probesDone int
	activeAt   time.Time
	// failed holds the latest failed runs, oldest first, one per job.
	failed []Run
	// downAt is when the worker last went down.
	downAt time.Time
}

// IsEjected reports whether the worker gets no tasks except probes.
func (d *Detector) IsEjected() bool { return d.phase != phaseInService }

// Epoch returns the number of ejections and failed probes so far.
func (d *Detector) Epoch() int { return d.epoch }

// Ejection returns the time and reason of the latest ejection, and the kinds of the failed runs that preceded it.
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

// Observe evaluates the outcome of a run. Runs of an earlier epoch are ignored, as they were started before the ejection or failed probe.
func (d *Detector) Observe(now time.Time, run Run) {
	switch {
	case run.Epoch != d.epoch:
	case d.phase == phaseInService:
		d.updateScore(now, run)
	case d.phase == phaseProbing:
		d.observeProbe(now, run)
	}
}

// updateScore adds the evidence of a run to the score, and ejects the worker if it reaches ejectionScore.
func (d *Detector) updateScore(now time.Time, run Run) {
	evidence := d.kinds.limit(now, run, d.evidence(run), d.score)
	d.score = max(d.score+evidence, 0)
	d.kinds.add(now, run, evidence)
	if d.score >= ejectionScore {
		d.eject(now, reasonOf(run.End))
	}
}

// evidence returns the log-likelihood ratio of a run's outcome: positive values indicate a faulty worker.
func (d *Detector) evidence(run Run) float64 {
	if run.End == EndDone {
		return math.Log(1 - excessRate)
	}
	if run.End != EndRejected && !d.recordFailure(run) {
		return 0
	}
	rate := min(max(run.KindFailureRate, run.End.minRate()), 1)
	return math.Log((rate + excessRate*(1-rate)) / rate)
}

// recordFailure adds a run to the latest failed runs. It returns false if they already contain a run of the same job.
func (d *Detector) recordFailure(run Run) bool {
	for _, other := range d.failed {
		if other.Job == run.Job {
			return false
		}
	}
	d.failed = append(d.failed, run)
	if len(d.failed) > maxFailedJobs {
		d.failed = d.failed[1:]
	}
	return true
}

// observeProbe evaluates the outcome of a run that was started as a probe.
func (d *Detector) observeProbe(now time.Time, run Run) {
	d.activeAt = now
	switch {
	case run.End == EndDone:
		d.probeDone(now)
	case run.KindFailureRate < MaxProbeFailureRate:
		d.startBackoff(now, min(2*d.backoff, maxBackoff))
	}
}

// probeDone counts a successful probe, and restores the worker after the last required one.
func (d *Detector) probeDone(now time.Time) {
	d.probesDone++
	if d.probesDone >= requiredProbes {
		d.restore(now)
	}
}

// restore returns the worker to service.
func (d *Detector) restore(now time.Time) {
	d.phase, d.score, d.failed = phaseInService, restoredScore, nil
	d.kinds.reset()
	d.returnedAt = now
}

// eject takes the worker out of service and starts its back-off.
func (d *Detector) eject(now time.Time, reason Reason) {
	isRelapse := d.backoff > 0 && now.Sub(d.returnedAt) < relapseWindow
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

// Advance updates the phase to the current time. isActive is true while a probe is in progress, or if no probe is possible because the worker
// gets no tasks for other reasons.
func (d *Detector) Advance(now time.Time, isActive bool) {
	if d.phase == phaseBackoff && !now.Before(d.until) {
		d.phase, d.probesDone, d.activeAt = phaseProbing, 0, now
	}
	if isActive {
		d.activeAt = now
	}
	if d.phase == phaseProbing && now.Sub(d.activeAt) > maxProbeWait {
		d.restore(now)
	}
}

// IsProbing reports whether the worker is ejected and its back-off has ended.
func (d *Detector) IsProbing() bool { return d.phase == phaseProbing }

// AvailableProbes returns how many more probes may be started. probes is the number of probes that are offered or in progress, excluding those
// that take longer than MaxProbeTime.
func (d *Detector) AvailableProbes(probes int) int {
	if d.phase != phaseProbing {
		return 0
	}
	return max(1+d.probesDone-probes, 0)
}

// WentDown reports that the worker crashed or became unresponsive. Its runs do not count as failed.
func (d *Detector) WentDown(now time.Time) {
	isFlapping := !d.downAt.IsZero() && now.Sub(d.downAt) < flapWindow
	d.downAt = now
	if isFlapping && !d.IsEjected() {
		d.eject(now, ReasonFlapping)
	}
}

// Restarted reports that a new process of the worker has started. If the worker is ejected its back-off starts again, as it could not be probed
// while it was down.
func (d *Detector) Restarted(now time.Time) {
	if d.IsEjected() {
		d.startBackoff(now, d.backoff)
	}
}

// Replaced reports that the worker left as announced. Its successor starts in service.
func (d *Detector) Replaced() { *d = Detector{epoch: d.epoch + 1} }
