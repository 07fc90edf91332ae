// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/runner"
	"sailhead/internal/subset"
)

const (
	// sessionDelay is the latency of a message between an entry and an agent in different availability zones.
	sessionDelay = 1400 * time.Microsecond
	// entryTick and agentTick are the tick intervals, as in packages entry and agent.
	entryTick = 10 * time.Millisecond
	agentTick = 20 * time.Millisecond
	// workerCPU is the capacity of a worker and taskCPU the demand of a task, in thousandths of a core: four tasks
	// fit.
	workerCPU = 16000
	taskCPU   = 3800
	service   = "service"
)

// origin is the virtual time at which a site starts.
var origin = time.Unix(1_000_000, 0)

// action is a call scheduled at a time. Actions of the same time run in the order of their serial numbers.
type action struct {
	at     time.Time
	serial int
	do     func()
}

type actions []action

func (a actions) Len() int { return len(a) }
func (a actions) Less(i, k int) bool {
	if a[i].at.Equal(a[k].at) {
		return a[i].serial < a[k].serial
	}
	return a[i].at.Before(a[k].at)
}
func (a actions) Swap(i, k int) { a[i], a[k] = a[k], a[i] }
func (a *actions) Push(x any)   { *a = append(*a, x.(action)) }
func (a *actions) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// scheduler runs actions in virtual time.
type scheduler struct {
	now    time.Time
	queue  actions
	serial int
	random *rand.Rand
}

// newScheduler returns a scheduler at origin whose random source has the given seed.
func newScheduler(seed uint64) *scheduler {
	return &scheduler{now: origin, random: rand.New(rand.NewPCG(seed, 1))}
}

// site simulates entries and agents in virtual time.
type site struct {
	*scheduler
	// faults is the random source of worker faults. It is separate from random, so that the same jobs arrive with and
	// without faults.
	faults  *rand.Rand
	entries []*entry
	agents  map[dispatch.AgentID]*agent
	// starts counts the starts of each task, crashes the crashes of workers under it, and startsAtThirdCrash its
	// starts until the third crash.
	starts             map[string]int
	crashes            map[string]int
	startsAtThirdCrash map[string]int
	failedRuns         int
	// failing is the share of the runs, 0 to 1, that fail on any worker, by task.
	failing map[string]float64
	// allCrashes counts the crashes of workers, each of which is down for restartAfter.
	allCrashes   int
	restartAfter time.Duration
	// crashAfter is the time from the start of a task of crashPayload to the crash of its worker.
	crashAfter time.Duration
	// stopTime is the time from a stop call to the end of the run.
	stopTime time.Duration
	// reportsStartTimes is set if the workers report the start times of their processes.
	reportsStartTimes bool
	// runTimes overrides the run time in the payload, by task.
	runTimes map[string]time.Duration
	// racks is the rack that holds the data, by task. In other racks the task takes crossRackFactor times as long.
	racks           map[string]string
	crossRackFactor float64
	// onStart, if not nil, is called after each start that a worker accepted.
	onStart func(w *fakeWorker, task string)
	// limits are those of all entries.
	limits dispatch.Limits
	// givenUp lists the decisions to give a job up, in their order.
	givenUp []dispatch.DecisionMade
	// onDecision, if not nil, is called with each decision of an entry.
	onDecision func(dispatch.DecisionMade)
	// lastSession is the ID of the latest session.
	lastSession runner.SessionID
}

// recordStart counts a start of a task.
func (s *site) recordStart(w *fakeWorker, task string) {
	s.starts[task]++
	if s.onStart != nil {
		s.onStart(w, task)
	}
}

// recordDecision calls onDecision, and stores a decision to give a job up.
func (s *site) recordDecision(made dispatch.DecisionMade) {
	if s.onDecision != nil {
		s.onDecision(made)
	}
	if _, isGivenUp := made.Decision.(dispatch.DecisionGivenUp); isGivenUp {
		s.givenUp = append(s.givenUp, made)
	}
}

// recordCrash counts the crash of a worker for each task that was running on it.
func (s *site) recordCrash(running map[string]fakeRun) {
	s.allCrashes++
	for task := range running {
		s.crashes[task]++
		if s.crashes[task] == 3 {
			s.startsAtThirdCrash[task] = s.starts[task]
		}
	}
}

