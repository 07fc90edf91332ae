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
	// maxTasks bounds the memory that a broken message can take. It is far above the number of tasks in the jobs that entries accept from callers.
	maxTasks = 1 << 14
	// maxStretch is the largest stretch that a configuration may set for a kind.
	maxStretch = 1000
)

// checkJob returns an error for a job that no entry hands over. The dispatcher relies on what is checked here, as it relies on the checks of
// the callers' requests.
func checkJob(packed *handoverpb.Job) error {
	job := packed.Job
	switch {
	case job == nil || job.Id == "":
		return errors.New("a job without an ID")
	case len(job.Steps) == 0:
		return errors.Errorf("the job %q has no steps", job.Id)
	case !(job.Stretch >= 0 && job.Stretch <= maxStretch):
		return errors.Errorf("the job %q has the stretch %g, not one from 0 to %d", job.Id, job.Stretch, maxStretch)
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

// checkStep returns an error for a step at an index of its job that no entry hands over.
func checkStep(index int, step *durablepb.Step) error {
	if step.Count == 0 {
		return errors.New("no tasks")
	}
	for _, needs := range []uint32{step.Cpu, step.Memory, step.Gpu, step.PerWorker} {
		if needs > math.MaxInt32 {
			return errors.Errorf("the figure %d, more than %d", needs, math.MaxInt32)
		}
	}
	for _, earlier := range step.After {
		if uint64(earlier) >= uint64(index) {
			return errors.Errorf("waits for step %d, which is not an earlier one", earlier)
		}
	}
	return nil
}
