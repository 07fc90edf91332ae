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

const (
	// ownerTimeout bounds a request to another entry, which may have to wait for the store: two calls to the store that take
	// timing.StoreCallTimeout each.
	ownerTimeout = 1500 * time.Millisecond
	// ownerDialTimeout bounds the opening of a connection: a hundred round trips between availability zones.
	ownerDialTimeout = 250 * time.Millisecond
	// ownerIdleTimeout is how long an idle connection stays open.
	ownerIdleTimeout = 10 * time.Second
	// ownerIdleConnections is the largest number of idle connections to one entry.
	ownerIdleConnections = 8
)

// Client sends requests to the owners of shards at other entries. It is safe for concurrent use. A failed request is not
// logged here: the entry logs the answer to a submission, and the other results say what the failure means.
type Client struct {
	client *http.Client
}

// NewClient returns a client of other entries. The clean-up closes its idle connections.
func NewClient() (*Client, func()) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: ownerDialTimeout}).DialContext,
		IdleConnTimeout:     ownerIdleTimeout,
		MaxIdleConnsPerHost: ownerIdleConnections,
		DisableCompression:  true,
	}
	return &Client{client: &http.Client{Transport: transport, Timeout: ownerTimeout}}, transport.CloseIdleConnections
}

func (c *Client) rpcClient(address string) durablepb.Keep {
	return durablepb.NewKeepProtobufClient("http://"+address, c.client)
}

// Submit sends a job to the owner at an address.
func (c *Client) Submit(ctx context.Context, address string, job dispatch.Job) Answer {
	return toAnswer(c.rpcClient(address).Submit(ctx, PackJob(job)))
}

// State queries the state of a job at the owner's address.
func (c *Client) State(ctx context.Context, address, id string) Answer {
	return toAnswer(c.rpcClient(address).State(ctx, &durablepb.JobRequest{Id: id}))
}

// Cancel cancels a job at the owner's address.
func (c *Client) Cancel(ctx context.Context, address, id string) Answer {
	return toAnswer(c.rpcClient(address).Cancel(ctx, &durablepb.JobRequest{Id: id}))
}

// Pending returns the number of jobs of a kind that the entry at an address owns and that have not started a task; ok is false
// if it did not answer, or does not know the jobs of all its shards.
func (c *Client) Pending(ctx context.Context, address, kind string) (jobs int, ok bool) {
	answer, err := c.rpcClient(address).Pending(ctx, &durablepb.PendingRequest{Kind: kind})
	if err != nil || answer.Incomplete {
		return 0, false
	}
	return int(answer.Jobs), true
}

// Surrender asks the entry at an address to stop serving a shard, and reports whether nothing more is started for it there:
// the entry has confirmed that, or no process listens at the address any more.
func (c *Client) Surrender(ctx context.Context, address string, shard Shard, token Token) bool {
	_, err := c.rpcClient(address).Surrender(ctx, &durablepb.SurrenderRequest{Shard: uint32(shard), Token: int64(token)})
	return err == nil || errors.Is(err, syscall.ECONNREFUSED)
}

// toAnswer returns the answer of an owner, or what a failed request means. Without a connection the request was not sent, so
// it is safe to send it elsewhere.
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
