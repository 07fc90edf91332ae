// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package backendstandin is a backend server without real work, for tests, the demo and trials. It serves the protocol
// of package backend, fails on request, and counts the starts of every task in memory, by which tests find a task that
// started twice. It calls no one; when it stops, open connections break and its counts are gone.
package backendstandin

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"sailhead/internal/native/backend"
)

// The paths by which tests read the counts of the stand-in and set its behaviour.
const (
	PathStarts    = "/v1/starts"
	PathBehaviour = "/v1/behaviour"
)

// Mode is how the stand-in answers a task.
type Mode string

// The modes.
const (
	// ModeServe answers with a result after the service time.
	ModeServe Mode = "serve"
	// ModeThrottle, ModeStop and ModeFail answer at once with the status that stands for this failure.
	ModeThrottle Mode = "throttle"
	ModeStop     Mode = "stop"
	ModeFail     Mode = "fail"
	// ModeHangUp closes the connection without an answer. The task counts as started.
	ModeHangUp Mode = "hang_up"
)

// Behaviour is how the stand-in serves tasks.
type Behaviour struct {
	Mode Mode `json:"mode"`
	// MinMillis and MaxMillis bound the service time of a task that does not name its own.
	MinMillis int `json:"min_ms"`
	MaxMillis int `json:"max_ms"`
	// StragglersPerMille is how many tasks of a thousand take StragglerFactor times as long.
	StragglersPerMille int `json:"stragglers_per_mille"`
	StragglerFactor    int `json:"straggler_factor"`
}

// maxPayload is the largest payload of a task, in bytes.
const maxPayload = 64 << 20

// Start identifies a task that has started.
type Start struct {
	Submission string `json:"submission"`
	Task       string `json:"task"`
}

// Count is the number of starts of a task.
type Count struct {
	Start
	Times int `json:"times"`
}

// Server is a backend server without real work.
type Server struct {
	mu        sync.Mutex
	behaviour Behaviour
	starts    map[Start]int
}

// payload is the part of a task's payload that the stand-in reads. It is optional.
type payload struct {
	ServiceMillis int `json:"service_ms"`
}

// result is the body of the answer to a task.
type result struct {
	Task string          `json:"task"`
	Echo json.RawMessage `json:"echo,omitempty"`
}

// NewServer returns a stand-in that listens at the address, and a function that stops it.
func NewServer(address string, behaviour Behaviour) (server *Server, bound string, cleanup func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", nil, errors.Wrapf(err, "backendstandin: unable to listen at %s", address)
	}
	s := &Server{behaviour: behaviour, starts: make(map[Start]int)}
	http := &fasthttp.Server{Handler: s.serve, Name: "backend-standin", MaxRequestBodySize: maxPayload}
	// Serve returns when the clean-up closes the listener; its error says no more than that.
	go func() { _ = http.Serve(listener) }()
	return s, listener.Addr().String(), func() { _ = listener.Close() }, nil
}

// setBehaviour changes how tasks are served that start from now on.
func (s *Server) setBehaviour(behaviour Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = behaviour
}

// Starts returns how often each task started.
func (s *Server) Starts() []Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make([]Count, 0, len(s.starts))
	for start, times := range s.starts {
		counts = append(counts, Count{Start: start, Times: times})
	}
	return counts
}

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == PathStarts:
		writeJSON(ctx, s.Starts())
	case path == PathBehaviour:
		s.serveBehaviour(ctx)
	case strings.HasPrefix(path, backend.PathTasks) && ctx.IsPost():
		s.serveTask(ctx)
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
}

func (s *Server) serveBehaviour(ctx *fasthttp.RequestCtx) {
	var behaviour Behaviour
	if err := json.Unmarshal(ctx.PostBody(), &behaviour); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.setBehaviour(behaviour)
}

func (s *Server) serveTask(ctx *fasthttp.RequestCtx) {
	task := string(ctx.Request.Header.Peek(backend.HeaderTask))
	behaviour := s.begin(Start{Submission: string(ctx.Request.Header.Peek(backend.HeaderSubmission)), Task: task})
	switch behaviour.Mode {
	case ModeThrottle:
		ctx.Error("throttled", fasthttp.StatusTooManyRequests)
		return
	case ModeStop:
		ctx.Error("stopped", fasthttp.StatusServiceUnavailable)
		return
	case ModeFail:
		ctx.Error("failed", fasthttp.StatusInternalServerError)
		return
	case ModeHangUp:
		_ = ctx.Conn().Close()
		return
	case ModeServe:
	}
	time.Sleep(serviceTime(behaviour, ctx.PostBody()))
	answer := result{Task: task}
	if json.Valid(ctx.PostBody()) {
		answer.Echo = ctx.PostBody()
	}
	writeJSON(ctx, answer)
}

// writeJSON writes the body of an answer.
func writeJSON(ctx *fasthttp.RequestCtx, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(data)
}

// begin counts the start of a task and returns how it is to be served.
func (s *Server) begin(start Start) Behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts[start]++
	return s.behaviour
}

// serviceTime returns the time that the payload names, or a random one within the bounds of the behaviour.
func serviceTime(behaviour Behaviour, body []byte) time.Duration {
	var p payload
	// A payload that is no such object names no time.
	_ = json.Unmarshal(body, &p)
	millis := p.ServiceMillis
	if millis == 0 {
		millis = behaviour.MinMillis + rand.IntN(max(behaviour.MaxMillis-behaviour.MinMillis, 0)+1)
	}
	if rand.IntN(1000) < behaviour.StragglersPerMille {
		millis *= behaviour.StragglerFactor
	}
	return time.Duration(millis) * time.Millisecond
}
