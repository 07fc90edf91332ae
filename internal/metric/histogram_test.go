// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package metric

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

func TestTimesLimitsLabelsAndMarshals(t *testing.T) {
	set := NewSet()
	times := set.Times("answer_time")
	for i := range 2 * maxLabels {
		times.Record(fmt.Sprintf("kind-%d", i), time.Duration(i)*time.Millisecond)
	}
	times.Record("kind-1", time.Hour)
	times.Record("kind-1", -time.Hour)
	var shown map[string]map[string]summary
	if err := json.Unmarshal([]byte(set.String()), &shown); err != nil {
		t.Fatal(err)
	}
	got := shown["answer_time"]
	if len(got) != maxLabels+1 || got[otherLabel].Count != maxLabels || got["kind-1"].Count != 3 {
		t.Fatalf("%d labels, want %d; kind-1 is %+v, want a count of 3", len(got), maxLabels+1, got["kind-1"])
	}
}
