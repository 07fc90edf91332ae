// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package peer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/native/guard"
	"sailhead/internal/native/model"
	"sailhead/internal/native/owner"
	"sailhead/internal/native/ownership"
	"sailhead/internal/native/peer/peerpb"
)

const (
	// dialTimeout is the longest time to connect. A peer on a live VM accepts at once; one that does not is avoided.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout is how long both sides keep a connection without a request.
	idleTimeout = 90 * time.Second
	// maxIdleConns is the largest number of idle connections that are kept to one peer.
	maxIdleConns = 128
)

// Client calls other processes. A call ends with its context and is never repeated. It is safe for concurrent use.
type Client struct {
	http  *http.Client
	bytes atomic.Int64
}

// Bytes returns how many bytes the client has sent and received.
func (c *Client) Bytes() int64 {
	return c.bytes.Load()
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads and counts.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// NewClient returns a client and a function that closes its idle connections.
func NewClient() (client *Client, cleanup func()) {
	c := &Client{}
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countedConn{Conn: conn, bytes: &c.bytes}, nil
		},
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
	}
	c.http = &http.Client{Transport: transport}
	return c, transport.CloseIdleConnections
}

// IsNotSent reports whether a call failed before any byte of it was sent. Only a failed dial counts: twirp's error for an
// open connection that breaks does not say whether the request arrived.
func IsNotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// url returns the base URL of the process at an address.
func url(address string) string {
	return "http://" + address
}

// Versions are the versions of the roster and the configuration by which an entry has routed a submission.
type Versions struct {
	// Epoch is that of the roster.
	Epoch uint64
	// Configuration is the version of the configuration.
	Configuration uint64
}

// Submit offers a submission to its owner and waits for the response.
func (c *Client) Submit(ctx context.Context, forwarder ownership.Member, to ownership.Member, under Versions, job model.Job) (owner.Response, error) {
	response, err := peerpb.NewOwnerProtobufClient(url(to.Address), c.http).Submit(ctx, &peerpb.SubmitRequest{
		Job: jobToWire(job), Forwarder: string(forwarder.ID), ForwarderAddress: forwarder.Address,
		Owner: string(to.ID), Epoch: under.Epoch, ConfigurationVersion: under.Configuration,
	})
	if err != nil {
		return nil, errors.Wrapf(err, "peer: unable to submit to %s", to.Address)
	}
	if declined := response.GetDeclined(); declined != nil {
		if !declined.GetFinal() {
			return owner.Refused{Reason: declined.GetReason()}, nil
		}
		return owner.Declined{BoundTo: ownership.MemberID(declined.GetBoundTo()), Reason: declined.GetReason()}, nil
	}
	answer, err := AnswerFromWire(response.GetAnswer())
	if err != nil {
		return nil, errors.Wrapf(err, "peer: unable to read the answer of %s", to.Address)
	}
	return owner.Answered{Answer: answer}, nil
}

// ResponseToWire returns the message for an owner's response.
func ResponseToWire(response owner.Response) *peerpb.SubmitResponse {
	switch r := response.(type) {
	case owner.Answered:
		return &peerpb.SubmitResponse{Outcome: &peerpb.SubmitResponse_Answer{Answer: AnswerToWire(r.Answer)}}
	case owner.Declined:
		return &peerpb.SubmitResponse{Outcome: &peerpb.SubmitResponse_Declined{Declined: &peerpb.Declined{
			Final: true, BoundTo: string(r.BoundTo), Reason: r.Reason,
		}}}
	case owner.Refused:
		return &peerpb.SubmitResponse{Outcome: &peerpb.SubmitResponse_Declined{Declined: &peerpb.Declined{Reason: r.Reason}}}
	default:
		return &peerpb.SubmitResponse{}
	}
}

// Relay asks another entry to forward a submission.
func (c *Client) Relay(ctx context.Context, from ownership.MemberID, to ownership.Member, job model.Job) (model.Answer, error) {
	response, err := peerpb.NewForwarderProtobufClient(url(to.Address), c.http).Relay(ctx, &peerpb.RelayRequest{
		Job: jobToWire(job), From: string(from),
	})
	if err != nil {
		return nil, errors.Wrapf(err, "peer: unable to relay through %s", to.Address)
	}
	return AnswerFromWire(response.GetAnswer())
}

// Fence asks an entry to send the key to no other owner, and returns its verdict and epoch.
func (c *Client) Fence(ctx context.Context, entry ownership.Member, key model.Key, asker ownership.MemberID, epoch uint64) (ownership.Verdict, uint64, error) {
	response, err := peerpb.NewForwarderProtobufClient(url(entry.Address), c.http).Fence(ctx, &peerpb.FenceRequest{
		Key: string(key), Owner: string(asker), Epoch: epoch,
	})
	if err != nil {
		return ownership.CannotTell{}, 0, errors.Wrapf(err, "peer: unable to fence at %s", entry.Address)
	}
	switch {
	case response.GetPromised():
		return ownership.Promised{}, response.GetEpoch(), nil
	case response.GetBoundTo() != "":
		return ownership.BoundElsewhere{Owner: ownership.MemberID(response.GetBoundTo())}, response.GetEpoch(), nil
	default:
		return ownership.CannotTell{}, response.GetEpoch(), nil
	}
}

