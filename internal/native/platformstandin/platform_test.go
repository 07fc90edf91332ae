// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/native/keyvalue"
)

// start returns a stand-in with a client.
func start(t *testing.T) (*Server, *keyvalue.Client) {
	t.Helper()
	server, address, stop, err := NewServer("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client, closeClient := keyvalue.NewClient(address, 2*time.Second)
	t.Cleanup(closeClient)
	t.Cleanup(stop)
	return server, client
}

func TestCompareAndSwap(t *testing.T) {
	_, client := start(t)
	ctx := t.Context()
	if _, err := client.Get(ctx, "k"); !errors.Is(err, keyvalue.ErrNotFound) {
		t.Errorf("got %v for a key without a value", err)
	}
	first, err := client.CompareAndSwap(ctx, "k", []byte("one"), 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.CompareAndSwap(ctx, "k", []byte("two"), 0); !errors.Is(err, keyvalue.ErrConflict) {
		t.Errorf("got %v for a stale revision", err)
	}
	value, err := client.Get(ctx, "k")
	if err != nil || string(value.Data) != "one" || value.Revision != first {
		t.Errorf("got %+v, %v", value, err)
	}
	if _, err := client.CompareAndSwap(ctx, "k", make([]byte, keyvalue.MaxValue+1), first); err == nil {
		t.Error("a value over the limit was taken")
	}
}

func TestWatchWaitsForTheNextRevision(t *testing.T) {
	_, client := start(t)
	ctx := t.Context()
	first, err := client.CompareAndSwap(ctx, "k", []byte("one"), 0)
	if err != nil {
		t.Fatal(err)
	}
	seen := make(chan keyvalue.Value, 1)
	go func() {
		value, _ := client.Watch(ctx, "k", first)
		seen <- value
	}()
	if _, err := client.CompareAndSwap(ctx, "k", []byte("two"), first); err != nil {
		t.Fatal(err)
	}
	if value := <-seen; string(value.Data) != "two" {
		t.Errorf("got %q", value.Data)
	}
}

// counter is a document that counts the changes which took effect.
type counter struct{ Changes []string }

func add(id string) func(counter) (counter, error) {
	return func(c counter) (counter, error) {
		for _, done := range c.Changes {
			if done == id {
				return c, keyvalue.ErrUnchanged
			}
		}
		c.Changes = append(c.Changes, id)
		return c, nil
	}
}

func TestUpdateSurvivesLostReplies(t *testing.T) {
	server, client := start(t)
	document := keyvalue.NewDocument[counter](client, "doc")
	server.SetFaults(Faults{LostReplies: 3})
	for _, id := range []string{"a", "b", "c", "d"} {
		if _, _, err := document.Update(t.Context(), add(id)); err != nil {
			t.Fatal(err)
		}
	}
	got, _, err := document.Get(t.Context())
	if err != nil || len(got.Changes) != 4 {
		t.Errorf("got %v, %v: each change must take effect once", got.Changes, err)
	}
}

func TestUpdateOfTwoAtOnceLosesNothing(t *testing.T) {
	_, client := start(t)
	document := keyvalue.NewDocument[counter](client, "doc")
	done := make(chan error, 8)
	for i := range 8 {
		go func() {
			_, _, err := document.Update(t.Context(), add(string(rune('a'+i))))
			done <- err
		}()
	}
	for range 8 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	if got, _, _ := document.Get(t.Context()); len(got.Changes) != 8 {
		t.Errorf("got %v", got.Changes)
	}
}

func TestOutageFailsEveryCall(t *testing.T) {
	server, client := start(t)
	server.SetFaults(Faults{Outage: true})
	ctx := t.Context()
	if _, err := client.Get(ctx, "k"); err == nil || errors.Is(err, keyvalue.ErrNotFound) {
		t.Errorf("get: %v", err)
	}
	if _, err := client.CompareAndSwap(ctx, "k", nil, 0); !errors.Is(err, keyvalue.ErrUncertain) {
		t.Errorf("swap: %v", err)
	}
	if _, err := client.VMs(ctx); err == nil {
		t.Error("the list was read")
	}
}

func TestCallsEndWithTheirContext(t *testing.T) {
	server, client := start(t)
	server.SetFaults(Faults{DelayMillis: 1500})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := client.Get(ctx, "k"); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
}

func TestLeaseLapsesWithItsKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(time.Now)
		lease := store.Grant(time.Second)
		if _, err := store.Swap("k", []byte("held"), 0, lease); err != nil {
			t.Fatal(err)
		}
		time.Sleep(900 * time.Millisecond)
		if err := store.KeepAlive(lease); err != nil {
			t.Fatal(err)
		}
		time.Sleep(900 * time.Millisecond)
		if _, err := store.Get("k"); err != nil {
			t.Errorf("the lease was kept alive: %v", err)
		}
		time.Sleep(200 * time.Millisecond)
		if _, err := store.Get("k"); !errors.Is(err, keyvalue.ErrNotFound) {
			t.Errorf("got %v after the lease lapsed", err)
		}
		if err := store.KeepAlive(lease); !errors.Is(err, keyvalue.ErrLeaseLapsed) {
			t.Errorf("got %v for a lapsed lease", err)
		}
	})
}

func TestListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := newVMList(time.Now)
		list.Set("10.0.0.1:1", keyvalue.VMLive)
		list.SetLag(time.Second)
		list.Set("10.0.0.1:1", keyvalue.VMLeaving)
		list.Set("10.0.0.1:1", "")
		if vms := list.VMs(); len(vms) != 1 || vms[0].State != keyvalue.VMLive {
			t.Errorf("got %v before the lag", vms)
		}
		time.Sleep(time.Second)
		if vms := list.VMs(); len(vms) != 0 {
			t.Errorf("got %v after the lag", vms)
		}
	})
}
