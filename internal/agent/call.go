// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package agent

import (
	"sync/atomic"
	"time"

	"sailhead/internal/clock"
	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// callStart starts a run, unless the lease of the entry's session has expired by the time of the call. The goroutine may
// have been delayed, and after the expiry the entry may run the task elsewhere.
func (a *Agent) callStart(e runner.CallStart) {
	var result worker.StartResult = worker.Invalid{Reason: "the session ended before the start"}
	sent := clock.Now()
	if !sent.After(e.Before) {
		result = a.worker.Start(e.Incarnation, e.Start)
		a.runs.startAnswered(result, clock.Since(sent))
	}
	a.post(runner.StartAnswered{
		Incarnation: e.Incarnation, Name: e.Start.Name, Run: e.Start.Run, Sent: sent, Ended: clock.Now(), Result: result,
	})
}

func (a *Agent) callStop(e runner.CallStop) {
	result := a.worker.Stop(e.Incarnation, e.Stop)
	a.post(runner.StopAnswered{Incarnation: e.Incarnation, Name: e.Stop.Name, Run: e.Stop.Run, Result: result})
}

// callRenew renews the leases. sent is the time of the runner's request, which is never later than that of the call, so
// that a listing is not considered newer than it is. A late answer does not count as that of a long poll, since the next
// long poll may already be open.
func (a *Agent) callRenew(e runner.CallRenew, sent time.Time) {
	started := clock.Now()
	var wasAnswered atomic.Bool
	a.worker.Renew(e.Incarnation, e.Renew, func(result worker.RenewResult) {
		ended := clock.Now()
		isLate := wasAnswered.Swap(true)
		a.post(runner.RenewAnswered{
			Incarnation: e.Incarnation, Sent: sent, Took: ended.Sub(started), Ended: ended, Fence: e.Renew.Fence,
			LongPoll: e.Renew.Wait > 0 && !isLate, Result: result,
		})
	})
}
