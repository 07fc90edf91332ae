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

// idleTimeout is how long an idle connection to another process stays open. It exceeds the interval between two calls to the same entry, which
// is several seconds: with 13 entries, each makes 13 calls in 6 s.
const idleTimeout = 10 * time.Second

// Listener receives new information from other processes. Its methods must not block for long.
type Listener interface {
	// Accept validates a configuration document and returns its version. If the document is invalid, Accept logs and returns an error, and the
	// document is ignored.
	Accept(document []byte) (version uint64, err error)
	// CrashReceived is called with each new crash of a worker.
	CrashReceived(Crash)
	// UnendedRunReceived is called with each run of another entry's failed jobs that may go on, possibly more than once.
	UnendedRunReceived(UnendedRun)
	// LearnedReceived is called with the statistics of another entry about kinds of jobs.
	LearnedReceived([]learned.Kind)
	// EvacuationsReceived is called when the directory's evacuation state has changed. It is called before Accept for a document from the same
	// view.
	EvacuationsReceived(evacuation.State)
}

// Exchanger synchronises a directory with those of other processes.
type Exchanger struct {
	directory *Directory
	listener  Listener
	client    *http.Client
}

// NewExchanger returns an exchanger for a directory. The listener receives new information from other processes. The clean-up closes idle
// connections.
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

// Exchange applies the view of another entry and returns this entry's view, limited to what the other one is missing. It implements
// clusterpb.Cluster and always returns a nil error.
func (e *Exchanger) Exchange(_ context.Context, view *clusterpb.View) (*clusterpb.View, error) {
	e.apply(view)
	return e.directory.viewFor(view, view.Wants), nil
}

// Announce adds the calling process to the directory. The answer contains the record that supersedes the one of the calling process, if there is
// one. It implements clusterpb.Cluster and always returns a nil error.
func (e *Exchanger) Announce(_ context.Context, view *clusterpb.View) (*clusterpb.View, error) {
	answer := e.directory.summary()
	for _, m := range unpackMembers(view) {
		if superseding, isSuperseded := e.directory.AddAnnounced(m); isSuperseded {
			answer.Members = append(answer.Members, superseding.pack())
		}
	}
	return answer, nil
}

// apply adds the evacuations, members, crashes, unended runs, statistics and document of another entry's view to the directory, in this order. Evacuations come
// first because tasks can be placed once agents and a configuration are known, and must not be placed in an evacuated availability zone.
func (e *Exchanger) apply(view *clusterpb.View) {
	if state, isChanged := e.directory.MergeEvacuations(wire.UnpackEvacuations(view.GetEvacuationsAsOf(), view.GetEvacuations())); isChanged {
		e.listener.EvacuationsReceived(state)
	}
	e.directory.addMembers(view)
	for _, message := range view.Crashes {
		if crash := unpackCrash(message); e.directory.AddCrash(clock.Now(), crash) {
			e.listener.CrashReceived(crash)
		}
	}
	for _, run := range unpackUnendedRuns(clock.Now(), view.UnendedRuns) {
		e.listener.UnendedRunReceived(run)
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

// ExchangeWith compares the directory with that of the entry at an address and adds what is missing here. If the other entry lacks members or the
// configuration, a second call sends them. Errors include the address.
//
// Usually both directories are equal, and the call takes a few bytes. If each call and answer contained the members, traffic would grow with
// the square of the number of processes.
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

// Announcer announces this process to entries.
type Announcer struct {
	client *http.Client
}

// NewAnnouncer returns an announcer. The clean-up closes idle connections.
func NewAnnouncer() (*Announcer, func()) {
	client, closeIdle := newClient()
	return &Announcer{client: client}, closeIdle
}

// AnnounceTo sends the record of this process to the entry at an address. It returns the incarnation of the record that supersedes it there, or 0 if
// there is none. Errors include the address.
func (a *Announcer) AnnounceTo(ctx context.Context, address string, self Member) (superseding int64, err error) {
	client := clusterpb.NewClusterProtobufClient("http://"+address, a.client)
	view := &clusterpb.View{Members: []*clusterpb.Member{self.pack()}}
	answer, err := client.Announce(ctx, view)
	if err != nil {
		return 0, errors.Wrapf(err, "cluster: unable to announce to %s", address)
	}
	for _, m := range unpackMembers(answer) {
		if m.Name == self.Name && m.Incarnation > self.Incarnation {
			return m.Incarnation, nil
		}
	}
	return 0, nil
}
