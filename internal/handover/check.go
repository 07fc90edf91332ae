// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package handover

import (
	"math"

	"github.com/go-faster/errors"

	"sailhead/internal/durable/durablepb"
	"sailhead/internal/handover/handoverpb"
)

const (
	// maxTasks limits the memory that an invalid message can consume. It is far above the number of tasks in the jobs that entries accept from callers.
	maxTasks = 1 << 14
	// maxStretch is the largest stretch factor that a configuration may set for a kind.
	maxStretch = 1000
)

// checkJob validates a job received from another entry. The dispatcher relies on this validation in the same way as on that of the
// callers' requests, and does not repeat it.
func checkJob(packed *handoverpb.Job) error {
	job := packed.Job
	switch {
	case job == nil || job.Id == "":
		return errors.New("the job has no ID")
	case len(job.Steps) == 0:
		return errors.Errorf("the job %q has no steps", job.Id)
	case !(job.Stretch >= 0 && job.Stretch <= maxStretch):
		return errors.Errorf("the job %q has stretch %g, not between 0 and %d", job.Id, job.Stretch, maxStretch)
	}
	var tasks uint64
	for i, step := range job.Steps {
		if err := checkStep(i, step); err != nil {
			return errors.Wrapf(err, "step %d of the job %q", i, job.Id)
		}
		tasks += uint64(step.Count)
	}
	if tasks > maxTasks {
		return errors.Errorf("the job %q has %d tasks, more than %d", job.Id, tasks, maxTasks)
	}
	return nil
}

// checkStep validates the step at the given index of its job.
func checkStep(index int, step *durablepb.Step) error {
	if step.Count == 0 {
		return errors.New("no tasks")
	}
	for _, needs := range []uint32{step.Cpu, step.Memory, step.Gpu, step.PerWorker} {
		if needs > math.MaxInt32 {
			return errors.Errorf("resource requirement %d exceeds the maximum %d", needs, math.MaxInt32)
		}
	}
	for _, earlier := range step.After {
		if uint64(earlier) >= uint64(index) {
			return errors.Errorf("depends on step %d, which does not precede it", earlier)
		}
	}
	return nil
}
