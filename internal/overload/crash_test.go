// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"fmt"
	"testing"
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/worker"
)

// TestATaskThatCrashesItsWorkersIsGivenUp plays the pattern of a job of which one task crashes each worker that starts it.
//
// Seen: one refund took eight of eleven workers away within two seconds, and for a time no other caller was served. It came
// about through one entry and one job: each time the agent reported the run as lost, the entry sent the task to the next worker
// within 10 ms. Cause: a run that is lost with its worker went back to the waiting tasks at once, and nothing counted it; only
// runs that the worker reports as failed were counted. Proof: the log of that one entry has all crashes, with rising run numbers
// and one agent after the other, and this test repeats it without a network.
//
// Grounds for its figures: one crash may have any cause, and the second one under the same task is enough to give it up. The
// users allow five starts: two more after the third crash.
func TestATaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	s := newSite(1, 4, 11, 11)
	var answer dispatch.Answer
	s.entries[0].submit(crashingJob("00000000000000ff"), func(a dispatch.Answer) { answer = a })
	s.run(10 * time.Second)
	s.checkCrashes(t)
	if _, isFailed := answer.(dispatch.Failed); !isFailed {
		t.Errorf("the caller is answered with %T, want Failed", answer)
	}
}

// crashingJob returns a job of two tasks, of which the first crashes its workers.
func crashingJob(id string) dispatch.Job {
	step := dispatch.Step{Count: 2, Needs: worker.Resources{CPU: taskCPU, Memory: 64}, Expected: 200 * time.Millisecond}
	return dispatch.Job{
		ID: id, Payload: crashPayload + "200ms", Kind: newKind("crashing", 1), Steps: []dispatch.Step{step}, RemainingTime: 8 * time.Second,
	}
}

// maxCrashes is how many workers may crash under a task.
const maxCrashes = 2

// checkCrashes checks that no task was started again after maxCrashes.
func (s *site) checkCrashes(t *testing.T) {
	t.Helper()
	for task, crashes := range s.crashes {
		if crashes > maxCrashes {
			t.Errorf("%d workers crashed under %s, want %d at most", crashes, task, maxCrashes)
		}
		if more := s.starts[task] - s.startsAtThird[task]; crashes >= 3 && more >= 3 {
			t.Errorf("%s was started %d times more after three workers had crashed under it", task, more)
		}
	}
}

// TestOthersAreServedBesideTasksThatCrashWorkers plays the pattern of a kind of job of which a part crashes workers, among
// kinds that do not.
func TestOthersAreServedBesideTasksThatCrashWorkers(t *testing.T) {
	for _, load := range []float64{0.5, 0.9} {
		for _, share := range []float64{0, 0.001, 0.01, 0.05} {
			for _, k := range kinds {
				t.Run(fmt.Sprintf("%s/load=%.1f/share=%.3f", k.Name, load, share), func(t *testing.T) {
					t.Parallel()
					s := newSite(1, 12, 48, 48)
					traffic := &traffic{site: s, load: load, crashing: share, crashingKind: k.Name}
					traffic.start(10 * time.Second)
					s.run(14 * time.Second)
					s.checkCrashes(t)
					t.Logf("%d jobs crash workers, %d crashes in all, %.2f each; of %d others %.4f on time, %d late, %d not run, %d failed",
						traffic.crashed, s.allCrashes, float64(s.allCrashes)/float64(max(traffic.crashed, 1)),
						traffic.submitted, float64(traffic.onTime)/float64(traffic.submitted), traffic.late, traffic.notRun, traffic.failed)
				})
			}
		}
	}
}
