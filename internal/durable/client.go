// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable/durablepb"
)

// PathPrefix begins the paths at which Server is served.
const PathPrefix = durablepb.KeepPathPrefix

const (
	// ownerTimeout bounds a request to an owner, which may have to wait for the store.
	ownerTimeout = 1500 * time.Millisecond
	dialTimeout  = 250 * time.Millisecond
	idleTimeout  = 10 * time.Second
	// ownerConnections is the number of connections to one owner that are kept.
	ownerConnections = 8
)

// Client calls the owners of shards at other entries.
type Client struct {
	client *http.Client
}

// NewClient returns a client of other entries. The clean-up closes its connections.
func NewClient() (*Client, func()) {
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: ownerConnections, DisableCompression: true,
	}
	return &Client{client: &http.Client{Transport: transport, Timeout: ownerTimeout}}, transport.CloseIdleConnections
}

func (o *Client) at(address string) durablepb.Keep {
	return durablepb.NewKeepProtobufClient("http://"+address, o.client)
}

// Submit hands a job to the owner at an address.
func (o *Client) Submit(ctx context.Context, address string, job dispatch.Job) Answer {
	return toAnswer(o.at(address).Submit(ctx, PackJob(job)))
}

// State asks the owner at an address for the state of a job.
func (o *Client) State(ctx context.Context, address, id string) Answer {
	return toAnswer(o.at(address).State(ctx, &durablepb.JobRequest{Id: id}))
}

// Cancel asks the owner at an address to end a job.
func (o *Client) Cancel(ctx context.Context, address, id string) Answer {
	return toAnswer(o.at(address).Cancel(ctx, &durablepb.JobRequest{Id: id}))
}

// Pending asks the entry at an address for its number of jobs that have not begun; ok is false if it does not answer.
func (o *Client) Pending(ctx context.Context, address, kind string) (jobs int, ok bool) {
	answer, err := o.at(address).Pending(ctx, &durablepb.PendingRequest{Kind: kind})
	if err != nil || answer.Incomplete {
		return 0, false
	}
	return int(answer.Jobs), true
}

// Surrender asks the entry at an address to give a shard up, and reports whether it surely has, or has ended.
func (o *Client) Surrender(ctx context.Context, address string, shard Shard, token Token) bool {
	_, err := o.at(address).Surrender(ctx, &durablepb.SurrenderRequest{Shard: uint32(shard), Token: int64(token)})
	return err == nil || errors.Is(err, syscall.ECONNREFUSED)
}

// toAnswer returns an owner's answer. A request that was surely not sent is one to nobody.
func toAnswer(answer *durablepb.Answer, err error) Answer {
	var dial *net.OpError
	switch {
	case err == nil:
		return UnpackAnswer(answer)
	case errors.As(err, &dial) && dial.Op == "dial":
		return NotOwner{}
	default:
		return InDoubt{Reason: "the owner of the job does not answer"}
	}
}

// Asked serves what other entries ask of an owner.
type LocalCoordinator interface {
	// AskLocal posts an event with a waiter and returns the answer.
	AskLocal(ctx context.Context, event func(Waiter) Event) Answer
	// PendingLocal counts the jobs of a kind that are owned here and have not begun.
	PendingLocal(ctx context.Context, kind string) (jobs int, isComplete bool)
	// SurrenderLocal gives a shard up, and returns once nothing more is started for it.
	SurrenderLocal(ctx context.Context, shard Shard, token Token)
}

// Server serves the twirp interface of owners.
type Server struct{ local LocalCoordinator }

// NewServer returns the handler of what other entries ask.
func NewServer(asked LocalCoordinator) http.Handler {
	return durablepb.NewKeepServer(&Server{local: asked})
}

// Submit takes a job from another entry.
func (s *Server) Submit(ctx context.Context, packed *durablepb.Job) (*durablepb.Answer, error) {
	job := UnpackJob(packed)
	return PackAnswer(s.local.AskLocal(ctx, func(w Waiter) Event { return Submitted{Job: job, Waiter: w} })), nil
}

// State tells the state of a job.
func (s *Server) State(ctx context.Context, r *durablepb.JobRequest) (*durablepb.Answer, error) {
	return PackAnswer(s.local.AskLocal(ctx, func(w Waiter) Event { return StateRequested{Job: r.Id, Waiter: w} })), nil
}

// Cancel ends a job.
func (s *Server) Cancel(ctx context.Context, r *durablepb.JobRequest) (*durablepb.Answer, error) {
	return PackAnswer(s.local.AskLocal(ctx, func(w Waiter) Event { return CancelRequested{Job: r.Id, Waiter: w} })), nil
}

// Pending counts jobs that have not begun.
func (s *Server) Pending(ctx context.Context, r *durablepb.PendingRequest) (*durablepb.PendingResponse, error) {
	jobs, isComplete := s.local.PendingLocal(ctx, r.Kind)
	return &durablepb.PendingResponse{Jobs: uint32(jobs), Incomplete: !isComplete}, nil
}

// Surrender gives a shard up.
func (s *Server) Surrender(ctx context.Context, r *durablepb.SurrenderRequest) (*durablepb.SurrenderResponse, error) {
	if r.Shard < Shards {
		s.local.SurrenderLocal(ctx, Shard(r.Shard), Token(r.Token))
	}
	return &durablepb.SurrenderResponse{}, nil
}
