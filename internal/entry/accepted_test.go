// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"bytes"
	"strconv"
	"strings"
	"testing"

	"github.com/go-kit/log"

	"sailhead/internal/timeline"
)

// TestEveryAcceptedJobIsInTheLog checks that each id is logged once, in lines of bounded length in which the timeline
// command finds the job.
func TestEveryAcceptedJobIsInTheLog(t *testing.T) {
	var out bytes.Buffer
	logger := log.With(log.NewLogfmtLogger(&out), "time", "2026-12-02T12:00:00Z", "process", "entry-1")
	var accepted acceptedJobs
	for i := range maxAcceptedIDs + 2 {
		accepted.add(logger, "job-"+strconv.Itoa(i))
	}
	accepted.flush(logger)
	accepted.flush(logger)
	if got := strings.Count(out.String(), "\n"); got != 2 {
		t.Fatalf("%d lines, want 2:\n%s", got, out.String())
	}
	lines, err := timeline.ReadLogs(&out)
	if err != nil {
		t.Fatal(err)
	}
	for i := range maxAcceptedIDs + 2 {
		if found := timeline.FollowJob(lines, "job-"+strconv.Itoa(i)); len(found) != 1 {
			t.Errorf("job-%d: the timeline finds %d lines, want 1", i, len(found))
		}
	}
}
