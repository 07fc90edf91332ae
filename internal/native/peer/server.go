// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package peer

import (
	"context"
	"expvar"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/native/peer/peerpb"
)

// MaxMessage is the largest message accepted from a peer, in bytes.
const MaxMessage = 64 << 20

// The paths that are served besides the services.
const (
	PathVars   = "/debug/vars"
	PathHealth = "/healthz"
)

// headerTimeout is the longest time that a peer may take to send the header of a request.
const headerTimeout = 5 * time.Second

// Services are the services that a process offers to its peers. A nil service is not offered.
type Services struct {
	Owner     peerpb.Owner
	Forwarder peerpb.Forwarder
	Guard     peerpb.Guard
	Gossip    peerpb.Gossip
	Inspector peerpb.Inspector
}

// NewServer serves the services on the listener. The clean-up waits for open requests until its context ends.
func NewServer(listener net.Listener, services Services) (cleanup func(context.Context) error) {
	server := &http.Server{
		Handler:           http.MaxBytesHandler(newMux(services), MaxMessage),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	// Serve returns when the clean-up closes the listener; its error says no more than that.
	go func() { _ = server.Serve(listener) }()
	return func(ctx context.Context) error {
		if err := server.Shutdown(ctx); err != nil {
			return errors.Join(errors.Wrap(err, "peer: unable to finish open requests"), server.Close())
		}
		return nil
	}
}

// newMux returns the handler of the services and of the paths for operators.
func newMux(services Services) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle(PathVars, expvar.Handler())
	mux.HandleFunc(PathHealth, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	if services.Owner != nil {
		mux.Handle(peerpb.OwnerPathPrefix, peerpb.NewOwnerServer(services.Owner))
	}
	if services.Forwarder != nil {
		mux.Handle(peerpb.ForwarderPathPrefix, peerpb.NewForwarderServer(services.Forwarder))
	}
	if services.Guard != nil {
		mux.Handle(peerpb.GuardPathPrefix, peerpb.NewGuardServer(services.Guard))
	}
	if services.Gossip != nil {
		mux.Handle(peerpb.GossipPathPrefix, peerpb.NewGossipServer(services.Gossip))
	}
	if services.Inspector != nil {
		mux.Handle(peerpb.InspectorPathPrefix, peerpb.NewInspectorServer(services.Inspector))
	}
	return mux
}