// newSite returns a site on which each entry has sessions with a subset of the agents, and runs it until all workers
// accept tasks. options are applied before that.
func newSite(seed uint64, entries, agents, subsetSize int, options ...func(*site)) *site {
	s := &site{
		scheduler: newScheduler(seed), faults: rand.New(rand.NewPCG(seed, 2)), agents: make(map[dispatch.AgentID]*agent),
		restartAfter: restartAfter, crashAfter: crashAfter, runTimes: make(map[string]time.Duration), racks: make(map[string]string), failing: make(map[string]float64),
		starts: make(map[string]int), crashes: make(map[string]int), startsAtThirdCrash: make(map[string]int),
		limits: dispatch.Limits{Jobs: 2000, NoContainment: *noContainment, NoEjection: *noEjection, NoShares: *noShares},
	}
	for _, option := range options {
		option(s)
	}
	s.build(entries, agents, subsetSize, func(int, *agent) {})
	return s
}

// zones are the availability zones to which the entries are assigned in turn.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// build adds entries and agents, and runs the site until all workers accept tasks. configure may change an agent
// before its worker starts.
func (s *site) build(entries, agents, subsetSize int, configure func(number int, a *agent)) {
	var names []string
	var registered []dispatch.AgentID
	for i := range agents {
		name := fmt.Sprintf("agent-%d", i)
		names, registered = append(names, name), append(registered, dispatch.AgentID(name))
		configure(i, s.addAgent(dispatch.AgentID(name)))
	}
	for i := range entries {
		e := s.addEntry(i)
		e.handle(dispatch.AgentsRegistered{Agents: registered, Selected: min(subsetSize, agents)})
		for _, name := range subset.Choose(e.name, names, subsetSize, func(string) bool { return false }) {
			e.connect(s.agents[dispatch.AgentID(name)])
		}
	}
	s.run(time.Second)
}

func (s *scheduler) after(d time.Duration, do func()) {
	s.serial++
	heap.Push(&s.queue, action{at: s.now.Add(d), serial: s.serial, do: do})
}

// every calls do at regular intervals, the first time after a random part of one.
func (s *scheduler) every(interval time.Duration, do func()) {
	var next func()
	next = func() {
		do()
		s.after(interval, next)
	}
	s.after(time.Duration(s.random.Int64N(int64(interval))), next)
}

func (s *scheduler) run(length time.Duration) {
	end := s.now.Add(length)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		next := heap.Pop(&s.queue).(action)
		s.now = next.at
		next.do()
	}
	s.now = end
}

// agent is an agent with its worker.
type agent struct {
	site    *site
	id      dispatch.AgentID
	runner  *runner.Runner
	worker  *fakeWorker
	entries map[runner.SessionID]*entry
	// delay is the latency of a message between the agent and its worker.
	delay time.Duration
	// cpu is the capacity of its worker, in thousandths of a core, and rack its label.
	cpu  int
	rack string
	// isEjected is set while its worker is ejected.
	isEjected bool
	// link, if not nil, carries the renewals instead of roundTrip and sees the effects of the runner.
	link *endLink
	// startAnswerDelay is how much longer than other answers the answer to a start takes to the agent. losesStartAnswers is set if the
	// agent gets no answer, but learns after that time that the connection was closed.
	startAnswerDelay  time.Duration
	losesStartAnswers bool
}

func (s *site) addAgent(id dispatch.AgentID) *agent {
	a := &agent{site: s, id: id, runner: runner.New(s.agentLimits(), 1), entries: make(map[runner.SessionID]*entry), delay: workerDelay, cpu: workerCPU}
	a.worker = newFakeWorker(a)
	s.agents[id] = a
	s.every(agentTick, func() { a.handle(runner.Ticked{}) })
	return a
}

func (s *site) agentLimits() runner.Limits {
	limits := runner.DefaultLimits(time.Second, 50*time.Millisecond)
	limits.NoEjection, limits.NoShares = s.limits.NoEjection, s.limits.NoShares
	return limits
}

// restart replaces the process of the agent, and its entries reopen their sessions.
func (a *agent) restart() {
	a.runner, a.isEjected = runner.New(a.site.agentLimits(), 2), false
	for _, id := range slices.Sorted(maps.Keys(a.entries)) {
		if e := a.entries[id]; e.isOpen(a.id, id) {
			e.reopenSession(a, id)
		}
	}
	a.worker.sendHeartbeat(false)
}

