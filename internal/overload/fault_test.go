// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"math/rand/v2"
	"time"

	"sailhead/internal/worker"
)

// faultKind is what happens to the runs that a fault concerns.
type faultKind int

const (
	faultNone faultKind = iota
	// faultFails fails them after the part fault.after of their time.
	faultFails
	// faultHangs lets them run until they are stopped.
	faultHangs
	// faultResets closes the connection of the start, which begins no run.
	faultResets
	// faultSlows makes them take fault.factor times as long.
	faultSlows
	// faultDrains takes the worker out of service: it says that it drains.
	faultDrains
)

// fault is what is wrong with a worker.
type fault struct {
	kind faultKind
	// share is the part of the runs, 0 to 1, that go wrong.
	share float64
	// after is the part of its time, 0 to 1, after which a run fails.
	after float64
	// factor is by how many times a slow run takes longer.
	factor float64
}

// hungRunTime is how long a run takes that hangs: longer than any test.
const hungRunTime = time.Hour

// minFailTime is how long a run takes at least that fails.
const minFailTime = time.Millisecond

// apply returns how long a run takes and how it ends, or that its start is lost.
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

// setFault gives the worker a fault, or takes it away.
func (w *fakeWorker) setFault(f fault) {
	if isDraining := f.kind == faultDrains; isDraining != (w.fault.kind == faultDrains) {
		w.sendHeartbeat(isDraining)
	}
	w.fault = f
}
