// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package keyvalue

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// maxResponse is the largest body of a response, in bytes: a value, or a list of VMs, with room to spare.
const maxResponse = 2 * MaxValue

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	address string
	timeout time.Duration
	http    *fasthttp.Client
}

// NewClient returns a client of the platform at the address, and a function that closes its idle connections. Each call
// except a watch ends within the timeout.
func NewClient(address string, timeout time.Duration) (client *Client, cleanup func()) {
	// A retry inside the HTTP client would repeat a write whose answer was lost.
	never := func(*fasthttp.Request, int, error) (bool, bool) { return false, false }
	http := &fasthttp.Client{Name: "sailhead", RetryIfErr: never, MaxIdemponentCallAttempts: 1, MaxResponseBodySize: maxResponse}
	return &Client{address: address, timeout: timeout, http: http}, http.CloseIdleConnections
}

// Get returns the value of a key, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	value, err := c.read(ctx, PathKeys+key, nil, c.timeout)
	if err != nil {
		return Value{}, errors.Wrapf(err, "platform: unable to get %s", key)
	}
	return value, nil
}

// Watch waits until the key has a later revision than the given one, at most for watchWait. When the wait ends without
// one, it returns the value as it is, or ErrNotFound.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Value, error) {
	query := url.Values{}
	query.Set(ParamAfter, strconv.FormatUint(after, 10))
	query.Set(ParamWait, watchWait.String())
	value, err := c.read(ctx, PathKeys+key, query, watchWait+c.timeout)
	if err != nil {
		return Value{}, errors.Wrapf(err, "platform: unable to watch %s", key)
	}
	return value, nil
}

// CompareAndSwap writes the value if the key still has the revision, and returns the new revision. Revision 0 stands for a
// key without a value. It returns ErrConflict if the key has another revision, and ErrUncertain if the answer is lost.
func (c *Client) CompareAndSwap(ctx context.Context, key string, data []byte, revision uint64) (uint64, error) {
	return c.write(ctx, key, data, revision, "")
}

// CompareAndSwapLeased is CompareAndSwap for a value that is removed when the lease expires. It returns ErrLeaseLapsed if
// the lease has expired already.
func (c *Client) CompareAndSwapLeased(ctx context.Context, key string, data []byte, revision uint64, lease LeaseID) (uint64, error) {
	return c.write(ctx, key, data, revision, lease)
}

// write performs a compare-and-swap, under a lease if there is one.
func (c *Client) write(ctx context.Context, key string, data []byte, revision uint64, lease LeaseID) (uint64, error) {
	if len(data) > MaxValue {
		return 0, errors.Errorf("platform: unable to write %s: %d bytes are more than %d", key, len(data), MaxValue)
	}
	query := url.Values{}
	query.Set(ParamRevision, strconv.FormatUint(revision, 10))
	if lease != "" {
		query.Set(ParamLease, string(lease))
	}
	response, err := c.call(ctx, fasthttp.MethodPut, PathKeys+key, query, data, c.timeout)
	if err != nil {
		return 0, errors.Wrapf(errors.Join(ErrUncertain, err), "platform: unable to write %s", key)
	}
	defer fasthttp.ReleaseResponse(response)
	switch response.StatusCode() {
	case fasthttp.StatusOK:
		return revisionOf(response)
	case fasthttp.StatusConflict:
		return 0, ErrConflict
	case fasthttp.StatusGone:
		return 0, ErrLeaseLapsed
	default:
		return 0, errors.Wrapf(errors.Join(ErrUncertain, statusError(response)), "platform: unable to write %s", key)
	}
}

// Grant returns a new lease that expires after ttl unless it is extended.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	query := url.Values{}
	query.Set(ParamTTL, ttl.String())
	response, err := c.call(ctx, fasthttp.MethodPost, PathLeases, query, nil, c.timeout)
	if err != nil {
		return "", errors.Wrap(err, "platform: unable to grant a lease")
	}
	defer fasthttp.ReleaseResponse(response)
	if response.StatusCode() != fasthttp.StatusOK {
		return "", errors.Wrap(statusError(response), "platform: unable to grant a lease")
	}
	return LeaseID(response.Body()), nil
}

// KeepAlive extends a lease by its time to live, or returns ErrLeaseLapsed.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) error {
	return c.changeLease(ctx, fasthttp.MethodPost, lease)
}

// Revoke ends a lease, or returns ErrLeaseLapsed.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	return c.changeLease(ctx, fasthttp.MethodDelete, lease)
}

// changeLease extends or ends a lease, by the method.
func (c *Client) changeLease(ctx context.Context, method string, lease LeaseID) error {
	response, err := c.call(ctx, method, PathLeases+string(lease), nil, nil, c.timeout)
	if err != nil {
		return errors.Wrapf(err, "platform: unable to change lease %s", lease)
	}
	defer fasthttp.ReleaseResponse(response)
	switch response.StatusCode() {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusGone:
		return ErrLeaseLapsed
	default:
		return errors.Wrapf(statusError(response), "platform: unable to change lease %s", lease)
	}
}

// VMs returns the platform's list of VMs, which lags behind.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	value, err := c.read(ctx, PathVMs, nil, c.timeout)
	if err != nil {
		return nil, errors.Wrap(err, "platform: unable to list VMs")
	}
	var vms []VM
	if err := json.Unmarshal(value.Data, &vms); err != nil {
		return nil, errors.Wrap(err, "platform: unable to read the list of VMs")
	}
	return vms, nil
}

// read performs a GET and returns the body with its revision.
func (c *Client) read(ctx context.Context, path string, query url.Values, timeout time.Duration) (Value, error) {
	response, err := c.call(ctx, fasthttp.MethodGet, path, query, nil, timeout)
	if err != nil {
		return Value{}, err
	}
	defer fasthttp.ReleaseResponse(response)
	switch response.StatusCode() {
	case fasthttp.StatusOK:
		revision, err := revisionOf(response)
		return Value{Data: append([]byte(nil), response.Body()...), Revision: revision}, err
	case fasthttp.StatusNotFound:
		return Value{}, ErrNotFound
	default:
		return Value{}, statusError(response)
	}
}

// call performs a request. It does so in a goroutine of its own, so that the end of the context ends the wait: fasthttp
// knows no contexts. The goroutine ends with the timeout at the latest; the response of a call that nobody waits for is
// left to the garbage collector.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, timeout time.Duration) (*fasthttp.Response, error) {
	type result struct {
		response *fasthttp.Response
		err      error
	}
	done := make(chan result, 1)
	go func() {
		request := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(request)
		request.Header.SetMethod(method)
		request.SetRequestURI("http://" + c.address + path + "?" + query.Encode())
		request.SetBody(body)
		response := fasthttp.AcquireResponse()
		done <- result{response: response, err: c.http.DoTimeout(request, response, timeout)}
	}()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-done:
		return r.response, r.err
	}
}

// revisionOf returns the revision in the header of a response, or 0 for a response without one.
func revisionOf(response *fasthttp.Response) (uint64, error) {
	text := string(response.Header.Peek(HeaderRevision))
	if text == "" {
		return 0, nil
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "platform: unable to read the revision")
	}
	return revision, nil
}

// statusError returns the error for a response with an unexpected status.
func statusError(response *fasthttp.Response) error {
	return fmt.Errorf("platform answered %d: %.200s", response.StatusCode(), response.Body())
}
