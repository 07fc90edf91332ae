// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"context"
	"net/http"

	"sailhead/internal/durable/durablepb"
)

// PathPrefix is the prefix of the paths that NewServer's handler serves.
const PathPrefix = durablepb.KeepPathPrefix

// RequestEvent returns the event of a request with the given waiter. The entry calls it once it has allocated the waiter.
type RequestEvent = func(Waiter) Event

// LocalCoordinator passes requests of other entries to this entry's coordinator. It is safe for concurrent use.
type LocalCoordinator interface {
	// AskLocal passes a request to the coordinator and waits for the answer. It returns InDoubt if the context ends, the entry
	// stops, or the store does not answer for some time before there is an answer.
	AskLocal(ctx context.Context, event RequestEvent) Answer
	// PendingLocal returns the number of jobs of a kind that this entry owns and that have not started a task. Jobs may be too
	// low if isComplete is false.
	PendingLocal(ctx context.Context, kind string) (jobs int, isComplete bool)
	// SurrenderLocal stops serving a shard that another entry has claimed under a token, and returns once this entry starts no
	// more runs for it.
	SurrenderLocal(ctx context.Context, shard Shard, token Token)
}

// server implements durablepb.Keep.
type server struct{ local LocalCoordinator }

// NewServer returns the HTTP handler for requests of other entries, to be served at PathPrefix.
func NewServer(local LocalCoordinator) http.Handler {
	return durablepb.NewKeepServer(&server{local: local})
}

// Submit accepts a job.
func (s *server) Submit(ctx context.Context, packed *durablepb.Job) (*durablepb.Answer, error) {
	job := UnpackJob(packed)
	return s.ask(ctx, func(w Waiter) Event { return Submitted{Job: job, Waiter: w} })
}

// State returns the state of a job.
func (s *server) State(ctx context.Context, r *durablepb.JobRequest) (*durablepb.Answer, error) {
	return s.ask(ctx, func(w Waiter) Event { return StateRequested{Job: r.Id, Waiter: w} })
}

// Cancel cancels a job.
func (s *server) Cancel(ctx context.Context, r *durablepb.JobRequest) (*durablepb.Answer, error) {
	return s.ask(ctx, func(w Waiter) Event { return CancelRequested{Job: r.Id, Waiter: w} })
}

func (s *server) ask(ctx context.Context, event RequestEvent) (*durablepb.Answer, error) {
	return PackAnswer(s.local.AskLocal(ctx, event)), nil
}

// Pending counts the jobs of a kind that have not started a task.
func (s *server) Pending(ctx context.Context, r *durablepb.PendingRequest) (*durablepb.PendingResponse, error) {
	jobs, isComplete := s.local.PendingLocal(ctx, r.Kind)
	return &durablepb.PendingResponse{Jobs: uint32(jobs), Incomplete: !isComplete}, nil
}

// Surrender stops serving a shard. Shard numbers out of range are confirmed without effect, since this entry does not serve
// them.
func (s *server) Surrender(ctx context.Context, r *durablepb.SurrenderRequest) (*durablepb.SurrenderResponse, error) {
	if r.Shard < Shards {
		s.local.SurrenderLocal(ctx, Shard(r.Shard), Token(r.Token))
	}
	return &durablepb.SurrenderResponse{}, nil
}
