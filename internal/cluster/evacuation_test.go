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

// TestOneExchangeTellsBothEntriesOfEvacuations lets one entry know of an evacuation and the other that an earlier one was taken back.
func TestOneExchangeTellsBothEntriesOfEvacuations(t *testing.T) {
	own, other := NewDirectory(), NewDirectory()
	own.MergeEvacuations(evacuated(3, 2, "a"))
	other.MergeEvacuations(evacuated(0, 8, "b"))
	other.MergeEvacuations(evacuation.New(0, []evacuation.Change{{Zone: "a", Revision: 6}}))
	heard := 0
	listener := testListener{evacuated: func(evacuation.State) { heard++ }}
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
	if heard != 2 {
		t.Errorf("%d changes were reported, want one at each entry", heard)
	}
}

// orderListener records what it is told of first.
type orderListener struct {
	testListener
	told []string
}

func (l *orderListener) Accept(document []byte) (uint64, error) {
	l.told = append(l.told, "document")
	return l.testListener.Accept(document)
}

func (l *orderListener) LearnedReceived([]learned.Kind) {}

func (l *orderListener) EvacuationsReceived(evacuation.State) {
	l.told = append(l.told, "evacuations")
}

func TestEvacuationsComeBeforeTheDocumentOfTheSameExchange(t *testing.T) {
	own, other := NewDirectory(), NewDirectory()
	other.MergeEvacuations(evacuated(3, 2, "a"))
	other.SetConfiguration(7, []byte{7})
	listener := &orderListener{}
	e, closeExchanger := NewExchanger(own, listener)
	defer closeExchanger()
	e.apply(other.viewFor(own.summary(), true))
	if !slices.Equal(listener.told, []string{"evacuations", "document"}) {
		t.Errorf("told of %v", listener.told)
	}
}
