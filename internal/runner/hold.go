// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/worker"
)

// hold prolongs what runs: by calls that do not wait, several in the time of a lease, and beside them by
// one that waits for an end.
func (r *Runner) hold(now time.Time) {
	if now.Sub(r.life.held) >= r.holdPause() {
		r.list(now)
	}
	if !r.life.waiting && r.hasActive() && !now.Before(r.life.waitAfter) && len(r.life.unnoted) == 0 {
		r.life.waiting = true
		r.callHold(now, holdWait)
	}
}

// holdPause returns the time between two calls to hold that do not wait.
func (r *Runner) holdPause() time.Duration {
	switch {
	case len(r.life.unnoted) > 0:
		return unnotedPause
	case r.isInDoubt():
		return retryPause
	case r.hasActive():
		return holdPause
	default:
		return idlePause
	}
}

// list asks for the worker's lists at once.
func (r *Runner) list(now time.Time) {
	r.life.held = now
	r.callHold(now, 0)
}

func (r *Runner) callHold(now time.Time, wait time.Duration) {
	hold := worker.Hold{Fence: r.fence, LastSeen: r.life.acknowledged(), Wait: wait}
	// A silent worker may still be carrying out what it does not answer: without new leases its runs lapse.
	if !r.life.isSilent(now) {
		hold.Until = r.until(now)
		r.life.granted = now
	}
	r.emit(CallHold{Life: r.life.record.ID, Hold: hold})
}

func (r *Runner) holdAnswered(now time.Time, e HoldAnswered) {
	if r.life == nil || r.life.record.ID != e.Life {
		return
	}
	if e.Waited {
		r.life.waiting = false
		if _, isListing := e.Result.(worker.Listing); !isListing {
			r.life.waitAfter = now.Add(holdPause)
		}
	}
	switch result := e.Result.(type) {
	case worker.Listing:
		r.takeListing(now, e.Asked, result)
	case worker.Fenced:
		r.raiseFence()
		r.list(now)
	case worker.Unanswered:
		r.checkUnlisted(now, e.Asked)
	default:
		r.heed(now, e.Life, e.Result)
	}
	if r.life != nil {
		r.hold(now)
	}
}

// isInDoubt reports whether a run waits for a listing.
func (r *Runner) isInDoubt() bool {
	for _, t := range r.tasks {
		if t.state == stateChecking || t.state == stateStopping && !t.stopAnswered.IsZero() {
			return true
		}
	}
	return false
}

func (r *Runner) takeListing(now, asked time.Time, listing worker.Listing) {
	r.readClock(listing.Clock, listing.Received)
	wasSilent := r.life.isSilent(now)
	if asked.After(r.life.answered) {
		r.life.answered = asked
	}
	if wasSilent {
		r.markLoad()
	}
	for _, end := range listing.Ended {
		r.takeEnd(now, end)
	}
	listed := make(map[string]worker.Run, len(listing.Running))
	for _, run := range listing.Running {
		listed[run.Name] = run
		r.seeRun(now, asked, run)
	}
	for _, t := range r.active() {
		if asked.After(t.checkAfter) {
			run, isListed := listed[t.Name]
			r.settle(now, t, isListed && run.Run == t.Run)
		}
	}
	for name := range r.life.foreign {
		if _, isListed := listed[name]; !isListed {
			delete(r.life.foreign, name)
			r.markLoad()
		}
	}
}

// takeEnd takes note of the end of a run, once.
func (r *Runner) takeEnd(now time.Time, end worker.End) {
	if end.Number <= r.life.lastSeen {
		return
	}
	r.life.lastSeen = end.Number
	r.life.ended = now
	t, ok := r.tasks[end.Name]
	if !ok || t.Run != end.Run || t.state == stateQueued {
		r.keepOrphan(now, end)
		return
	}
	if t.IsKept && isOutcome(end.Ending) {
		r.keepEnd(now, end)
	}
	t.Checkpoint = end.Checkpoint
	r.health.ended(t, end.Ending, now)
	switch {
	case end.Ending == worker.EndingDone:
		r.forget(t, OutcomeDone, "")
	case end.Ending == worker.EndingFailed:
		r.forget(t, OutcomeFailed, "the run failed")
	case t.again:
		t.Run++
		r.requeue(t)
	case end.Ending == worker.EndingStopped:
		r.forget(t, OutcomeStopped, "the run was stopped")
	default:
		r.forget(t, OutcomeLost, "the run's lease ran out")
	}
}

