// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"math/rand/v2"
	"time"

	"sailhead/internal/worker"
)

// faultKind is the effect of a fault on the runs concerned.
type faultKind int

const (
	faultNone faultKind = iota
	// faultFails makes the run fail after the fraction fault.after of its run time.
	faultFails
	// faultHangs makes the run continue until it is stopped.
	faultHangs
	// faultResets closes the connection of the start request; no run is started.
	faultResets
	// faultSlows makes the run take fault.factor times as long.
	faultSlows
	// faultDrains takes the worker out of service: it reports that it is draining.
	faultDrains
)

// fault is a fault injected into a worker.
type fault struct {
	kind faultKind
	// share is the share of the runs, 0 to 1, that are affected.
	share float64
	// after is the fraction of the run time, 0 to 1, after which a run fails.
	after float64
	// factor is the slowdown of a slow run.
	factor float64
}

// hungRunTime is the run time of a hung run: longer than any test.
const hungRunTime = time.Hour

// minFailTime is the minimum run time of a run that fails.
const minFailTime = time.Millisecond

// apply returns the run time and the ending of a run, or isLost if its start request is lost.
func (f fault) apply(random *rand.Rand, length time.Duration) (took time.Duration, ending worker.Ending, isLost bool) {
	if f.kind == faultNone || f.kind == faultDrains || random.Float64() >= f.share {
		return length, worker.EndingDone, false
	}
	switch f.kind {
	case faultFails:
		return max(time.Duration(f.after*float64(length)), minFailTime), worker.EndingFailed, false
	case faultHangs:
		return hungRunTime, worker.EndingDone, false
	case faultSlows:
		return time.Duration(f.factor * float64(length)), worker.EndingDone, false
	default:
		return 0, worker.EndingDone, true
	}
}

// setFault replaces the fault of the worker; the zero value removes it.
func (w *fakeWorker) setFault(f fault) {
	if isDraining := f.kind == faultDrains; isDraining != (w.fault.kind == faultDrains) {
		w.sendHeartbeat(isDraining)
	}
	w.fault = f
}
