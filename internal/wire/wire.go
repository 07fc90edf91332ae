// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package wire converts the types that are common to the protocols between processes: sessions between entries and agents, and exchanges and
// hand-overs between entries.
package wire

import (
	"sailhead/internal/evacuation"
	"sailhead/internal/runner"
	"sailhead/internal/wire/wirepb"
)

// PackChanges converts the zone changes of an evacuation state to messages.
func PackChanges(state evacuation.State) []*wirepb.ZoneChange {
	var messages []*wirepb.ZoneChange
	for _, c := range state.Changes() {
		messages = append(messages, &wirepb.ZoneChange{Zone: c.Zone, Revision: int64(c.Revision), Evacuated: c.IsEvacuated})
	}
	return messages
}

// UnpackEvacuations converts the messages of PackChanges to an evacuation state. asOf is the revision of the store at the last full read.
func UnpackEvacuations(asOf int64, messages []*wirepb.ZoneChange) evacuation.State {
	var changes []evacuation.Change
	for _, m := range messages {
		changes = append(changes, evacuation.Change{Zone: m.GetZone(), Revision: evacuation.Revision(m.GetRevision()), IsEvacuated: m.GetEvacuated()})
	}
	return evacuation.New(evacuation.Revision(asOf), changes)
}

// PackRuns converts the runs on a worker at the time of a crash to messages.
func PackRuns(runs []runner.CrashedRun) []*wirepb.CrashedRun {
	var messages []*wirepb.CrashedRun
	for _, run := range runs {
		messages = append(messages, &wirepb.CrashedRun{
			Task: run.Task, Run: run.Run, Kind: run.Kind, Running: run.WasRunning, Likely: run.WasLikelyRunning, Latest: run.IsLatest, Isolated: run.IsIsolated,
			AgeMs: Millis(run.Age), AgeErrorMs: Millis(run.AgeError), ExpectedMs: Millis(run.Expected), Busy: run.WasBusy,
		})
	}
	return messages
}

// UnpackRuns converts the messages of PackRuns to runs.
func UnpackRuns(messages []*wirepb.CrashedRun) []runner.CrashedRun {
	var runs []runner.CrashedRun
	for _, m := range messages {
		runs = append(runs, runner.CrashedRun{
			RunID: runner.RunID{Task: m.GetTask(), Run: m.GetRun()}, Kind: m.GetKind(),
			WasRunning: m.GetRunning(), WasLikelyRunning: m.GetLikely(), IsLatest: m.GetLatest(), IsIsolated: m.GetIsolated(),
			Age: Duration(m.GetAgeMs()), AgeError: Duration(m.GetAgeErrorMs()), Expected: Duration(m.GetExpectedMs()), WasBusy: m.GetBusy(),
		})
	}
	return runs
}
