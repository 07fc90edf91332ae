// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package handover

import (
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable"
	"sailhead/internal/handover/handoverpb"
	"sailhead/internal/wire"
)

// packJob converts a job to the message that is sent at the given time. The caller's zone defaults to that of the sender.
func packJob(now time.Time, number uint64, zone string, job dispatch.Job) *handoverpb.FromSender {
	if job.Zone != "" {
		zone = job.Zone
	}
	packed := &handoverpb.Job{
		Number: number, Job: durable.PackJob(job), RemainingMs: wire.Millis(job.RemainingTime), Zone: zone,
		TimeoutMs: wire.Millis(job.Kind.Timeout), Weight: wire.Hundredths(job.Kind.Weight), EchoesPings: true,
	}
	if !job.Received.IsZero() {
		packed.AgeMs = wire.Millis(now.Sub(job.Received))
	}
	return &handoverpb.FromSender{Message: &handoverpb.FromSender_Job{Job: packed}}
}

// unpackJob converts a message received at the given time to a job. The message must have passed checkJob.
func unpackJob(now time.Time, packed *handoverpb.Job) dispatch.Job {
	job := durable.UnpackJob(packed.Job)
	job.IsHandedOver = true
	job.Received = now.Add(-wire.Duration(packed.AgeMs))
	job.RemainingTime = wire.Duration(packed.RemainingMs)
	job.Zone = packed.Zone
	job.Kind.Timeout = wire.Duration(packed.TimeoutMs)
	job.Kind.Weight = wire.Fraction(packed.Weight)
	return job
}

func packAnswer(number uint64, answer dispatch.Answer) *handoverpb.FromReceiver {
	packed := &handoverpb.Answer{Number: number}
	switch a := answer.(type) {
	case dispatch.Completed:
		packed.Outcome = handoverpb.Outcome_OUTCOME_COMPLETED
	case dispatch.Failed:
		packed.Outcome, packed.Reason = handoverpb.Outcome_OUTCOME_FAILED, a.Reason
	case dispatch.NotRun:
		packed.Outcome, packed.Reason, packed.RetryAfterMs = handoverpb.Outcome_OUTCOME_NOT_RUN, a.Reason, wire.Millis(a.RetryAfter)
		if a.IsLocal {
			packed.Outcome = handoverpb.Outcome_OUTCOME_REFUSED
		}
	case dispatch.Interrupted:
		packed.Outcome, packed.Reason = handoverpb.Outcome_OUTCOME_INTERRUPTED, a.Reason
	}
	return &handoverpb.FromReceiver{Message: &handoverpb.FromReceiver_Answer{Answer: packed}}
}

// unpackAnswer converts an answer to the result of the hand-over. An outcome unknown to this version becomes Interrupted, as it does not tell
// whether any task has run.
func unpackAnswer(packed *handoverpb.Answer) dispatch.HandOverResult {
	switch packed.Outcome {
	case handoverpb.Outcome_OUTCOME_COMPLETED:
		return dispatch.HandOverAnswered{Answer: dispatch.Completed{}}
	case handoverpb.Outcome_OUTCOME_FAILED:
		return dispatch.HandOverAnswered{Answer: dispatch.Failed{Reason: packed.Reason}}
	case handoverpb.Outcome_OUTCOME_NOT_RUN:
		return dispatch.HandOverAnswered{Answer: dispatch.NotRun{Reason: packed.Reason, RetryAfter: wire.Duration(packed.RetryAfterMs)}}
	case handoverpb.Outcome_OUTCOME_REFUSED:
		return dispatch.HandOverRefused{Reason: packed.Reason}
	default:
		return dispatch.HandOverAnswered{Answer: dispatch.Interrupted{Reason: packed.Reason}}
	}
}
