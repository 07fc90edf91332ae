// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"fmt"
	"testing"
	"time"

	"sailhead/internal/dispatch"
)

// busyDelay is how much longer than usual a call to a busy worker takes.
const busyDelay = 3 * time.Millisecond

// TestATaskThatCrashesBusyWorkersIsGivenUp covers a task that crashes its workers a few milliseconds after the start, on workers that are so
// busy now and then that it takes them longer.
//
// The failure: a worker crashed 34 ms after one start and 10 ms after the next one. These ages seemed too different for a common cause,
// and a third worker crashed, although the task runs for a second.
func TestATaskThatCrashesBusyWorkersIsGivenUp(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	for _, test := range []struct {
		expected time.Duration
		// ages are the times from the starts to the crashes.
		ages [3]time.Duration
		// crashes is how many workers may crash.
		crashes int
	}{
		{time.Second, [3]time.Duration{34 * ms, 10 * ms, 17 * ms}, 2},
		{time.Second, [3]time.Duration{10 * ms, 40 * ms, 16 * ms}, 2},
		{500 * ms, [3]time.Duration{10 * ms, 24 * ms, 11 * ms}, 2},
		{200 * ms, [3]time.Duration{50 * ms, 10 * ms, 17 * ms}, 3},
	} {
		t.Run(fmt.Sprintf("expected=%s/ages=%v", test.expected, test.ages), func(t *testing.T) {
			s := newSite(1, 4, 11, 11)
			for _, a := range s.agentsInOrder() {
				a.startAnswerDelay = busyDelay
			}
			job := crashingJob("00000000000000ff")
			job.Payload = crashPayload + test.expected.String()
			job.Steps[0].Expected = test.expected
			task := dispatch.TaskName(job.ID, 0, 0)
			s.crashAfter = test.ages[0]
			s.onStart = func(_ *fakeWorker, started string) {
				if started == task {
					s.crashAfter = test.ages[s.starts[task]%len(test.ages)]
				}
			}
			var answer dispatch.Answer
			s.entries[0].submit(job, func(a dispatch.Answer) { answer = a })
			s.run(10 * time.Second)
			s.checkCrashes(t, test.crashes)
			if _, isFailed := answer.(dispatch.Failed); !isFailed {
				t.Errorf("got answer %T, want Failed", answer)
			}
		})
	}
}
