// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package shares

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// workerCores are the cores of the worker in these tests.
const workerCores = 10

var began = time.Unix(1_000_000, 0)

// use charges a competitor with a constant use, in cores, for some time, in which nobody waits.
func use(a *Accounts, from time.Time, length time.Duration, c Competitor, cores float64) {
	const step = 10 * time.Millisecond
	for at := time.Duration(0); at < length; at += step {
		a.Charge(from.Add(at), c, 0, Work(cores*step.Seconds()))
		a.Divide(from.Add(at), workerCores, nil)
	}
}

// entitled returns what a competitor is entitled to.
func entitled(divided []Share, c Competitor) float64 {
	at := slices.IndexFunc(divided, func(s Share) bool { return s.Competitor == c })
	return divided[at].Entitled
}

// TestWhoGoesOnAsUsualKeepsItsShare lets a competitor of three tenths of a worker wait beside one that asks for all of it.
func TestWhoGoesOnAsUsualKeepsItsShare(t *testing.T) {
	a := NewAccounts()
	steady, bursting := Competitor{Zone: "a", Kind: "steady"}, Competitor{Zone: "b", Kind: "bursting"}
	use(a, began, 20*time.Second, steady, 3)
	use(a, began, 20*time.Second, bursting, 2)
	now := began.Add(20 * time.Second)
	divided := a.Divide(now, workerCores, []Competitor{steady, bursting})
	if got := entitled(divided, steady); got < 3 {
		t.Errorf("the steady one may use %.2f cores, usually it uses 3", got)
	}
	if sum := entitled(divided, steady) + entitled(divided, bursting); math.Abs(sum-workerCores) > 0.01 {
		t.Errorf("the shares are %.2f cores in all, there are %d", sum, workerCores)
	}
}

// TestWhatOneDoesNotAskForGoesToOthers leaves one competitor out that used half of the worker long ago.
func TestWhatOneDoesNotAskForGoesToOthers(t *testing.T) {
	a := NewAccounts()
	gone, waiting := Competitor{Kind: "gone"}, Competitor{Kind: "waiting"}
	use(a, began, 20*time.Second, gone, 5)
	use(a, began, 20*time.Second, waiting, 5)
	later := began.Add(2 * time.Minute)
	use(a, later, 20*time.Second, waiting, 5)
	divided := a.Divide(later.Add(20*time.Second), workerCores, []Competitor{waiting})
	if got := entitled(divided, waiting); got < 0.95*workerCores {
		t.Errorf("who waits alone may use %.2f of %d cores", got, workerCores)
	}
}

// TestANewCompetitorIsWeighedEqually lets a competitor wait that nothing is known of beside three that use the worker.
func TestANewCompetitorIsWeighedEqually(t *testing.T) {
	a := NewAccounts()
	known := []Competitor{{Kind: "1"}, {Kind: "2"}, {Kind: "3"}}
	for _, c := range known {
		use(a, began, 20*time.Second, c, 3)
	}
	added := Competitor{Kind: "new"}
	if !a.IsBelow(began.Add(20*time.Second), added) {
		t.Error("one that was given nothing is not below its share")
	}
	divided := a.Divide(began.Add(20*time.Second), workerCores, append(known, added))
	equal := workerCores / 4.0
	if got, want := entitled(divided, added), workerCores*equal/(equal+3*3); math.Abs(got-want) > 0.1 {
		t.Errorf("the new one may use %.2f cores, want about %.2f", got, want)
	}
	if !a.IsBelow(began.Add(21*time.Second), added) {
		t.Error("one that was given nothing is not below its share after it has waited for a second")
	}
}

// TestWeightsMultiplyShares gives one of two competitors that are alike twice the weight.
func TestWeightsMultiplyShares(t *testing.T) {
	a := NewAccounts()
	single, double := Competitor{Kind: "single"}, Competitor{Kind: "double"}
	use(a, began, 20*time.Second, single, 4)
	use(a, began, 20*time.Second, double, 4)
	now := began.Add(20 * time.Second)
	a.Charge(now, double, 2, 0)
	divided := a.Divide(now, workerCores, []Competitor{single, double})
	if got, want := entitled(divided, double), 2*entitled(divided, single); math.Abs(got-want) > 0.01 {
		t.Errorf("the share is %.2f, want %.2f", got, want)
	}
}

// TestADebtIsPaidByTheShare charges a competitor for one long task.
func TestADebtIsPaidByTheShare(t *testing.T) {
	a := NewAccounts()
	c, other := Competitor{Kind: "c"}, Competitor{Kind: "other"}
	use(a, began, 20*time.Second, c, 5)
	use(a, began, 20*time.Second, other, 5)
	now := began.Add(20 * time.Second)
	a.Divide(now, workerCores, []Competitor{c, other})
	now = now.Add(time.Second)
	if !a.IsBelow(now, c) {
		t.Fatal("one that was given nothing for a second is not below its share")
	}
	a.Charge(now, c, 0, NewWork(5000, time.Second))
	// It has saved a quarter of a second.
	if at := now.Add(700 * time.Millisecond); a.IsBelow(at, c) {
		t.Error("the debt is paid too early")
	}
	if at := now.Add(800 * time.Millisecond); !a.IsBelow(at, c) {
		t.Error("the debt is paid too late")
	}
}