// Start asks a guard to start a task and waits for its outcome and load.
func (c *Client) Start(ctx context.Context, to ownership.Member, task guard.Task) (model.Outcome, model.Load, error) {
	response, err := peerpb.NewGuardProtobufClient(url(to.Address), c.http).Start(ctx, taskToWire(to.ID, task))
	return c.outcome(response, err, "start a task", to)
}

// Report asks a guard for the outcome of a task. The guard refuses a task that has not arrived from then on.
func (c *Client) Report(ctx context.Context, to ownership.Member, asked guard.ReportAsked, asker ownership.MemberID) (model.Outcome, model.Load, error) {
	response, err := peerpb.NewGuardProtobufClient(url(to.Address), c.http).Report(ctx, &peerpb.ReportRequest{
		Key: string(asked.ID.Key), Task: asked.ID.Index, Owner: string(asker), Guard: string(to.ID),
		DeadlineUnixNs: asked.Deadline.UnixNano(), Withdraw: asked.Withdraw,
	})
	return c.outcome(response, err, "report a task", to)
}

// outcome returns the outcome and the load in a guard's response.
func (c *Client) outcome(response *peerpb.TaskResponse, err error, step string, to ownership.Member) (model.Outcome, model.Load, error) {
	if err != nil {
		return nil, model.Load{}, errors.Wrapf(err, "peer: unable to %s at %s", step, to.Address)
	}
	outcome, err := outcomeFromWire(response)
	if err != nil {
		return nil, model.Load{}, errors.Wrapf(err, "peer: unable to %s at %s", step, to.Address)
	}
	return outcome, LoadFromWire(response.GetLoad()), nil
}

// State asks an owner for the state of a submission. The answer is nil and underWay is false if the owner does not know it.
func (c *Client) State(ctx context.Context, to ownership.Member, key model.Key) (answer model.Answer, underWay bool, err error) {
	response, err := peerpb.NewOwnerProtobufClient(url(to.Address), c.http).State(ctx, &peerpb.StateRequest{Key: string(key)})
	if err != nil {
		return nil, false, errors.Wrapf(err, "peer: unable to ask %s for the state", to.Address)
	}
	if response.GetAnswer() == nil {
		return nil, response.GetState() == StateRunning, nil
	}
	answer, err = AnswerFromWire(response.GetAnswer())
	return answer, false, err
}

// The states in the answer to a query of a submission's state.
const (
	// StateRunning is the state of a submission that has no answer yet.
	StateRunning = "running"
	// StateUnknown is any other state: the answer is set, or the owner does not know the submission.
	StateUnknown = "unknown"
)

// HandRecords sends an heir its part of the submission table of a leaving owner.
func (c *Client) HandRecords(ctx context.Context, to ownership.Member, from ownership.MemberID, epoch uint64, records []ownership.Record) error {
	_, err := peerpb.NewOwnerProtobufClient(url(to.Address), c.http).TakeRecords(ctx, &peerpb.TakeRecordsRequest{
		From: string(from), Epoch: epoch, Records: recordsToWire(records),
	})
	if err != nil {
		return errors.Wrapf(err, "peer: unable to hand records to %s", to.Address)
	}
	return nil
}

// HandBindings sends an heir the bindings of a leaving entry.
func (c *Client) HandBindings(ctx context.Context, to ownership.Member, from ownership.MemberID, bindings map[model.Key]ownership.Binding) error {
	_, err := peerpb.NewForwarderProtobufClient(url(to.Address), c.http).TakeBindings(ctx, &peerpb.TakeBindingsRequest{
		From: string(from), Bindings: bindingsToWire(bindings),
	})
	if err != nil {
		return errors.Wrapf(err, "peer: unable to hand bindings to %s", to.Address)
	}
	return nil
}

// Exchange exchanges gossip with another process.
func (c *Client) Exchange(ctx context.Context, address string, request *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	response, err := peerpb.NewGossipProtobufClient(url(address), c.http).Exchange(ctx, request)
	if err != nil {
		return nil, errors.Wrapf(err, "peer: unable to exchange with %s", address)
	}
	return response, nil
}

// Inspect asks a process for its state.
func (c *Client) Inspect(ctx context.Context, address string) (*peerpb.InspectResponse, error) {
	response, err := peerpb.NewInspectorProtobufClient(url(address), c.http).Inspect(ctx, &peerpb.Empty{})
	if err != nil {
		return nil, errors.Wrapf(err, "peer: unable to inspect %s", address)
	}
	return response, nil
}

// Timeline asks a process for its recorded events.
func (c *Client) Timeline(ctx context.Context, address string, request *peerpb.TimelineRequest) (*peerpb.TimelineResponse, error) {
	response, err := peerpb.NewInspectorProtobufClient(url(address), c.http).Timeline(ctx, request)
	if err != nil {
		return nil, errors.Wrapf(err, "peer: unable to get the time line of %s", address)
	}
	return response, nil
}

// IsRefused reports whether the peer's host refused the connection, which means that no process listens at the address.
func IsRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
