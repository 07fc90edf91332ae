// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package timing

import (
	"testing"
	"time"
)

func TestStoreWatchPause(t *testing.T) {
	for entries, want := range map[int]time.Duration{
		1: MinStoreWatchPause, 12: MinStoreWatchPause, 55: 275 * time.Millisecond, 184: MaxStoreWatchPause, 800: MaxStoreWatchPause,
	} {
		if got := StoreWatchPause(entries); got != want {
			t.Errorf("%d entries: got a pause of %s, want %s", entries, got, want)
		}
	}
}

// withDrift returns the longest real duration of a lease on a worker whose clock runs slow by the allowed drift.
func withDrift(lease time.Duration) time.Duration { return lease + lease/ClockDriftDivisor }

// endStoreTime is the longest time from the end of a run until its agent has stored it, if the first call to the store is not answered.
const endStoreTime = EndStoreDelay + EndStoreInterval + StoreCallTimeout + EndStoreRetryDelay + StoreCallTimeout

func TestTimeoutsPreventOverlappingRuns(t *testing.T) {
	relations := []struct {
		name        string
		shorter     time.Duration
		longer      time.Duration
		allowEqual  bool
		consequence string
	}{
		{"two ping intervals before suspect", 2 * PingInterval, SuspectAfter, false, "an agent is suspected after one lost ping"},
		{"a late idle ping is tolerated", IdlePingInterval, SuspectAfter, false, "an idle agent is suspected after one late ping"},
		{"idle pings per session lease", 3 * IdlePingInterval, SessionLease, true, "one lost ping ends an idle session"},
		{"suspect before close", SuspectAfter, SessionCloseTimeout, false, "a session is closed before its agent is avoided"},
		{"close before the session lease expires", SessionCloseTimeout, SessionLease, false, "the agent stops the runs of a session that the entry still uses"},
		{"renewals per worker lease", 3 * RenewInterval, WorkerLease, false, "one lost renewal ends the runs"},
		{"live agent stops its runs", SessionLease + MaxStopTime, RerunDelay, true, "a task runs again while its agent stops it"},
		{"runs of a dead agent end", withDrift(WorkerLease), RerunDelay, false, "a task runs again under the lease of a dead agent"},
		{"agent dies when its session lease expires", SessionLease + withDrift(WorkerLease), RerunDelay, false, "a task runs again under a lease that was renewed at the last moment"},
		{"runs of a job that was handed over end before the caller's retry", SessionCloseTimeout + SessionLease + MaxStopTime, CallerRetryDelay, false, "a retried job starts while runs of the entry to which it was handed over continue"},
		{"rerun before the caller's retry", RerunDelay, CallerRetryDelay, false, "a retried job starts while runs of the first attempt continue"},
		{"the agent reports a lost run before the entry reruns", withDrift(WorkerLease) + MaxStopTime + DurableLossDelay, DurableRerunDelay, false, "the entry reruns a task that its agent still tracks"},
		{"an end is stored before the entry reruns", RerunDelay + endStoreTime, DurableRerunDelay, false, "an entry reruns a task whose end its agent is about to store"},
		{"an end is stored before a new owner reruns", SessionLease + MaxStopTime + endStoreTime, RecoveryDelay + DurableRerunDelay - RerunDelay, false, "a new owner reruns a task whose end its agent is about to store"},
		{"an isolated agent's lease expires before the entry reruns", SessionLease + withDrift(IsolationTimeout+WorkerLease), DurableRerunDelay, false, "an end counts although its task runs again"},
		{"an end is stored before an agent counts as isolated", endStoreTime, IsolationTimeout, false, "a lease expires although the end is about to be stored"},
		{"a read of the stored ends may be repeated", StoredEndsInterval + StoreCallTimeout, StoredEndsMaxAge, false, "a task waits although the stored ends are read regularly"},
		{"agents stop and report before a new owner starts", SessionLease + MaxStopTime + 3*EndResendInterval, RecoveryDelay, false, "a new owner reruns a completed task"},
		{"an evacuation reaches an agent", StorePropagationDelay + SessionCloseTimeout, EvacuationDeadline, false, "tasks start in an evacuated zone"},
		{"an evacuation reaches an agent through an entry without the store", StorePropagationDelay + PeerPropagationDelay + SessionCloseTimeout, EvacuationDeadline + EvacuationGrace, false, "tasks start in an evacuated zone"},
		{"a watch after the longest pause is answered in time", MaxStoreWatchPause + StoreWatchTimeout, StoreDataMaxAge, false, "a store without changes is considered unreachable while members join"},
		{"a watch is answered in time", StoreWatchTimeout + StoreCallTimeout, StoreDataMaxAge, false, "a store without changes is considered unreachable"},
	}
	for _, r := range relations {
		if r.shorter > r.longer || r.shorter == r.longer && !r.allowEqual {
			t.Errorf("%s: %s is not below %s: %s", r.name, r.shorter, r.longer, r.consequence)
		}
	}
}