// TestAWorkerWithoutCPUIsDividedAgainOnceItHasSome divides a worker that has no CPU for a while.
func TestAWorkerWithoutCPUIsDividedAgainOnceItHasSome(t *testing.T) {
	a := NewAccounts()
	first, second := Competitor{Kind: "first"}, Competitor{Kind: "second"}
	waiting := []Competitor{first, second}
	a.Divide(began, 0, waiting)
	a.Charge(began, first, 0, 1)
	now := began.Add(time.Second)
	divided := a.Divide(now, workerCores, waiting)
	if sum := entitled(divided, first) + entitled(divided, second); !(math.Abs(sum-workerCores) < 0.01) {
		t.Errorf("the shares are %.2f cores in all, there are %d", sum, workerCores)
	}
	if !a.IsBelow(now.Add(time.Second), first) {
		t.Error("the first has not paid its debt of a core-second after a second")
	}
}

// TestUsualUseIsNoMoreThanTheWorkerHas charges one competitor for a task that is expected to take minutes.
func TestUsualUseIsNoMoreThanTheWorkerHas(t *testing.T) {
	a := NewAccounts()
	slow, waiting := Competitor{Kind: "slow"}, Competitor{Kind: "waiting"}
	use(a, began, time.Second, waiting, 5)
	now := began.Add(time.Second)
	a.Charge(now, slow, 0, NewWork(1000, 5*time.Minute))
	now = now.Add(5 * time.Second)
	if got := entitled(a.Divide(now, workerCores, []Competitor{slow, waiting}), waiting); got < 1 {
		t.Errorf("one that waits beside a single long task may use %.2f of %d cores", got, workerCores)
	}
}

// TestAccountsAreBounded opens more accounts, and notes more kinds, than are kept.
func TestAccountsAreBounded(t *testing.T) {
	a, k := NewAccounts(), NewKinds()
	for i := range 2 * maxEntries {
		name, now := fmt.Sprint(i), began.Add(time.Duration(i)*time.Millisecond)
		a.Charge(now, Competitor{Kind: name}, 0, 1)
		k.Charge(now, name, 1)
	}
	if len(a.accounts.entries) > maxEntries || len(k.kinds.entries) > maxEntries {
		t.Errorf("%d accounts and %d kinds are kept, want %d at most", len(a.accounts.entries), len(k.kinds.entries), maxEntries)
	}
	later := began.Add(time.Hour)
	a.Charge(later, Competitor{Kind: "new"}, 0, 1)
	k.Charge(later, "new", 1)
	if len(a.accounts.entries) != 1 || len(k.kinds.entries) != 1 {
		t.Errorf("%d accounts and %d kinds are left after an hour, want 1", len(a.accounts.entries), len(k.kinds.entries))
	}
}

// usedKinds returns a short and a long kind that use 3 and 5 cores, in tasks of 1 core.
func usedKinds() *Kinds {
	k := NewKinds()
	const step = 10 * time.Millisecond
	for at := time.Duration(0); at < 20*time.Second; at += step {
		now := began.Add(at)
		k.Arrived(now, "short", 1000, 60*time.Millisecond, 100*time.Millisecond)
		k.Arrived(now, "long", 1000, 900*time.Millisecond, 600*time.Millisecond)
		k.Charge(now, "short", Work(3*step.Seconds()))
		k.Charge(now, "long", Work(5*step.Seconds()))
	}
	return k
}

// TestLongTasksLeaveRoomForShortOnes asks what tasks of several lengths leave free.
func TestLongTasksLeaveRoomForShortOnes(t *testing.T) {
	now := began.Add(20 * time.Second)
	for _, test := range []struct {
		name   string
		inUse  map[string]int
		length time.Duration
		want   int
	}{
		{"a task of the short kind", nil, 60 * time.Millisecond, 0},
		{"one that short tasks can wait for", nil, 110 * time.Millisecond, 0},
		{"one of the long kind", nil, 900 * time.Millisecond, 3000},
		{"one that takes much longer", nil, 2 * time.Second, 8000},
		{"one while some short tasks run", map[string]int{"short": 2000}, 900 * time.Millisecond, 1000},
		{"one while more short tasks run than usual", map[string]int{"short": 9000}, 900 * time.Millisecond, 0},
		{"one while less than a task is missing", map[string]int{"short": 2500}, 900 * time.Millisecond, 0},
	} {
		if got := HeadroomCPU(usedKinds().Headroom(now, test.inUse), test.length); got != test.want {
			t.Errorf("%s leaves %d free, want %d", test.name, got, test.want)
		}
	}
}

// TestAKindThatIsGoneKeepsNoRoom asks what long tasks leave free once no short ones come any more.
func TestAKindThatIsGoneKeepsNoRoom(t *testing.T) {
	now := began.Add(20 * time.Second)
	for _, test := range []struct {
		name string
		wait time.Duration
		want bool
	}{
		{"short tasks have come just now", 0, true},
		{"none has come for half a second", 500 * time.Millisecond, true},
		{"none has come for two seconds", 2 * time.Second, false},
	} {
		bounds := usedKinds().Headroom(now.Add(test.wait), nil)
		if got := HeadroomCPU(bounds, 900*time.Millisecond) > 0; got != test.want {
			t.Errorf("%s: a long task leaves room: %t, want %t", test.name, got, test.want)
		}
	}
}

// BenchmarkDivide is the cost of a division between three kinds in three availability zones, all of which wait. It is made at each tick.
func BenchmarkDivide(b *testing.B) {
	a := NewAccounts()
	var waiting []Competitor
	for _, zone := range []string{"a", "b", "c"} {
		for _, kind := range []string{"1", "2", "3"} {
			waiting = append(waiting, Competitor{Zone: zone, Kind: kind})
			use(a, began, time.Second, Competitor{Zone: zone, Kind: kind}, 1)
		}
	}
	b.ReportAllocs()
	for i := range b.N {
		a.Divide(began.Add(time.Duration(i)*20*time.Millisecond), workerCores, waiting)
	}
}
