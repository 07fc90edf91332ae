// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package caller

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"sailhead/internal/native/model"
)

// The paths of the API.
const (
	PathJobs   = "/v1/jobs"
	PathHealth = "/healthz"
	PathReady  = "/readyz"
	PathVars   = "/debug/vars"
)

// HeaderTrace carries the trace by which the time line joins the events of a request.
const HeaderTrace = "X-Trace"

const (
	// maxTrace is the longest trace that is accepted from a caller, in bytes.
	maxTrace = 64
	// idleTimeout is how long a connection without a request is kept.
	idleTimeout = time.Minute
	// maxHeader is the largest header of a request, in bytes.
	maxHeader = 16 << 10
)

// Dispatcher answers the jobs that callers submit. It is safe for concurrent use.
type Dispatcher interface {
	// Submit returns the final answer to a job.
	Submit(job model.Job) model.Answer
	// State returns the final answer to a submission, or whether it is under way.
	State(key model.Key) (answer model.Answer, underWay bool)
	// IsRepeatable reports whether callers may submit a job of the kind again after an unknown outcome.
	IsRepeatable(service, kind string) bool
	// IsReady reports whether the process accepts jobs, and the reason if it does not.
	IsReady() (reason string, ready bool)
}

// Limits are the bounds of requests and connections.
type Limits struct {
	// MaxBody is the largest body of a request, in bytes.
	MaxBody        int
	MaxConnections int
	// ReadTimeout is the longest time to read a request, and to write an answer.
	ReadTimeout time.Duration
}

// server answers callers.
type server struct {
	dispatcher Dispatcher
}

// NewServer serves callers on the listener. The clean-up accepts no new requests and waits for the open ones until its
// context ends.
func NewServer(listener net.Listener, limits Limits, dispatcher Dispatcher) (cleanup func(context.Context) error) {
	s := &server{dispatcher: dispatcher}
	http := &fasthttp.Server{
		Handler:            s.serve,
		ErrorHandler:       serveError,
		Name:               "sailhead",
		Concurrency:        limits.MaxConnections,
		ReadTimeout:        limits.ReadTimeout,
		IdleTimeout:        idleTimeout,
		WriteTimeout:       limits.ReadTimeout,
		MaxRequestBodySize: limits.MaxBody,
		ReadBufferSize:     maxHeader,
		CloseOnShutdown:    true,
		Logger:             quiet{},
	}
	// Serve returns when the clean-up closes the listener; its error says no more than that.
	go func() { _ = http.Serve(listener) }()
	return func(ctx context.Context) error {
		if err := http.ShutdownWithContext(ctx); err != nil {
			return errors.Wrap(err, "caller: unable to finish open requests")
		}
		return nil
	}
}

// quiet drops fasthttp's log lines about callers that disconnect or send malformed requests. These are no faults of the
// process, and one caller could fill the log with them.
type quiet struct{}

// Printf drops the line.
func (quiet) Printf(string, ...any) {}

// serveError answers a request that could not be read.
func serveError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	status, reason := fasthttp.StatusBadRequest, "the request is malformed"
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, reason = fasthttp.StatusRequestEntityTooLarge, "the body is too large"
	case errors.As(err, &small):
		status, reason = fasthttp.StatusRequestHeaderFieldsTooLarge, "the header is too large"
	case errors.As(err, &network) && network.Timeout():
		status, reason = fasthttp.StatusRequestTimeout, "the request was not sent in time"
	}
	writeBody(ctx, status, response{Status: statusRejected, Field: "body", Reason: reason})
	ctx.SetConnectionClose()
}

// serve routes a request by its path.
func (s *server) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == PathJobs:
		s.serveSubmit(ctx)
	case strings.HasPrefix(path, PathJobs+"/"):
		s.serveState(ctx, model.Key(strings.TrimPrefix(path, PathJobs+"/")))
	case path == PathHealth:
		ctx.SetBodyString("ok\n")
	case path == PathReady:
		s.serveReady(ctx)
	case path == PathVars:
		expvarhandler.ExpvarHandler(ctx)
	default:
		writeBody(ctx, fasthttp.StatusNotFound, response{Status: statusRejected, Field: "path", Reason: "no such path"})
	}
}

// serveSubmit submits a job and writes its final answer.
func (s *server) serveSubmit(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		ctx.Response.Header.Set(fasthttp.HeaderAllow, fasthttp.MethodPost)
		writeBody(ctx, fasthttp.StatusMethodNotAllowed, response{Status: statusRejected, Field: "method", Reason: "needs POST"})
		return
	}
	// The body belongs to the connection's buffer, and a job outlives its request.
	body := append([]byte(nil), ctx.PostBody()...)
	job, rejected := parse(body, traceOf(ctx), time.Now())
	if rejected != nil {
		writeAnswer(ctx, "", *rejected, false)
		return
	}
	answer := s.dispatcher.Submit(job)
	writeAnswer(ctx, job.Key, answer, s.dispatcher.IsRepeatable(job.Service, job.Kind))
}

// traceOf returns the caller's trace, or a new one.
func traceOf(ctx *fasthttp.RequestCtx) string {
	trace := string(ctx.Request.Header.Peek(HeaderTrace))
	if trace == "" || len(trace) > maxTrace || !model.Key(trace).IsValid() {
		trace = uuid.NewString()
	}
	ctx.Response.Header.Set(HeaderTrace, trace)
	return trace
}

// serveState writes the state of a submission.
func (s *server) serveState(ctx *fasthttp.RequestCtx, key model.Key) {
	if !ctx.IsGet() || !key.IsValid() {
		writeBody(ctx, fasthttp.StatusBadRequest, response{Status: statusRejected, Field: "submission", Reason: "needs GET and a legal key"})
		return
	}
	answer, underWay := s.dispatcher.State(key)
	switch {
	case answer != nil:
		writeAnswer(ctx, key, answer, false)
		ctx.SetStatusCode(fasthttp.StatusOK)
	case underWay:
		writeBody(ctx, fasthttp.StatusOK, response{Submission: string(key), Status: statusRunning})
	default:
		writeBody(ctx, fasthttp.StatusNotFound, response{Submission: string(key), Status: statusUnknown})
	}
}

// serveReady writes whether the process accepts jobs, for the balancer.
func (s *server) serveReady(ctx *fasthttp.RequestCtx) {
	if reason, ready := s.dispatcher.IsReady(); !ready {
		ctx.Error(reason, fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}