func (a *agent) handle(event runner.Event) {
	for _, effect := range a.runner.Handle(a.site.now, event) {
		a.apply(effect)
	}
}

// apply carries out an effect: it sends a message to an entry, sends a ping, or calls the worker.
func (a *agent) apply(effect runner.Effect) {
	if a.link != nil {
		a.link.observe(effect)
	}
	switch e := effect.(type) {
	case runner.SendLoad:
		a.send(e.Session, dispatch.LoadReceived{Agent: a.id, Handled: e.Handled, Load: e.Load})
	case runner.SendUpdate:
		a.send(e.Session, dispatch.RunUpdated{Agent: a.id, Update: e.Update})
	case runner.SendOffer:
		a.send(e.Session, dispatch.OfferReceived{Agent: a.id, Offer: e.Offer})
	case runner.SendCrash:
		a.send(e.Session, dispatch.WorkerCrashed{Agent: a.id, Crash: e.Crash})
	case runner.SendWorker:
		a.send(e.Session, dispatch.WorkerDescribed{Agent: a.id, Record: e.Record})
	case runner.WorkerEjected:
		a.isEjected = true
	case runner.WorkerRestored:
		a.isEjected = false
	case runner.SendPing:
		a.ping(e)
	case runner.CloseSession:
		a.entries[e.Session].reopenSession(a, e.Session)
	case runner.CallStart, runner.CallStop, runner.CallRenew:
		a.call(effect)
	}
}

func (a *agent) send(id runner.SessionID, event dispatch.Event) {
	to := a.entries[id]
	to.in.carry(a.site, messageSize, func() {
		if to.isOpen(a.id, id) {
			to.handle(event)
		}
	})
}

// ping sends a ping to an entry, which returns it.
func (a *agent) ping(ping runner.SendPing) {
	to := a.entries[ping.Session]
	to.in.carry(a.site, messageSize, func() {
		to.out.carry(a.site, messageSize, func() { a.handle(runner.PongReceived{Session: ping.Session, Sent: ping.Time}) })
	})
}

// entry is an entry with its callers.
type entry struct {
	site *site
	name string
	// zone is its availability zone, empty if not relevant.
	zone       string
	dispatcher *dispatch.Dispatcher
	lastWaiter dispatch.Waiter
	// crashes are the crash records that the entry propagates to others.
	crashes []dispatch.WorkerCrashed
	// onAnswer is called with the answer to each request.
	onAnswer map[dispatch.Waiter]func(dispatch.Answer)
	// sessions are the open sessions by agent; in and out are the two directions of the network link.
	sessions map[dispatch.AgentID]runner.SessionID
	in, out  *link
	// lastPayloads is the payload of the latest start, by agent.
	lastPayloads map[dispatch.AgentID]string
	// refusedBy is the time of the latest refusal of a job handed over by this entry, by entry.
	refusedBy map[*entry]time.Time
	// rewriteEvent, if not nil, changes each event before it is sent to an agent.
	rewriteEvent func(runner.Event) runner.Event
}

func (s *site) addEntry(number int) *entry {
	e := &entry{
		site: s, name: fmt.Sprintf("entry-%d", number), zone: zones[number%len(zones)],
		dispatcher: dispatch.New(s.limits, rand.New(rand.NewPCG(s.random.Uint64(), 1))),
		onAnswer:   make(map[dispatch.Waiter]func(dispatch.Answer)),
		sessions:   make(map[dispatch.AgentID]runner.SessionID), in: &link{}, out: &link{}, lastPayloads: make(map[dispatch.AgentID]string),
		refusedBy: make(map[*entry]time.Time),
	}
	s.entries = append(s.entries, e)
	s.every(entryTick, func() { e.handle(dispatch.Ticked{}) })
	return e
}

// exchangeCrashes exchanges crash records with a random other entry.
func (e *entry) exchangeCrashes() {
	other := e.site.entries[e.site.random.IntN(len(e.site.entries))]
	own, others := e.crashes, other.crashes
	for _, crash := range own {
		other.handle(crash)
	}
	for _, crash := range others {
		e.handle(crash)
	}
}

