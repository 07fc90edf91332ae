// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package wire

import (
	"reflect"
	"testing"
	"time"

	"sailhead/internal/evacuation"
	"sailhead/internal/runner"
)

func TestEvacuationsArriveAsTheyWereSent(t *testing.T) {
	for _, state := range []evacuation.State{
		{},
		evacuation.New(7, nil),
		evacuation.New(7, []evacuation.Change{{Zone: "a", Revision: 3, IsEvacuated: true}, {Zone: "b", Revision: 9}}),
	} {
		if got := UnpackEvacuations(int64(state.AsOf()), PackChanges(state)); !got.Equal(state) {
			t.Errorf("got %v, want %v", got, state)
		}
	}
}

func TestRunsArriveAsTheyWereSent(t *testing.T) {
	for _, runs := range [][]runner.CrashedRun{nil, {
		{RunID: runner.RunID{Task: "j.0.0.0", Run: 3}, Kind: "k", WasRunning: true},
		{RunID: runner.RunID{Task: "j.0.0.0", Run: 4}, WasLikelyRunning: true},
		{RunID: runner.RunID{Task: "j.0.0.1", Run: 1}, IsLatest: true, IsIsolated: true, Age: 12 * time.Millisecond, AgeError: 3 * time.Millisecond, Expected: time.Second, WasBusy: true},
	}} {
		if got := UnpackRuns(PackRuns(runs)); !reflect.DeepEqual(got, runs) {
			t.Errorf("got %+v, want %+v", got, runs)
		}
	}
}
