// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package timing

import (
	"testing"
	"time"
)

func TestThePauseBetweenWatchesGrowsWithTheEntries(t *testing.T) {
	for entries, want := range map[int]time.Duration{
		1: MinStoreWatchPause, 12: MinStoreWatchPause, 55: 275 * time.Millisecond, 184: MaxStoreWatchPause, 800: MaxStoreWatchPause,
	} {
		if got := StoreWatchPause(entries); got != want {
			t.Errorf("%d entries: %s, want %s", entries, got, want)
		}
	}
}

// withDrift returns how long a lease lasts at most if the worker's clock is slow.
func withDrift(lease time.Duration) time.Duration { return lease + lease/ClockDriftDivisor }

func TestTheTimesKeepTwoRunsOfATaskApart(t *testing.T) {
	relations := []struct {
		name          string
		shorter       time.Duration
		longer        time.Duration
		mayBeTheSame  bool
		whatIfItFails string
	}{
		{"two lost pings", 2 * PingInterval, SuspectAfter, false, "an agent is suspected for a lost ping"},
		{"a late idle ping", IdlePingInterval, SuspectAfter, false, "an idle agent is suspected for a late ping"},
		{"idle pings in a lease", 3 * IdlePingInterval, SessionLease, true, "one lost ping ends an idle session"},
		{"suspect before close", SuspectAfter, CloseAfter, false, "a session is closed before its agent is avoided"},
		{"close before the lease ends", CloseAfter, SessionLease, false, "the agent stops the runs of a session that the entry still uses"},
		{"renewals in a lease", 3 * RenewInterval, WorkerLease, false, "one lost renewal ends the runs"},
		{"living agent, then worker", SessionLease + StopTime, RerunDelay, true, "a task runs again while its agent stops it"},
		{"dead agent", withDrift(WorkerLease), RerunDelay, false, "a task runs again under the lease of a dead agent"},
		{"agent that dies at the end of its session", SessionLease + withDrift(WorkerLease), RerunDelay, false, "a task runs again under a lease that was renewed at the last moment"},
		{"rerun before the caller's retry", RerunDelay, CallerRetryAfter, false, "a retried job starts while its first runs go on"},
		{"lost at the agent before the entry reruns", withDrift(WorkerLease) + StopTime + DurableLossDelay, DurableRerunDelay, false, "the entry runs a task again that its agent still reports on"},
		{"agents stop and report before a new owner starts", SessionLease + StopTime + 3*EndResendInterval, RecoveryDelay, false, "a new owner runs again what was done"},
		{"orphaned ends outlive a failover", ClaimLease + RecoveryDelay, OrphanEndTimeout, false, "the end of a done run is dropped before its shard has an owner"},
		{"an agent hears of an evacuation", StorePropagationDelay + CloseAfter, EvacuationTime, false, "tasks start in an evacuated zone"},
		{"an agent hears of an evacuation from an entry without the store", StorePropagationDelay + PeerPropagationDelay + CloseAfter, EvacuationTime + EvacuationGrace, false, "tasks start in an evacuated zone"},
		{"a watch after the longest pause is answered in time", MaxStoreWatchPause + StoreWatchTimeout, StoreUpdateLifetime, false, "a quiet store is taken for one that is cut off while members come"},
		{"a watch is answered in time", StoreWatchTimeout + StoreCallTimeout, StoreUpdateLifetime, false, "a quiet store is taken for one that is cut off"},
	}
	for _, r := range relations {
		if r.shorter > r.longer || r.shorter == r.longer && !r.mayBeTheSame {
			t.Errorf("%s: %s is not below %s: %s", r.name, r.shorter, r.longer, r.whatIfItFails)
		}
	}
}
