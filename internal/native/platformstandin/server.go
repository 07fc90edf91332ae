// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"sailhead/internal/native/keyvalue"
)

// PathFaults is the path at which the faults are read and set.
const PathFaults = "/v1/faults"

// Faults are the failures that the stand-in shows. The zero value is none.
type Faults struct {
	// Outage makes every call fail without effect.
	Outage bool `json:"outage"`
	// DelayMillis delays every answer.
	DelayMillis int `json:"delay_ms"`
	// LostReplies is the number of next writes that take effect and answer with an error.
	LostReplies int `json:"lost_replies"`
	// ListLagMillis is how long the list of VMs hides a change that comes from now on.
	ListLagMillis int `json:"list_lag_ms"`
}

// Server serves a store and a list of VMs over HTTP.
type Server struct {
	store  *store
	list   *vmList
	mu     sync.Mutex
	faults Faults
}

// NewServer returns a stand-in for the platform that listens at the address, and a function that stops it.
func NewServer(address string) (server *Server, bound string, cleanup func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", nil, errors.Wrapf(err, "platformstandin: unable to listen at %s", address)
	}
	s := &Server{store: newStore(time.Now), list: newVMList(time.Now)}
	http := &fasthttp.Server{Handler: s.serve, Name: "platform-standin", MaxRequestBodySize: 2 * keyvalue.MaxValue, CloseOnShutdown: true}
	// Serve returns when the clean-up closes the listener; its error says no more than that.
	go func() { _ = http.Serve(listener) }()
	return s, listener.Addr().String(), func() { _ = listener.Close() }, nil
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	s.list.SetLag(time.Duration(faults.ListLagMillis) * time.Millisecond)
}

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == PathFaults {
		s.serveFaults(ctx)
		return
	}
	if strings.HasPrefix(path, PathVMs+"/") && !ctx.IsGet() {
		s.setVM(ctx, strings.TrimPrefix(path, PathVMs+"/"))
		return
	}
	if s.isDown() {
		ctx.Error("outage", fasthttp.StatusServiceUnavailable)
		return
	}
	s.serveService(ctx, path)
	s.delay()
	if ctx.IsPut() && s.losesReply() || s.isDown() {
		ctx.Response.Reset()
		ctx.Error("reply lost", fasthttp.StatusServiceUnavailable)
	}
}

// PathVMs is the path of the list. Below it, PUT ADDRESS?state=STATE lists a VM and DELETE ADDRESS removes one.
const PathVMs = keyvalue.PathVMs

// serveService serves the calls of the platform, as package keyvalue makes them.
func (s *Server) serveService(ctx *fasthttp.RequestCtx, path string) {
	switch {
	case path == PathVMs:
		s.serveVMs(ctx)
	case strings.HasPrefix(path, keyvalue.PathKeys) && ctx.IsGet():
		s.serveGet(ctx, strings.TrimPrefix(path, keyvalue.PathKeys))
	case strings.HasPrefix(path, keyvalue.PathKeys) && ctx.IsPut():
		s.servePut(ctx, strings.TrimPrefix(path, keyvalue.PathKeys))
	case strings.HasPrefix(path, keyvalue.PathLeases):
		s.serveLease(ctx, strings.TrimPrefix(path, keyvalue.PathLeases))
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
}

func (s *Server) serveGet(ctx *fasthttp.RequestCtx, key string) {
	after, wait := uint64(0), time.Duration(0)
	if text := ctx.QueryArgs().Peek(keyvalue.ParamAfter); len(text) > 0 {
		// A revision or wait that is not valid counts as 0.
		after, _ = strconv.ParseUint(string(text), 10, 64)
		wait, _ = time.ParseDuration(string(ctx.QueryArgs().Peek(keyvalue.ParamWait)))
	}
	value, err := s.store.Await(key, after, wait)
	if wait == 0 {
		value, err = s.store.Get(key)
	}
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusNotFound)
		return
	}
	ctx.Response.Header.Set(keyvalue.HeaderRevision, strconv.FormatUint(value.Revision, 10))
	ctx.SetBody(value.Data)
}

func (s *Server) servePut(ctx *fasthttp.RequestCtx, key string) {
	revision, err := strconv.ParseUint(string(ctx.QueryArgs().Peek(keyvalue.ParamRevision)), 10, 64)
	if err != nil || len(ctx.PostBody()) > keyvalue.MaxValue {
		ctx.Error("bad revision or value", fasthttp.StatusBadRequest)
		return
	}
	data := append([]byte(nil), ctx.PostBody()...)
	id := keyvalue.LeaseID(ctx.QueryArgs().Peek(keyvalue.ParamLease))
	written, err := s.store.Swap(key, data, revision, id)
	switch {
	case errors.Is(err, keyvalue.ErrConflict):
		ctx.Error(err.Error(), fasthttp.StatusConflict)
	case errors.Is(err, keyvalue.ErrLeaseLapsed):
		ctx.Error(err.Error(), fasthttp.StatusGone)
	default:
		ctx.Response.Header.Set(keyvalue.HeaderRevision, strconv.FormatUint(written, 10))
	}
}

func (s *Server) serveLease(ctx *fasthttp.RequestCtx, id string) {
	if id == "" {
		ttl, err := time.ParseDuration(string(ctx.QueryArgs().Peek(keyvalue.ParamTTL)))
		if err != nil || ttl <= 0 {
			ctx.Error("bad ttl", fasthttp.StatusBadRequest)
			return
		}
		ctx.SetBodyString(string(s.store.Grant(ttl)))
		return
	}
	change := s.store.KeepAlive
	if ctx.IsDelete() {
		change = s.store.Revoke
	}
	if err := change(keyvalue.LeaseID(id)); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusGone)
	}
}

func (s *Server) serveVMs(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, s.list.VMs())
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

func (s *Server) setVM(ctx *fasthttp.RequestCtx, address string) {
	state := keyvalue.VMState(ctx.QueryArgs().Peek("state"))
	if ctx.IsDelete() {
		state = ""
	} else if state != keyvalue.VMLive && state != keyvalue.VMLeaving {
		ctx.Error("state is live or leaving", fasthttp.StatusBadRequest)
		return
	}
	s.list.Set(address, state)
}

func (s *Server) serveFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		s.mu.Lock()
		faults := s.faults
		s.mu.Unlock()
		writeJSON(ctx, faults)
		return
	}
	var faults Faults
	if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Outage
}

func (s *Server) delay() {
	s.mu.Lock()
	delay := time.Duration(s.faults.DelayMillis) * time.Millisecond
	s.mu.Unlock()
	time.Sleep(delay)
}

// losesReply reports whether the answer to this write is lost, and counts it.
func (s *Server) losesReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LostReplies == 0 {
		return false
	}
	s.faults.LostReplies--
	return true
}
