// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cluster

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/cluster/clusterpb"
)

const (
	// callTimeout bounds a call to another process.
	callTimeout = 400 * time.Millisecond
	// idleTimeout is how long a connection to another process is kept without use.
	idleTimeout = 10 * time.Second
)

// Exchanger exchanges a directory with other processes.
type Exchanger struct {
	directory *Directory
	// accept reads a document that another process sent, and returns its version.
	accept func(document []byte) (version uint64, err error)
	client *http.Client
}

// NewExchanger returns an exchanger for a directory; accept checks the documents of others. The clean-up
// closes its connections.
func NewExchanger(directory *Directory, accept func([]byte) (uint64, error)) (*Exchanger, func()) {
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: callTimeout}).DialContext,
		IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 1, DisableCompression: true,
	}
	e := &Exchanger{directory: directory, accept: accept, client: &http.Client{Transport: transport, Timeout: callTimeout}}
	return e, transport.CloseIdleConnections
}

// Handler serves the exchanges that other processes ask for.
func (e *Exchanger) Handler() http.Handler {
	return clusterpb.NewClusterServer(e)
}

// Exchange answers another entry; it serves the twirp interface.
func (e *Exchanger) Exchange(_ context.Context, view *clusterpb.View) (*clusterpb.View, error) {
	e.apply(view)
	return e.directory.view(view.Version, view.Wants), nil
}

// Announce answers a process that tells of itself; it serves the twirp interface.
func (e *Exchanger) Announce(_ context.Context, view *clusterpb.View) (*clusterpb.View, error) {
	for _, m := range membersOf(view) {
		e.directory.AddAnnounced(m)
	}
	return e.directory.view(0, false), nil
}

func (e *Exchanger) apply(view *clusterpb.View) {
	e.directory.addMembers(view)
	if len(view.Document) == 0 {
		return
	}
	if version, err := e.accept(view.Document); err == nil {
		e.directory.SetDocument(version, view.Document)
	}
}

// ExchangeWith exchanges with the entry at an address; a second call brings it the document if it lacks it.
func (e *Exchanger) ExchangeWith(ctx context.Context, address string) error {
	client := clusterpb.NewClusterProtobufClient("http://"+address, e.client)
	view := e.directory.view(0, false)
	view.Wants = true
	answer, err := client.Exchange(ctx, view)
	if err != nil {
		return errors.Wrapf(err, "cluster: unable to exchange with %s", address)
	}
	e.apply(answer)
	if version, _ := e.directory.Document(); version <= answer.Version {
		return nil
	}
	if _, err := client.Exchange(ctx, e.directory.view(answer.Version, true)); err != nil {
		return errors.Wrapf(err, "cluster: unable to bring the configuration to %s", address)
	}
	return nil
}

// AnnounceTo tells the entry at an address of this process and takes in the members that it knows.
func (e *Exchanger) AnnounceTo(ctx context.Context, address string, self Member) error {
	client := clusterpb.NewClusterProtobufClient("http://"+address, e.client)
	view := &clusterpb.View{Members: []*clusterpb.Member{{
		Name: self.Name, Role: string(self.Role), Zone: self.Zone, Address: self.Address, Incarnation: self.Incarnation,
	}}}
	answer, err := client.Announce(ctx, view)
	if err != nil {
		return errors.Wrapf(err, "cluster: unable to announce to %s", address)
	}
	e.directory.addMembers(answer)
	return nil
}
