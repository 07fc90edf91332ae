// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package handover

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sailhead/internal/clock"
	"sailhead/internal/dispatch"
	"sailhead/internal/durable/durablepb"
	"sailhead/internal/handover/handoverpb"
	"sailhead/internal/stream"
)

// dispatchingEntry submits each job to a new dispatcher, advances it by one second, and answers that the job was interrupted.
type dispatchingEntry struct{}

func (dispatchingEntry) Submit(_ context.Context, job dispatch.Job) dispatch.Answer {
	now := clock.Now()
	d := dispatch.New(dispatch.Limits{Jobs: 10}, rand.New(rand.NewPCG(1, 2)))
	d.Handle(now, dispatch.Submitted{Job: job, Waiter: 1})
	d.Handle(now.Add(time.Second), dispatch.Ticked{})
	return dispatch.Interrupted{}
}

// FuzzFromSender applies two arbitrary messages, as another entry of a different version may send them, and then withdraws their jobs.
func FuzzFromSender(f *testing.F) {
	step := &durablepb.Step{Count: 2, Cpu: 1000, ExpectedMs: 100}
	later := &durablepb.Step{Count: 1, After: []uint32{0}}
	outOfOrder := &durablepb.Step{Count: 1, After: []uint32{7}}
	many := &durablepb.Step{Count: 4_000_000_000}
	for _, job := range []*handoverpb.Job{
		{}, {Number: 1, Job: &durablepb.Job{Id: "a"}},
		{Number: 1, Job: &durablepb.Job{Id: "a", Stretch: 1.6, Steps: []*durablepb.Step{step, later}}},
		{Number: 1, Job: &durablepb.Job{Id: "a", Steps: []*durablepb.Step{outOfOrder}}},
		{Number: 1, Job: &durablepb.Job{Id: "a", Steps: []*durablepb.Step{many}}},
	} {
		data, err := proto.Marshal(&handoverpb.FromSender{Message: &handoverpb.FromSender_Job{Job: job}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data)
	}
	f.Fuzz(func(t *testing.T, one, other []byte) {
		ours, theirs := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, theirs) }()
		ctx, cancel := context.WithCancel(context.Background())
		r := &inboundConn{local: dispatchingEntry{}, conn: stream.New(ours, uncounted{}), ctx: ctx, cancel: make(map[uint64]context.CancelFunc)}
		defer r.conn.Close(stream.ErrClosed)
		defer cancel()
		for _, data := range [][]byte{one, other} {
			var message handoverpb.FromSender
			if proto.Unmarshal(data, &message) != nil {
				continue
			}
			r.handle(&message)
			if job := message.GetJob(); job != nil && checkJob(job) != nil && !r.hasInvalidMessage {
				t.Fatalf("%x: an invalid job was taken", data)
			}
			r.end(message.GetJob().GetNumber())
		}
	})
}
