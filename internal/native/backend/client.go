// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package backend calls the backend server beside an agent over plain HTTP. It owns the connections to it and translates
// its statuses into outcomes.
//
// A task is sent once and never repeated. If the server cannot be reached, the task has not started (model.TaskNotStarted);
// if the connection breaks or the server does not answer within the timeout, it may have (model.TaskFailed, CauseUnknown).
package backend

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"sailhead/internal/native/guard"
	"sailhead/internal/native/model"
)

// The protocol towards backend servers: POST PathTasks + service + "/" + kind with the payload as body.
const (
	PathTasks        = "/v1/tasks/"
	HeaderSubmission = "X-Submission"
	HeaderTask       = "X-Task"
	HeaderDeadline   = "X-Deadline"
	HeaderTrace      = "X-Trace"
)

const (
	// dialTimeout is the longest time to connect. The server is on the same VM.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout is how long an idle connection is kept. It is shorter than that of usual HTTP servers, so that no task is sent on a
	// connection that the server is closing.
	idleTimeout = 4 * time.Second
	// maxResult is the largest result of a task, in bytes.
	maxResult = 8 << 20
	// maxReason is the largest part of a body that a reason quotes, in bytes.
	maxReason = 200
)

// Client runs tasks at one backend server.
type Client struct {
	address string
	timeout time.Duration
	http    *fasthttp.HostClient
}

// NewClient returns a client with at most the given number of connections, and a function that closes the idle ones. The
// timeout bounds each task.
func NewClient(address string, connections int, timeout time.Duration) (client *Client, cleanup func()) {
	http := &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  connections,
		MaxIdleConnDuration:       idleTimeout,
		MaxResponseBodySize:       maxResult,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(address string) (net.Conn, error) {
			return fasthttp.DialTimeout(address, dialTimeout)
		},
	}
	return &Client{address: address, timeout: timeout, http: http}, http.CloseIdleConnections
}

// Run runs a task once and returns its outcome. The context is not used: a task that has started is not stopped.
func (c *Client) Run(_ context.Context, task guard.Task) model.Outcome {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	c.fill(request, task)
	began := time.Now()
	if err := c.http.DoTimeout(request, response, c.timeout); err != nil {
		return c.failure(err)
	}
	return c.outcome(response, time.Since(began))
}

// fill writes the task into the request.
func (c *Client) fill(request *fasthttp.Request, task guard.Task) {
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + c.address + PathTasks + task.Service + "/" + task.Kind)
	request.Header.Set(HeaderSubmission, string(task.ID.Key))
	request.Header.Set(HeaderTask, strconv.FormatUint(uint64(task.ID.Index), 10))
	request.Header.Set(HeaderDeadline, task.Deadline.UTC().Format(time.RFC3339Nano))
	request.Header.Set(HeaderTrace, task.Trace)
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(task.Payload)
}

// failure returns the outcome of a call without an answer: not started if the server was not reached, else unknown.
func (c *Client) failure(err error) model.Outcome {
	var op *net.OpError
	if errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) || errors.As(err, &op) && op.Op == "dial" {
		return model.TaskNotStarted{Reason: "the backend server cannot be reached: " + err.Error()}
	}
	return model.TaskFailed{Cause: model.CauseUnknown, Reason: "the backend server gave no answer: " + err.Error()}
}

// outcome returns the outcome that the server's status stands for.
func (c *Client) outcome(response *fasthttp.Response, took time.Duration) model.Outcome {
	switch status := response.StatusCode(); status {
	case fasthttp.StatusOK:
		return model.TaskDone{Result: append([]byte(nil), response.Body()...), ServiceTime: took}
	case fasthttp.StatusTooManyRequests:
		return model.TaskFailed{Cause: model.CauseThrottled, Reason: reason(response)}
	case fasthttp.StatusServiceUnavailable:
		return model.TaskFailed{Cause: model.CauseStopped, Reason: reason(response)}
	default:
		return model.TaskFailed{Cause: model.CauseFailed, Reason: reason(response)}
	}
}

// reason returns the status and the start of the body.
func reason(response *fasthttp.Response) string {
	body := response.Body()
	return strconv.Itoa(response.StatusCode()) + " " + string(body[:min(len(body), maxReason)])
}
