// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cluster

import (
	"context"
	"math"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/cluster/clusterpb"
	"sailhead/internal/evacuation"
	"sailhead/internal/learned"
)

func agentOf(incarnation int64) Member {
	return Member{Name: "agent-1", Role: RoleAgent, Zone: "z", Address: "127.0.0.1:1", Incarnation: incarnation}
}

func TestAddMemberKeepsHighestIncarnation(t *testing.T) {
	d := NewDirectory()
	for _, c := range []struct {
		incarnation int64
		added       bool
	}{{5, true}, {5, false}, {4, false}, {6, true}} {
		if got := d.AddMember(agentOf(c.incarnation)); got != c.added {
			t.Errorf("AddMember of incarnation %d returned %t, want %t", c.incarnation, got, c.added)
		}
	}
	if got := d.Members(RoleAgent); len(got) != 1 || got[0].Incarnation != 6 || len(d.Members(RoleEntry)) != 0 {
		t.Fatalf("the directory has the agents %v, want incarnation 6 only", got)
	}
}

func TestRemovedMemberReturnsOnlyWhenItAnnouncesItself(t *testing.T) {
	d := NewDirectory()
	now := time.Unix(1000, 0)
	d.AddMember(agentOf(5))
	d.RemoveMember(now, agentOf(4))
	if len(d.Members(RoleAgent)) != 1 {
		t.Fatal("RemoveMember removed a newer incarnation")
	}
	d.RemoveMember(now, agentOf(5))
	if d.AddMember(agentOf(5)) || len(d.Members(RoleAgent)) != 0 {
		t.Fatal("AddMember restored a removed member")
	}
	d.AddAnnounced(agentOf(5))
	if len(d.Members(RoleAgent)) != 1 {
		t.Fatal("AddAnnounced did not restore the member")
	}
	d.RemoveMember(now, agentOf(5))
	if !d.AddMember(agentOf(6)) {
		t.Fatal("AddMember rejected a newer incarnation")
	}
	d.RemoveMember(now.Add(2*removalLifetime), agentOf(6))
	if len(d.removed) != 1 {
		t.Fatalf("%d removals are remembered, want 1", len(d.removed))
	}
}

// testListener accepts documents of one byte, which is their version, and passes everything else to functions, which may be nil.
type testListener struct {
	crashed   func(Crash)
	unended   func(UnendedRun)
	evacuated func(evacuation.State)
	learned   func([]learned.Kind)
}

func (testListener) Accept(document []byte) (uint64, error) {
	if len(document) != 1 {
		return 0, errors.New("no document")
	}
	return uint64(document[0]), nil
}

func (l testListener) CrashReceived(crash Crash) {
	if l.crashed != nil {
		l.crashed(crash)
	}
}

func (l testListener) UnendedRunReceived(run UnendedRun) {
	if l.unended != nil {
		l.unended(run)
	}
}

func (l testListener) LearnedReceived(kinds []learned.Kind) {
	if l.learned != nil {
		l.learned(kinds)
	}
}

func (l testListener) EvacuationsReceived(state evacuation.State) {
	if l.evacuated != nil {
		l.evacuated(state)
	}
}

func TestExchangeUpdatesBothSides(t *testing.T) {
	for name, versions := range map[string][2]byte{"caller is newer": {7, 3}, "other is newer": {3, 7}, "same version": {7, 7}} {
		t.Run(name, func(t *testing.T) {
			own, other := NewDirectory(), NewDirectory()
			own.SetConfiguration(uint64(versions[0]), []byte{versions[0]})
			other.SetConfiguration(uint64(versions[1]), []byte{versions[1]})
			own.AddMember(agentOf(1))
			served, closeServed := NewExchanger(other, testListener{})
			defer closeServed()
			server := httptest.NewServer(served.Handler())
			defer server.Close()
			caller, closeCaller := NewExchanger(own, testListener{})
			defer closeCaller()
			if err := caller.ExchangeWith(context.Background(), server.Listener.Addr().String()); err != nil {
				t.Fatal(err)
			}
			for _, d := range []*Directory{own, other} {
				if version, document := d.Configuration(); version != 7 || len(document) != 1 || document[0] != 7 {
					t.Errorf("version %d with document %v, want 7", version, document)
				}
				if len(d.Members(RoleAgent)) != 1 {
					t.Error("the member was not exchanged")
				}
			}
		})
	}
}

