// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable/durablepb"
	"sailhead/internal/worker"
)

// PackJob returns the protobuf form of a job, which is stored and sent between entries. A negative priority, number of attempts
// or target becomes 0.
func PackJob(j dispatch.Job) *durablepb.Job {
	packed := &durablepb.Job{
		Id: j.ID, Kind: j.Kind.Name, Service: j.Kind.Service, Payload: j.Payload, Stretch: j.Kind.Stretch,
		Priority: uint32(max(j.Kind.Priority, 0)), Attempts: uint32(max(j.Kind.Attempts, 0)),
		TargetMs: uint32(max(j.Kind.Target.Milliseconds(), 0)),
	}
	for _, s := range j.Steps {
		step := &durablepb.Step{
			Count: uint32(s.Count), Cpu: uint32(s.Needs.CPU), Memory: uint32(s.Needs.Memory), Gpu: uint32(s.Needs.GPU),
			ExpectedMs: uint32(s.Expected.Milliseconds()), Label: s.Label, Rack: s.Rack, PerWorker: uint32(s.MaxPerWorker),
		}
		for _, earlier := range s.After {
			step.After = append(step.After, uint32(earlier))
		}
		packed.Steps = append(packed.Steps, step)
	}
	return packed
}

// UnpackJob is the inverse of PackJob.
func UnpackJob(packed *durablepb.Job) dispatch.Job {
	j := dispatch.Job{ID: packed.Id, Payload: packed.Payload, Kind: dispatch.Kind{
		Name: packed.Kind, Service: packed.Service, Priority: int(packed.Priority), Attempts: int(packed.Attempts),
		Stretch: packed.Stretch, Target: time.Duration(packed.TargetMs) * time.Millisecond,
	}}
	for _, s := range packed.Steps {
		step := dispatch.Step{
			Count: int(s.Count), Needs: worker.Resources{CPU: int(s.Cpu), Memory: int(s.Memory), GPU: int(s.Gpu)},
			Expected: time.Duration(s.ExpectedMs) * time.Millisecond, Label: s.Label, Rack: s.Rack, MaxPerWorker: int(s.PerWorker),
		}
		for _, earlier := range s.After {
			step.After = append(step.After, int(earlier))
		}
		j.Steps = append(j.Steps, step)
	}
	return j
}

// taskNames returns the names of a job's tasks. The index of a name is the number of the task in stored records, so the order
// is part of the stored format.
func taskNames(j dispatch.Job) []string {
	var names []string
	for i, step := range j.Steps {
		for c := range step.Count {
			names = append(names, dispatch.TaskName(j.ID, i, c))
		}
	}
	return names
}

// encodeBatch returns the stored form of the records of a batch.
func encodeBatch(records []*durablepb.Record) []byte {
	data, err := proto.Marshal(&durablepb.Batch{Records: records})
	if err != nil {
		// Encoding fails only for strings that are not valid UTF-8. The strings of jobs come from JSON, whose decoder replaces
		// invalid bytes, and the names of processes come from their settings.
		panic(fmt.Sprintf("durable: unable to encode a batch: %s", err))
	}
	return data
}

// decodeBatch returns the records of a stored batch. A record that this version does not know is an error: it may hold the end
// of a job, which would otherwise be treated as unfinished and run again.
func decodeBatch(data []byte) ([]*durablepb.Record, error) {
	var batch durablepb.Batch
	if err := proto.Unmarshal(data, &batch); err != nil {
		return nil, errors.Wrap(err, "durable: unable to decode a batch")
	}
	for i, record := range batch.Records {
		if err := checkRecord(record); err != nil {
			return nil, errors.Wrapf(err, "durable: record %d of a batch", i)
		}
	}
	return batch.Records, nil
}

// checkRecord returns an error for a record of a type that this version does not know, or for an end without a known final
// state.
func checkRecord(record *durablepb.Record) error {
	switch r := record.Record.(type) {
	case *durablepb.Record_Owned, *durablepb.Record_Accepted, *durablepb.Record_Progress:
		return nil
	case *durablepb.Record_Ended:
		if state, ok := stateFromPB(r.Ended.State); !ok || !state.IsEnd() {
			return errors.Errorf("the end of job %s has the unknown state %d", r.Ended.Id, r.Ended.State)
		}
		return nil
	default:
		return errors.New("the record has an unknown type")
	}
}

var stateToPB = map[State]durablepb.State{
	StateQueued: durablepb.State_STATE_QUEUED, StateRunning: durablepb.State_STATE_RUNNING,
	StateCompleted: durablepb.State_STATE_COMPLETED, StateFailed: durablepb.State_STATE_FAILED,
	StateCancelled: durablepb.State_STATE_CANCELLED,
}

// stateFromPB returns the state of a protobuf form; ok is false for a state that this version does not know.
func stateFromPB(packed durablepb.State) (state State, ok bool) {
	for state, each := range stateToPB {
		if each == packed {
			return state, true
		}
	}
	return 0, false
}

// PackAnswer returns the protobuf form of an answer, which is sent between entries.
func PackAnswer(answer Answer) *durablepb.Answer {
	switch a := answer.(type) {
	case Known:
		return &durablepb.Answer{Status: durablepb.Status_STATUS_KNOWN, State: stateToPB[a.State]}
	case Unknown:
		return &durablepb.Answer{Status: durablepb.Status_STATUS_UNKNOWN}
	case NotOwner:
		return &durablepb.Answer{Status: durablepb.Status_STATUS_NOT_OWNER}
	case Refused:
		return &durablepb.Answer{Status: durablepb.Status_STATUS_REFUSED, Reason: a.Reason}
	case InDoubt:
		return &durablepb.Answer{Status: durablepb.Status_STATUS_IN_DOUBT, Reason: a.Reason}
	default:
		return &durablepb.Answer{Status: durablepb.Status_STATUS_IN_DOUBT, Reason: "no answer"}
	}
}

// UnpackAnswer returns the answer of another entry. A status or state that this version does not know becomes InDoubt.
func UnpackAnswer(packed *durablepb.Answer) Answer {
	switch packed.Status {
	case durablepb.Status_STATUS_KNOWN:
		state, ok := stateFromPB(packed.State)
		if !ok {
			return InDoubt{Reason: fmt.Sprintf("the job has the unknown state %d", packed.State)}
		}
		return Known{State: state}
	case durablepb.Status_STATUS_UNKNOWN:
		return Unknown{}
	case durablepb.Status_STATUS_NOT_OWNER:
		return NotOwner{}
	case durablepb.Status_STATUS_REFUSED:
		return Refused{Reason: packed.Reason}
	default:
		return InDoubt{Reason: packed.Reason}
	}
}
