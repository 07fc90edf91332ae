// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/logging"
	"sailhead/internal/metric"
	"sailhead/internal/native/configuration"
	"sailhead/internal/native/gossip"
	"sailhead/internal/native/guard"
	"sailhead/internal/native/membership"
	"sailhead/internal/native/model"
	"sailhead/internal/native/owner"
	"sailhead/internal/native/ownership"
	"sailhead/internal/native/placement"
	"sailhead/internal/settings"
	"sailhead/internal/timeline"
)

// mesh is a few agents that are connected by links in memory, which refuse, lose, delay and repeat calls. It runs in the
// fake time of synctest.
type mesh struct {
	mu     sync.Mutex
	random *rand.Rand
	agents map[ownership.MemberID]*meshAgent
	starts map[model.TaskID]int
	// faults is the share of calls that go wrong.
	faults float64
}

// meshAgent is the two duties of an agent.
type meshAgent struct {
	owner *ownerDuty
	guard *guardDuty
}

var (
	errCut  = &net.OpError{Op: "dial", Err: errors.New("cut")}
	errLost = errors.New("the connection broke")
)

// newMesh starts three agents that know each other and one configuration.
func newMesh(t *testing.T, seed uint64, faults float64) *mesh {
	m := &mesh{random: rand.New(rand.NewPCG(seed, 0)), agents: make(map[ownership.MemberID]*meshAgent), starts: make(map[model.TaskID]int), faults: faults}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	now := time.Now()
	roster := ownership.Roster{}.WithJoined(ownership.Member{ID: "entry", Address: "entry", Role: ownership.RoleEntry, Acked: 100}, now)
	for i := range 3 {
		id := fmt.Sprintf("agent-%d", i)
		roster = roster.WithJoined(ownership.Member{ID: ownership.MemberID(id), Name: id, Address: id, Role: ownership.RoleAgent}, now)
	}
	config := configuration.Configuration{
		Version: 1, Teams: []configuration.Team{{Name: "t"}},
		Services: []configuration.Service{{Name: "s", Kinds: []configuration.Kind{configuration.NewKind("k")}}},
	}
	for _, member := range roster.Listed(ownership.RoleAgent) {
		a := m.newAgent(ctx, cancel, member)
		a.owner.node.state.SeeRoster(roster)
		a.owner.post(owner.RosterSeen{Roster: roster})
		a.owner.post(owner.ConfigurationSeen{Configuration: config})
	}
	time.Sleep(time.Minute * 3)
	return m
}

func (m *mesh) newAgent(ctx context.Context, cancel func(), member ownership.Member) *meshAgent {
	n := &node{
		settings: settings.New(settings.RoleAgent), self: member, logger: logging.Discard(), metrics: metric.NewSet(),
		timeline: timeline.NewRing(member.Name, 16, time.Now), state: gossip.NewState(), liveness: membership.NewLiveness(time.Now),
		ping:    func(context.Context, string) error { return errCut },
		context: ctx, cancel: cancel,
	}
	g := newGuardDuty(n, m.run, guard.Limits{Slots: 4, Queue: 100, Records: 10_000, Retention: time.Minute})
	limits := ownership.Limits{Window: 2 * time.Minute, Skew: 10 * time.Millisecond, Entries: 10_000}
	view := placement.NewView(member.ID, "", placement.TwoChoices{}, rand.New(rand.NewPCG(1, 2)))
	o := newOwnerDuty(n, owner.New(ownership.NewTable(member.ID, limits), view, owner.Bounces{}, rand.New(rand.NewPCG(3, 4))), g)
	o.peers = m
	a := &meshAgent{owner: o, guard: g}
	m.agents[member.ID] = a
	go o.run(ctx)
	go g.run(ctx)
	return a
}

// run is the backend server of all agents. It counts the starts.
func (m *mesh) run(_ context.Context, task guard.Task) model.Outcome {
	m.mu.Lock()
	m.starts[task.ID]++
	took := time.Duration(50+m.random.IntN(150)) * time.Millisecond
	m.mu.Unlock()
	time.Sleep(took)
	return model.TaskDone{Result: []byte(fmt.Sprint(task.ID.Index)), ServiceTime: took}
}

// draw returns the fault of the next call, or -1 for none, and its delay.
func (m *mesh) draw() (fault int, delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delay = time.Duration(m.random.IntN(3)) * time.Millisecond
	if m.random.Float64() >= m.faults {
		return -1, delay
	}
	return m.random.IntN(5), delay
}