// TestMembersAreSentOnlyIfTheyDiffer checks the answers to an entry with the same members, to one with different members, and to an entry of an
// earlier version, which sends its members and no digest.
func TestMembersAreSentOnlyIfTheyDiffer(t *testing.T) {
	own, other := NewDirectory(), NewDirectory()
	for _, d := range []*Directory{own, other} {
		d.AddMember(agentOf(1))
		d.AddMember(Member{Name: "entry-1", Role: RoleEntry, Address: "127.0.0.1:2", Incarnation: 1})
	}
	served, closeServed := NewExchanger(other, testListener{})
	defer closeServed()
	exchange := func(request *clusterpb.View) *clusterpb.View {
		answer, err := served.Exchange(context.Background(), request)
		if err != nil {
			t.Fatal(err)
		}
		return answer
	}
	if answer := exchange(own.summary()); len(answer.Members) != 0 {
		t.Errorf("%d members were sent to an entry that knows the same", len(answer.Members))
	}
	own.AddMember(agentOf(2))
	if answer := exchange(own.summary()); len(answer.Members) != 2 {
		t.Errorf("%d members were sent to an entry that knows others, want all 2", len(answer.Members))
	}
	earlier := &clusterpb.View{Members: []*clusterpb.Member{agentOf(2).pack()}}
	if answer := exchange(earlier); len(answer.Members) != 2 || answer.Members[0].Name == answer.Members[1].Name {
		t.Errorf("%d members were sent to an entry of an earlier version, want all 2", len(answer.Members))
	}
	if answer := exchange(own.summary()); len(answer.Members) != 0 {
		t.Error("the directories differ although each has the newest records of both")
	}
	own.RemoveMember(time.Unix(1000, 0), agentOf(2))
	other.RemoveMember(time.Unix(1000, 0), agentOf(2))
	if own.digest != other.digest || own.digest == 0 {
		t.Errorf("digests %x and %x after the same member was removed", own.digest, other.digest)
	}
}

func TestInvalidDocumentFromAnotherEntryIsIgnored(t *testing.T) {
	d := NewDirectory()
	e, closeExchanger := NewExchanger(d, testListener{})
	defer closeExchanger()
	other := NewDirectory()
	other.SetConfiguration(9, []byte("broken"))
	e.apply(other.viewFor(&clusterpb.View{}, true))
	if version, _ := d.Configuration(); version != 0 {
		t.Fatalf("version %d was stored", version)
	}
}

func TestParseMemberRejectsInvalidRecords(t *testing.T) {
	for _, bad := range []string{"", "{", "[]", `{"name":"a"}`, `{"address":"b"}`} {
		if m, err := ParseMember([]byte(bad)); err == nil {
			t.Errorf("ParseMember(%q) returned %v and no error", bad, m)
		}
	}
	want := agentOf(3)
	if got, err := ParseMember(want.Encode()); err != nil || got != want {
		t.Errorf("ParseMember of an encoded member returned %v, %v; want %v", got, err, want)
	}
}

// A record of a member that cannot be reached, or whose incarnation no later process has, would replace the member's own record for good.
func TestMembersWithoutAReachableAddressOrAPossibleIncarnationAreInvalid(t *testing.T) {
	for _, address := range []string{
		"10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:65536", "10.0.0.1:70000", "10.0.0.1:99999999999999999999", "10.0.0.1:x", "10.0.0.1:", "10.0.0.1", ":7601", "host:7601", "",
	} {
		m := agentOf(3)
		m.Address = address
		if err := m.check(); err == nil {
			t.Errorf("the address %q is valid", address)
		}
	}
	for _, incarnation := range []int64{math.MinInt64, -1, 0, maxIncarnation + 1, math.MaxInt64} {
		if err := agentOf(incarnation).check(); err == nil {
			t.Errorf("the incarnation %d is valid", incarnation)
		}
	}
	for _, address := range []string{"10.0.0.1:1", "[::1]:65535"} {
		m := agentOf(maxIncarnation)
		m.Address = address
		if err := m.check(); err != nil {
			t.Errorf("the member %v is invalid: %s", m, err)
		}
	}
}
