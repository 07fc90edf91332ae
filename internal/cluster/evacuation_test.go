// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cluster

import (
	"context"
	"net/http/httptest"
	"slices"
	"testing"

	"sailhead/internal/evacuation"
	"sailhead/internal/learned"
)

func evacuated(asOf, revision evacuation.Revision, zone string) evacuation.State {
	return evacuation.New(asOf, []evacuation.Change{{Zone: zone, Revision: revision, IsEvacuated: true}})
}

// TestOneExchangeSendsEvacuationsBothWays starts with one entry that knows of an evacuation, and another that knows that it was cancelled
// and of a second one. One exchange must give both entries the merged state and notify each of them; a repeated
// exchange must not notify them again.
func TestOneExchangeSendsEvacuationsBothWays(t *testing.T) {
	own, other := NewDirectory(), NewDirectory()
	own.MergeEvacuations(evacuated(3, 2, "a"))
	other.MergeEvacuations(evacuated(0, 8, "b"))
	other.MergeEvacuations(evacuation.New(0, []evacuation.Change{{Zone: "a", Revision: 6}}))
	notifications := 0
	listener := testListener{evacuated: func(evacuation.State) { notifications++ }}
	served, closeServed := NewExchanger(other, listener)
	defer closeServed()
	server := httptest.NewServer(served.Handler())
	defer server.Close()
	caller, closeCaller := NewExchanger(own, listener)
	defer closeCaller()
	for range 2 {
		if err := caller.ExchangeWith(context.Background(), server.Listener.Addr().String()); err != nil {
			t.Fatal(err)
		}
	}
	for _, d := range []*Directory{own, other} {
		if zones := d.Evacuations().Zones(); !slices.Equal(zones, []string{"b"}) {
			t.Errorf("evacuated: %v, want b", zones)
		}
	}
	if notifications != 2 {
		t.Errorf("%d changes were reported, want one at each entry", notifications)
	}
}

// orderListener records the order of its calls.
type orderListener struct {
	testListener
	calls []string
}

func (l *orderListener) Accept(document []byte) (uint64, error) {
	l.calls = append(l.calls, "document")
	return l.testListener.Accept(document)
}

func (l *orderListener) LearnedReceived([]learned.Kind) {}

func (l *orderListener) EvacuationsReceived(evacuation.State) {
	l.calls = append(l.calls, "evacuations")
}

func TestEvacuationsComeBeforeTheDocumentOfTheSameExchange(t *testing.T) {
	own, other := NewDirectory(), NewDirectory()
	other.MergeEvacuations(evacuated(3, 2, "a"))
	other.SetConfiguration(7, []byte{7})
	listener := &orderListener{}
	e, closeExchanger := NewExchanger(own, listener)
	defer closeExchanger()
	e.apply(other.viewFor(own.summary(), true))
	if !slices.Equal(listener.calls, []string{"evacuations", "document"}) {
		t.Errorf("calls in the order %v", listener.calls)
	}
}
