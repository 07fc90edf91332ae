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

// workerCores is the number of cores of the worker in these tests.
const workerCores = 10

var began = time.Unix(1_000_000, 0)

// use charges a competitor for a constant usage, in cores, for the given time, during which no competitor waits.
func use(a *Accounts, from time.Time, length time.Duration, c Competitor, cores float64) {
	const step = 10 * time.Millisecond
	for at := time.Duration(0); at < length; at += step {
		a.Charge(from.Add(at), c, 0, Work(cores*step.Seconds()))
		a.Divide(from.Add(at), workerCores, nil)
	}
}

// entitled returns the fair share of a competitor.
func entitled(divided []Share, c Competitor) float64 {
	at := slices.IndexFunc(divided, func(s Share) bool { return s.Competitor == c })
	return divided[at].FairShare
}

// TestSteadyCompetitorKeepsItsShare lets a competitor that usually uses three tenths of a worker wait beside one with a burst.
func TestSteadyCompetitorKeepsItsShare(t *testing.T) {
	a := NewAccounts()
	steady, bursting := Competitor{Zone: "a", Kind: "steady"}, Competitor{Zone: "b", Kind: "bursting"}
	use(a, began, 20*time.Second, steady, 3)
	use(a, began, 20*time.Second, bursting, 2)
	now := began.Add(20 * time.Second)
	divided := a.Divide(now, workerCores, []Competitor{steady, bursting})
	if got := entitled(divided, steady); got < 3 {
		t.Errorf("got a share of %.2f cores for the steady competitor, want at least its usual 3", got)
	}
	if sum := entitled(divided, steady) + entitled(divided, bursting); math.Abs(sum-workerCores) > 0.01 {
		t.Errorf("got shares of %.2f cores in total, want %d", sum, workerCores)
	}
}

// TestUnusedShareGoesToOthers divides a worker after a competitor that used half of it has been idle for a long time.
func TestUnusedShareGoesToOthers(t *testing.T) {
	a := NewAccounts()
	gone, waiting := Competitor{Kind: "gone"}, Competitor{Kind: "waiting"}
	use(a, began, 20*time.Second, gone, 5)
	use(a, began, 20*time.Second, waiting, 5)
	later := began.Add(2 * time.Minute)
	use(a, later, 20*time.Second, waiting, 5)
	divided := a.Divide(later.Add(20*time.Second), workerCores, []Competitor{waiting})
	if got := entitled(divided, waiting); got < 0.95*workerCores {
		t.Errorf("got a share of %.2f of %d cores for the only waiting competitor, want at least 95 percent", got, workerCores)
	}
}

// TestNewCompetitorStartsWithEqualWeight lets a new competitor wait beside three that already use the worker.
func TestNewCompetitorStartsWithEqualWeight(t *testing.T) {
	a := NewAccounts()
	known := []Competitor{{Kind: "1"}, {Kind: "2"}, {Kind: "3"}}
	for _, c := range known {
		use(a, began, 20*time.Second, c, 3)
	}
	added := Competitor{Kind: "new"}
	if !a.IsWithinShare(began.Add(20*time.Second), added) {
		t.Error("a competitor without usage is not below its share")
	}
	divided := a.Divide(began.Add(20*time.Second), workerCores, append(known, added))
	equal := workerCores / 4.0
	if got, want := entitled(divided, added), workerCores*equal/(equal+3*3); math.Abs(got-want) > 0.1 {
		t.Errorf("got a share of %.2f cores for the new competitor, want about %.2f", got, want)
	}
	if !a.IsWithinShare(began.Add(21*time.Second), added) {
		t.Error("a competitor without usage is not below its share after waiting for a second")
	}
}

// TestWeightsMultiplyShares gives one of two competitors with equal usage twice the weight.
func TestWeightsMultiplyShares(t *testing.T) {
	a := NewAccounts()
	single, double := Competitor{Kind: "single"}, Competitor{Kind: "double"}
	use(a, began, 20*time.Second, single, 4)
	use(a, began, 20*time.Second, double, 4)
	now := began.Add(20 * time.Second)
	a.Charge(now, double, 2, 0)
	divided := a.Divide(now, workerCores, []Competitor{single, double})
	if got, want := entitled(divided, double), 2*entitled(divided, single); math.Abs(got-want) > 0.01 {
		t.Errorf("got a share of %.2f cores for the double weight, want %.2f", got, want)
	}
}

// TestDebtIsRepaidAtRateOfShare charges a competitor for one long task.
func TestDebtIsRepaidAtRateOfShare(t *testing.T) {
	a := NewAccounts()
	c, other := Competitor{Kind: "c"}, Competitor{Kind: "other"}
	use(a, began, 20*time.Second, c, 5)
	use(a, began, 20*time.Second, other, 5)
	now := began.Add(20 * time.Second)
	a.Divide(now, workerCores, []Competitor{c, other})
	now = now.Add(time.Second)
	if !a.IsWithinShare(now, c) {
		t.Fatal("a competitor without usage for a second is not below its share")
	}
	a.Charge(now, c, 0, NewWork(5000, time.Second))
	// The competitor has a credit of a quarter of a second (creditTime).
	if at := now.Add(700 * time.Millisecond); a.IsWithinShare(at, c) {
		t.Error("the debt is repaid too early")
	}
	if at := now.Add(800 * time.Millisecond); !a.IsWithinShare(at, c) {
		t.Error("the debt is repaid too late")
	}
}

