// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cluster

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/clock"
	"sailhead/internal/cluster/clusterpb"
	"sailhead/internal/evacuation"
	"sailhead/internal/learned"
	"sailhead/internal/timing"
	"sailhead/internal/wire"
)

// idleTimeout is how long an unused connection to another process stays open. An entry calls each other one once in some seconds:
// at 13 entries it calls 13 times in 6 s.
const idleTimeout = 10 * time.Second

// Listener is told what other processes knew and this one did not. Its methods must not block for long.
type Listener interface {
	// Accept checks a document and returns its version. A document for which it returns an error is ignored; Accept logs it.
	Accept(document []byte) (version uint64, err error)
	// CrashReceived is called with each crash of a worker that was not known.
	CrashReceived(Crash)
	// LearnedReceived is called with what another entry has learned of the kinds of jobs.
	LearnedReceived([]learned.Kind)
	// EvacuationsReceived is called when the directory's evacuations have changed, before Accept for a document that came with them.
	EvacuationsReceived(evacuation.State)
}

// Exchanger exchanges the content of a directory with other processes.
type Exchanger struct {
	directory *Directory
	listener  Listener
	client    *http.Client
}

// NewExchanger returns an exchanger for a directory. The listener is told what comes from other processes. The clean-up closes
// idle connections.
func NewExchanger(directory *Directory, listener Listener) (*Exchanger, func()) {
	client, closeIdle := newClient()
	return &Exchanger{directory: directory, listener: listener, client: client}, closeIdle
}

// newClient returns a client for calls to entries. The clean-up closes idle connections.
func newClient() (*http.Client, func()) {
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: timing.PeerCallTimeout}).DialContext,
		IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 1, DisableCompression: true,
	}
	return &http.Client{Transport: transport, Timeout: timing.PeerCallTimeout}, transport.CloseIdleConnections
}

// Handler returns the HTTP handler for calls from other processes.
func (e *Exchanger) Handler() http.Handler {
	return clusterpb.NewClusterServer(e)
}

// Exchange adds what another entry knows and returns what this one knows and the other one does not. It implements
// clusterpb.Cluster and returns no error.
func (e *Exchanger) Exchange(_ context.Context, view *clusterpb.View) (*clusterpb.View, error) {
	e.apply(view)
	return e.directory.viewFor(view, view.Wants), nil
}

// Announce adds the calling process. It implements clusterpb.Cluster and returns no error.
func (e *Exchanger) Announce(_ context.Context, view *clusterpb.View) (*clusterpb.View, error) {
	for _, m := range membersOf(view) {
		e.directory.AddAnnounced(m)
	}
	return e.directory.summary(), nil
}

// apply adds the evacuations, the members, the crashes, what was learned and the document of another entry's view, in this order:
// nothing is placed without agents or a configuration, so neither comes before it is known which availability zones are evacuated.
func (e *Exchanger) apply(view *clusterpb.View) {
	if state, isChanged := e.directory.MergeEvacuations(wire.UnpackEvacuations(view.GetEvacuationsAsOf(), view.GetEvacuations())); isChanged {
		e.listener.EvacuationsReceived(state)
	}
	e.directory.addMembers(view)
	for _, message := range view.Crashes {
		if crash := crashOf(message); e.directory.AddCrash(clock.Now(), crash) {
			e.listener.CrashReceived(crash)
		}
	}
	if kinds := unpackLearned(view.Kinds); len(kinds) > 0 {
		e.listener.LearnedReceived(kinds)
	}
	if len(view.Document) == 0 {
		return
	}
	if version, err := e.listener.Accept(view.Document); err == nil {
		e.directory.SetConfiguration(version, view.Document)
	}
}

// ExchangeWith compares the directory with that of the entry at an address and adds what that entry knows. If it does not know
// all that this one does, a second call sends it the members, the configuration or both. An error names the address.
//
// Usually both know the same, and the call is a few bytes. With the members in each call and answer, bytes
// would grow as the square of the fleet.
func (e *Exchanger) ExchangeWith(ctx context.Context, address string) error {
	client := clusterpb.NewClusterProtobufClient("http://"+address, e.client)
	request := e.directory.summary()
	request.Wants = true
	answer, err := client.Exchange(ctx, request)
	if err != nil {
		return errors.Wrapf(err, "cluster: unable to exchange with %s", address)
	}
	e.apply(answer)
	missing := e.directory.viewFor(answer, true)
	if len(missing.Members) == 0 && len(missing.Document) == 0 {
		return nil
	}
	if _, err := client.Exchange(ctx, missing); err != nil {
		return errors.Wrapf(err, "cluster: unable to send members and configuration to %s", address)
	}
	return nil
}

// Announcer announces a process to entries.
type Announcer struct {
	client *http.Client
}

// NewAnnouncer returns an announcer. The clean-up closes idle connections.
func NewAnnouncer() (*Announcer, func()) {
	client, closeIdle := newClient()
	return &Announcer{client: client}, closeIdle
}

// AnnounceTo sends the record of a process to the entry at an address. An error names the address.
func (a *Announcer) AnnounceTo(ctx context.Context, address string, self Member) error {
	client := clusterpb.NewClusterProtobufClient("http://"+address, a.client)
	view := &clusterpb.View{Members: []*clusterpb.Member{self.message()}}
	if _, err := client.Announce(ctx, view); err != nil {
		return errors.Wrapf(err, "cluster: unable to announce to %s", address)
	}
	return nil
}