// seeRun takes in a run that the worker lists. A listing that was asked for before the last end was taken
// note of may list what has ended since.
func (r *Runner) seeRun(now, asked time.Time, run worker.Run) {
	t, ok := r.tasks[run.Name]
	if !ok || t.Run != run.Run || t.state == stateQueued {
		if asked.After(r.life.ended) {
			r.stopForeign(now, run)
		}
		return
	}
	t.progress = run.Percent
	t.looked = now
}

// stopForeign stops a run that nobody here asked for, as an earlier agent leaves behind.
func (r *Runner) stopForeign(now time.Time, run worker.Run) {
	if last, known := r.life.foreign[run.Name]; known && now.Sub(last) < repeatPause {
		return
	}
	r.life.foreign[run.Name] = now
	r.emit(CallStop{Life: r.life.record.ID, Stop: worker.Stop{Name: run.Name, Run: run.Run, Fence: r.fence}})
	r.markLoad()
}

// settle decides on a run that was in doubt, by a listing that was asked for after the doubt arose.
func (r *Runner) settle(now time.Time, t *task, isListed bool) {
	switch t.state {
	case stateChecking:
		if isListed {
			t.state = stateRunning
			r.send(t.session, Update{Name: t.Name, Run: t.Run, Outcome: OutcomeStarted})
			return
		}
		t.again = true
		r.beginStop(now, t)
	case stateStopping:
		if isListed || t.stopAnswered.IsZero() {
			return
		}
		r.stopped(t)
	}
}

// checkUnlisted fences the starts in doubt whose listing was not answered either.
func (r *Runner) checkUnlisted(now, asked time.Time) {
	for _, t := range r.active() {
		if t.state == stateChecking && !asked.Before(t.checkAfter) {
			t.again = true
			r.beginStop(now, t)
		}
	}
}

// beginStop stops a run; the stop is repeated until the worker takes it.
func (r *Runner) beginStop(now time.Time, t *task) {
	t.state = stateStopping
	t.stopAnswered = time.Time{}
	r.callStop(now, t)
}

func (r *Runner) callStop(now time.Time, t *task) {
	t.stopping = now
	r.emit(CallStop{Life: r.life.record.ID, Stop: worker.Stop{Name: t.Name, Run: t.Run, Fence: r.fence}})
}

func (r *Runner) repeatStops(now time.Time) {
	for _, t := range r.active() {
		if t.state == stateStopping && t.stopAnswered.IsZero() && now.Sub(t.stopping) >= repeatPause {
			r.callStop(now, t)
		}
	}
}

// repeatStop repeats a stop that was not answered, unless that was told at once: the next tick repeats it then.
func (r *Runner) repeatStop(now time.Time, t *task) {
	if t.state == stateStopping && t.stopAnswered.IsZero() && now.Sub(t.stopping) >= retryPause && !r.life.isSilent(now) {
		r.callStop(now, t)
	}
}

func (r *Runner) stopAnswered(now time.Time, e StopAnswered) {
	t, ok := r.current(e.Life, e.Name, e.Run)
	switch e.Result.(type) {
	case worker.Accepted, worker.Outdated:
		if ok && t.state == stateStopping && t.stopAnswered.IsZero() {
			t.stopAnswered = now
			t.checkAfter = now.Add(r.stopBound())
			r.list(now)
		}
	case worker.Fenced:
		r.raiseFence()
		if ok && t.state == stateStopping {
			r.callStop(now, t)
		}
	case worker.Unanswered:
		if ok {
			r.repeatStop(now, t)
		}
	default:
		r.heed(now, e.Life, e.Result)
	}
}

// stopBound is how long after the answer to a stop the run may go on, by this process's clock. A worker need not list a
// run that it is stopping, so a listing that lacks the run says that it has ended only if it was asked for later.
func (r *Runner) stopBound() time.Duration {
	return r.limits.Stop + r.limits.Stop/driftDivisor
}

// stopped ends a run that the worker has taken a stop for and lists no longer.
func (r *Runner) stopped(t *task) {
	if t.again {
		t.Run++
		r.requeue(t)
		return
	}
	r.forget(t, OutcomeStopped, "the run was stopped")
}

// expireLease gives up the runs of a worker whose leases have surely run out.
func (r *Runner) expireLease(now time.Time) {
	lease := r.limits.Hold + r.limits.Hold/driftDivisor + r.limits.Stop
	over := now.Sub(r.life.granted) - lease
	if r.life.granted.IsZero() || over <= 0 {
		return
	}
	for _, t := range r.active() {
		if t.state != stateStarting && (!t.IsKept || over > keptSilence) {
			r.forget(t, OutcomeLost, "the worker is silent and the run's lease has run out")
		}
	}
}