// call makes a call over a faulty link.
func (m *mesh) call(ctx context.Context, to ownership.Member, call func(context.Context, *guardDuty) (model.Outcome, error)) (model.Outcome, model.Load, error) {
	g := m.agents[to.ID].guard
	fault, delay := m.draw()
	time.Sleep(delay)
	switch fault {
	case 0: // nothing is sent
		return nil, model.Load{}, errCut
	case 1: // the request is lost
		return nil, model.Load{}, errLost
	case 2: // the reply is lost, at once or when the task has ended
		go func() { _, _ = call(ctx, g) }()
		time.Sleep(time.Duration(delay) * 40)
		return nil, model.Load{}, errLost
	case 3: // the request arrives after the sender has stopped waiting
		go func() {
			time.Sleep(time.Duration(delay) * 100)
			_, _ = call(context.WithoutCancel(ctx), g)
		}()
		return nil, model.Load{}, errLost
	case 4: // the request comes twice
		go func() { _, _ = call(ctx, g) }()
	}
	outcome, err := call(ctx, g)
	return outcome, g.load(), err
}

// Start starts a task over a faulty link.
func (m *mesh) Start(ctx context.Context, to ownership.Member, task guard.Task) (model.Outcome, model.Load, error) {
	return m.call(ctx, to, func(ctx context.Context, g *guardDuty) (model.Outcome, error) { return g.start(ctx, task) })
}

// Report reports a task over a faulty link.
func (m *mesh) Report(ctx context.Context, to ownership.Member, asked guard.ReportAsked, _ ownership.MemberID) (model.Outcome, model.Load, error) {
	return m.call(ctx, to, func(ctx context.Context, g *guardDuty) (model.Outcome, error) {
		return g.postAndWait(ctx, asked.ID, asked)
	})
}

// submit offers a job to its first choice.
func (m *mesh) submit(t *testing.T, key model.Key, tasks int) model.Answer {
	t.Helper()
	roster := m.agents["agent-0"].owner.node.state.Roster()
	first, _ := roster.FirstChoice(key)
	job := model.Job{Key: key, Attempt: 1, Service: "s", Kind: "k", Team: "t", Deadline: time.Now().Add(3 * time.Second), Tasks: make([][]byte, tasks)}
	response, err := m.agents[first.ID].owner.offer(t.Context(), ownership.Offer{Job: job, Forwarder: "entry", Owner: first.ID, Epoch: roster.Epoch})
	if err != nil {
		t.Fatal(err)
	}
	answered, ok := response.(owner.Answered)
	if !ok {
		t.Fatalf("got %+v", response)
	}
	return answered.Answer
}

// TestFaultyLinksStartNothingTwice runs jobs over links on which a third of the calls fail.
func TestFaultyLinksStartNothingTwice(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(t, seed, 0.33)
			var group sync.WaitGroup
			counts := make(map[string]int)
			for i := range 20 {
				group.Go(func() {
					time.Sleep(time.Duration(i) * 30 * time.Millisecond)
					key := model.Key(fmt.Sprintf("job-%d", i))
					answer := m.submit(t, key, 1+i%7)
					m.check(t, key, answer)
					m.mu.Lock()
					defer m.mu.Unlock()
					counts[model.Status(answer)]++
				})
			}
			group.Wait()
			// Calls that are delayed arrive within this time.
			time.Sleep(10 * time.Second)
			m.mu.Lock()
			defer m.mu.Unlock()
			for task, times := range m.starts {
				if times > 1 {
					t.Errorf("seed %d: %v started %d times", seed, task, times)
				}
			}
			if counts["complete"] < 12 {
				t.Errorf("seed %d: %v: a lost message must not cost the job", seed, counts)
			}
		})
	}
}

// check compares an answer with the starts so far.
func (m *mesh) check(t *testing.T, key model.Key, answer model.Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	started := 0
	for task, times := range m.starts {
		if task.Key == key {
			started += times
		}
	}
	switch a := answer.(type) {
	case model.Complete:
		for i, result := range a.Results {
			if string(result) != fmt.Sprint(i) {
				t.Errorf("%s: result %d is %q", key, i, result)
			}
		}
	case model.NotRun:
		if started > 0 {
			t.Errorf("%s: not_run, and %d tasks started", key, started)
		}
	}
}