// TestWorkerIsDividedAfterTimeWithoutCPU divides a worker that temporarily has no CPU.
func TestWorkerIsDividedAfterTimeWithoutCPU(t *testing.T) {
	a := NewAccounts()
	first, second := Competitor{Kind: "first"}, Competitor{Kind: "second"}
	waiting := []Competitor{first, second}
	a.Divide(began, 0, waiting)
	a.Charge(began, first, 0, 1)
	now := began.Add(time.Second)
	divided := a.Divide(now, workerCores, waiting)
	if sum := entitled(divided, first) + entitled(divided, second); !(math.Abs(sum-workerCores) < 0.01) {
		t.Errorf("got shares of %.2f cores in total, want %d", sum, workerCores)
	}
	if !a.IsWithinShare(now.Add(time.Second), first) {
		t.Error("the first competitor has not repaid its debt of one core-second after a second")
	}
}

// TestUsualUseIsCappedAtWorkerCores charges a competitor for a task with an estimated run time of minutes.
func TestUsualUseIsCappedAtWorkerCores(t *testing.T) {
	a := NewAccounts()
	slow, waiting := Competitor{Kind: "slow"}, Competitor{Kind: "waiting"}
	use(a, began, time.Second, waiting, 5)
	now := began.Add(time.Second)
	a.Charge(now, slow, 0, NewWork(1000, 5*time.Minute))
	now = now.Add(5 * time.Second)
	if got := entitled(a.Divide(now, workerCores, []Competitor{slow, waiting}), waiting); got < 1 {
		t.Errorf("got a share of %.2f of %d cores beside a single long task, want at least 1", got, workerCores)
	}
}

// TestAccountsAreBounded creates more accounts and kinds than are kept.
func TestAccountsAreBounded(t *testing.T) {
	a, k := NewAccounts(), NewKinds()
	for i := range 2 * maxUsers {
		name, now := fmt.Sprint(i), began.Add(time.Duration(i)*time.Millisecond)
		a.Charge(now, Competitor{Kind: name}, 0, 1)
		k.Charge(now, name, 1)
	}
	if len(a.accounts.users) > maxUsers || len(k.kinds.users) > maxUsers {
		t.Errorf("got %d accounts and %d kinds, want at most %d", len(a.accounts.users), len(k.kinds.users), maxUsers)
	}
	later := began.Add(time.Hour)
	a.Charge(later, Competitor{Kind: "new"}, 0, 1)
	k.Charge(later, "new", 1)
	if len(a.accounts.users) != 1 || len(k.kinds.users) != 1 {
		t.Errorf("got %d accounts and %d kinds after an hour without usage, want 1 of each", len(a.accounts.users), len(k.kinds.users))
	}
}

// usedKinds returns a short and a long kind that use 3 and 5 cores, in tasks of one core.
func usedKinds() *Kinds {
	k := NewKinds()
	const step = 10 * time.Millisecond
	for at := time.Duration(0); at < 20*time.Second; at += step {
		now := began.Add(at)
		k.RecordArrival(now, "short", 1000, 60*time.Millisecond, 100*time.Millisecond)
		k.RecordArrival(now, "long", 1000, 900*time.Millisecond, 600*time.Millisecond)
		k.Charge(now, "short", Work(3*step.Seconds()))
		k.Charge(now, "long", Work(5*step.Seconds()))
	}
	return k
}

// TestLongTasksLeaveHeadroomForShortOnes checks how much CPU tasks of various run times leave free.
func TestLongTasksLeaveHeadroomForShortOnes(t *testing.T) {
	now := began.Add(20 * time.Second)
	for _, test := range []struct {
		name   string
		inUse  map[string]int
		length time.Duration
		want   int
	}{
		{"task of the short kind", nil, 60 * time.Millisecond, 0},
		{"task that short tasks can wait for", nil, 110 * time.Millisecond, 0},
		{"task of the long kind", nil, 900 * time.Millisecond, 3000},
		{"task that takes much longer", nil, 2 * time.Second, 8000},
		{"long task while some short tasks run", map[string]int{"short": 2000}, 900 * time.Millisecond, 1000},
		{"long task while more short tasks run than usual", map[string]int{"short": 9000}, 900 * time.Millisecond, 0},
		{"long task while the usual usage is not reached by less than one task", map[string]int{"short": 2500}, 900 * time.Millisecond, 0},
	} {
		if got := HeadroomCPU(usedKinds().Headroom(now, test.inUse), test.length); got != test.want {
			t.Errorf("%s: got a headroom of %d millicores, want %d", test.name, got, test.want)
		}
	}
}

// TestAbsentKindGetsNoHeadroom checks whether long tasks leave capacity free after short ones have stopped arriving.
func TestAbsentKindGetsNoHeadroom(t *testing.T) {
	now := began.Add(20 * time.Second)
	for _, test := range []struct {
		name string
		wait time.Duration
		want bool
	}{
		{"short tasks have just arrived", 0, true},
		{"none has arrived for half a second", 500 * time.Millisecond, true},
		{"none has arrived for two seconds", 2 * time.Second, false},
	} {
		bounds := usedKinds().Headroom(now.Add(test.wait), nil)
		if got := HeadroomCPU(bounds, 900*time.Millisecond) > 0; got != test.want {
			t.Errorf("%s: got headroom %t, want %t", test.name, got, test.want)
		}
	}
}

// BenchmarkDivide measures the division of a worker between three kinds in each of three availability zones, all of which wait. The runner
// divides its worker at each tick.
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