// shareRecords sends the crash records of the entry to all others.
func (e *entry) shareRecords(share dispatch.ShareRecords) {
	crashes := slices.Clone(e.crashes)
	e.site.after(sessionDelay, func() {
		for _, other := range e.site.entries {
			if other == e {
				continue
			}
			for _, crash := range crashes {
				other.handle(crash)
			}
		}
		e.site.after(sessionDelay, func() { e.handle(dispatch.RecordsShared(share)) })
	})
}

func (e *entry) connect(a *agent) {
	s := e.site
	s.lastSession++
	id := s.lastSession
	e.sessions[a.id] = id
	e.handle(dispatch.AgentUp{Agent: a.id})
	a.entries[id] = e
	e.sendTo(a, messageSize, runner.SessionOpened{Session: id, Entry: e.name, Zone: e.zone})
}

// isOpen reports whether a session with an agent is the current one.
func (e *entry) isOpen(id dispatch.AgentID, session runner.SessionID) bool {
	return e.sessions[id] == session
}

// redialDelay is the delay before an entry reopens a lost session.
const redialDelay = 100 * time.Millisecond

// reopenSession ends a session that its agent has closed, and opens a new one.
func (e *entry) reopenSession(a *agent, id runner.SessionID) {
	a.site.after(0, func() { a.handle(runner.SessionClosed{Session: id}) })
	e.in.carry(a.site, messageSize, func() {
		if !e.isOpen(a.id, id) {
			return
		}
		delete(e.sessions, a.id)
		e.handle(dispatch.AgentDown{Agent: a.id})
		e.site.after(redialDelay, func() { e.connect(a) })
	})
}

func (e *entry) handle(event dispatch.Event) {
	for _, effect := range e.dispatcher.Handle(e.site.now, event) {
		e.apply(effect)
	}
}

// apply carries out an effect: it sends a message to an agent, or answers callers.
func (e *entry) apply(effect dispatch.Effect) {
	switch f := effect.(type) {
	case dispatch.StartTask:
		e.sendStart(f)
	case dispatch.StopTask:
		e.send(f.Agent, runner.StopRequested{Session: e.sessions[f.Agent], Name: f.Name})
	case dispatch.Reserve:
		e.send(f.Agent, runner.ReservationRequested{Session: e.sessions[f.Agent], Reservation: f.Reservation})
	case dispatch.AnswerOffer:
		e.send(f.Agent, runner.OfferAnswered{Session: e.sessions[f.Agent], Offer: f.Offer})
	case dispatch.HandOver:
		e.handOver(f.Job, f.Number)
	case dispatch.WithdrawHandOver:
	case dispatch.DecisionMade:
		e.site.recordDecision(f)
	case dispatch.PropagateCrash:
		e.crashes = append(e.crashes, dispatch.WorkerCrashed(f))
	case dispatch.ShareRecords:
		e.shareRecords(f)
	case dispatch.Reply:
		for _, waiter := range f.Waiters {
			e.onAnswer[waiter](f.Answer)
			delete(e.onAnswer, waiter)
		}
	}
}

func (e *entry) send(to dispatch.AgentID, event runner.Event) {
	e.sendBytes(to, messageSize, event)
}

func (e *entry) sendBytes(to dispatch.AgentID, size int, event runner.Event) {
	e.sendTo(e.site.agents[to], size, event)
}

func (e *entry) sendTo(a *agent, size int, event runner.Event) {
	if e.rewriteEvent != nil {
		event = e.rewriteEvent(event)
	}
	e.out.carry(e.site, size, func() { a.handle(event) })
}

// sendStart sends a start, without its payload if that of the previous start was the same.
func (e *entry) sendStart(f dispatch.StartTask) {
	size := messageSize + startSize
	if e.lastPayloads[f.Agent] != f.Task.Payload {
		size += payloadSize
	}
	e.lastPayloads[f.Agent] = f.Task.Payload
	e.sendBytes(f.Agent, size, runner.StartRequested{Session: e.sessions[f.Agent], Number: f.Number, Task: f.Task})
}

// submit submits a job to the entry. answered is called with its answer.
func (e *entry) submit(job dispatch.Job, answered func(dispatch.Answer)) {
	e.lastWaiter++
	e.onAnswer[e.lastWaiter] = answered
	e.handle(dispatch.Submitted{Job: job, Waiter: e.lastWaiter})
}
