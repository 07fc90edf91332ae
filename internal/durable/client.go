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
	// ownerTimeout bounds a request to another entry, which may wait for two calls to the store of up to
	// timing.StoreCallTimeout each.
	ownerTimeout = 1500 * time.Millisecond
	// ownerDialTimeout bounds the establishment of a connection: a hundred round-trip times between availability zones.
	ownerDialTimeout = 250 * time.Millisecond
	// ownerIdleTimeout is how long an idle connection stays open.
	ownerIdleTimeout = 10 * time.Second
	// ownerIdleConnections is the largest number of idle connections to one entry.
	ownerIdleConnections = 8
)

// Client sends requests to the owners of shards at other entries. It is safe for concurrent use. Failed requests are not logged
// here: the entry logs the answers to submissions, and the results of other requests reflect the failure.
type Client struct {
	client *http.Client
}

// NewClient returns a client for requests to other entries, and a function that closes its idle connections.
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

// State queries the state of a job from the owner at an address.
func (c *Client) State(ctx context.Context, address, id string) Answer {
	return toAnswer(c.rpcClient(address).State(ctx, &durablepb.JobRequest{Id: id}))
}

// Cancel sends the cancellation of a job to the owner at an address.
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

// Surrender asks the entry at an address to stop serving a shard, and reports whether that entry starts no more runs for it: it
// has confirmed this, or the connection was refused because no process listens at the address.
func (c *Client) Surrender(ctx context.Context, address string, shard Shard, token Token) bool {
	_, err := c.rpcClient(address).Surrender(ctx, &durablepb.SurrenderRequest{Shard: uint32(shard), Token: int64(token)})
	return err == nil || errors.Is(err, syscall.ECONNREFUSED)
}

// toAnswer returns the answer of an owner, or the answer that corresponds to a failed request. If no connection was
// established, the request was not sent, and it is safe to send it to another entry.
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
