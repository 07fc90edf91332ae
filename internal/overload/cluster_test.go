// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable"
	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

const (
	// heartbeatInterval is the interval of a worker's heartbeats to its agent.
	heartbeatInterval = 250 * time.Millisecond
	// dialInterval is the interval at which an entry opens missing sessions.
	dialInterval = 100 * time.Millisecond
)

// cluster simulates entries and agents whose processes, network paths and workers fail. Unlike a site, it follows the protocol of the
// workers to the letter, and records each run that begins while another run of its task goes on.
type cluster struct {
	*scheduler
	entries []*clusterEntry
	agents  []*clusterAgent
	paths   map[[2]int]*networkPath
	// peerPaths are the paths from an entry that hands jobs over to another one.
	peerPaths map[[2]int]*networkPath
	// noFailedAgain is set if no caller submits a job again that has failed.
	noFailedAgain bool
	// limits are those of all entries.
	limits      dispatch.Limits
	lastSession runner.SessionID
	// lastLink is the number of the latest connection for a job that was handed over.
	lastLink uint64
	// begun counts the runs that have begun, and overlaps describes those that began beside another run of their task.
	begun    int
	overlaps []string
	trace    eventTrace
	// store holds the durable jobs, nil if the cluster has none.
	store *clusterStore
	// runs holds the times of all runs, by task.
	runs map[string][]clusterRun
}

// newCluster returns a cluster in which all sessions are open and all workers accept tasks.
func newCluster(seed uint64, entries, agents int, options ...func(*cluster)) *cluster {
	c := &cluster{
		scheduler: newScheduler(seed), paths: make(map[[2]int]*networkPath), peerPaths: make(map[[2]int]*networkPath),
		limits: dispatch.Limits{Jobs: 2000}, runs: make(map[string][]clusterRun),
	}
	for _, option := range options {
		option(c)
	}
	for i := range agents {
		c.addAgent(i)
	}
	for i := range entries {
		c.addEntry(i)
	}
	c.run(time.Second)
	return c
}

// path returns the network path between an entry and an agent.
func (c *cluster) path(e *clusterEntry, a *clusterAgent) *networkPath {
	return c.findPath(c.paths, e.number, a.number)
}

// peerPath returns the network path on which an entry hands jobs over to another one.
func (c *cluster) peerPath(e, to *clusterEntry) *networkPath {
	return c.findPath(c.peerPaths, e.number, to.number)
}

func (c *cluster) findPath(paths map[[2]int]*networkPath, from, to int) *networkPath {
	key := [2]int{from, to}
	if paths[key] == nil {
		paths[key] = &networkPath{clock: c.scheduler}
	}
	return paths[key]
}

// record adds an event to the trace.
func (c *cluster) record(format string, arguments ...any) {
	c.trace.add(c.now.Sub(origin), fmt.Sprintf(format, arguments...))
}

// checkBegin records a run that begins on a worker while another run of the task goes on on a worker that is up.
func (c *cluster) checkBegin(w *leasedWorker, run *leasedRun) {
	c.begun++
	c.runs[run.name] = append(c.runs[run.name], clusterRun{worker: w, agent: w.agent.id, run: run.run, begun: c.now})
	c.record("%s begins %s run %d", w.id, run.name, run.run)
	for _, a := range c.agents {
		other, isRunning := a.worker.runs[run.name]
		if !isRunning || a.worker.isDown {
			continue
		}
		overlap := fmt.Sprintf("%s begins run %d of %s while run %d goes on on %s, %s", w.id, run.run, run.name, other.run, a.worker.id, other.describeStop(c.now))
		c.overlaps = append(c.overlaps, overlap)
		c.record("OVERLAP: %s", overlap)
		c.trace.close()
	}
}

// checkNoOverlap fails the test with the trace if two runs of one task went on at a time.
func (c *cluster) checkNoOverlap(t *testing.T) {
	t.Helper()
	if len(c.overlaps) > 0 {
		t.Errorf("%s\n%s", strings.Join(c.overlaps, "\n"), &c.trace)
	}
}

// recordStopCall records that an agent calls its worker to stop a run.
func (c *cluster) recordStopCall(w *leasedWorker, request worker.StopRequest) {
	if run, ok := w.runs[request.Name]; ok && run.run == request.Run && run.stopCalled.IsZero() {
		run.stopCalled = c.now
		c.record("the agent of %s calls to stop %s run %d", w.id, run.name, run.run)
	}
}

// runsOf returns the agents whose workers run a task.
func (c *cluster) runsOf(task string) []*clusterAgent {
	var running []*clusterAgent
	for _, a := range c.agents {
		if _, isRunning := a.worker.runs[task]; isRunning && !a.worker.isDown {
			running = append(running, a)
		}
	}
	return running
}

// clusterAgent is an agent with its worker.
type clusterAgent struct {
	process
	cluster  *cluster
	number   int
	id       dispatch.AgentID
	runner   *runner.Runner
	worker   *leasedWorker
	sessions map[runner.SessionID]*clusterSession
	// rules decide what the link to the worker does to the calls.
	rules []*linkRule
	// endsToStore are the latest ends that the store is to contain; areEndsStored is set if the call in flight writes them.
	endsToStore                  []runner.Update
	areEndsStored, isStoringEnds bool
	// callDelay, if not nil, returns how late a call leaves the agent.
	callDelay func() time.Duration
}

func (c *cluster) addAgent(number int) {
	a := &clusterAgent{
		process: process{clock: c.scheduler}, cluster: c, number: number, id: dispatch.AgentID(fmt.Sprintf("agent-%d", number)),
		sessions: make(map[runner.SessionID]*clusterSession),
	}
	a.worker = newLeasedWorker(a)
	a.startProcess()
	c.agents = append(c.agents, a)
	a.every(agentTick, func() { a.handle(runner.Ticked{}) })
	c.every(heartbeatInterval, a.sendHeartbeat)
}

// startProcess starts a new process of the agent, with a higher fencing token than the earlier ones.
func (a *clusterAgent) startProcess() {
	a.isDown, a.isStoringEnds = false, false
	a.runner = runner.New(runner.DefaultLimits(maxWorkerLease, maxWorkerStop), uint64(a.life+1)*10000)
}

// restart kills the process of the agent and starts a new one after a time. The kernel closes the connections of the killed process.
func (a *clusterAgent) restart(downtime time.Duration) {
	if a.isDown {
		return
	}
	a.cluster.record("%s is killed", a.id)
	a.kill()
	for _, id := range slices.Sorted(maps.Keys(a.sessions)) {
		s := a.sessions[id]
		s.isAtAgent = false
		s.toEntry.send(func() { s.entry.do(s.closeAtEntry) })
	}
	a.sessions = make(map[runner.SessionID]*clusterSession)
	a.cluster.after(downtime, func() {
		a.cluster.record("%s starts again", a.id)
		a.startProcess()
	})
}

func (a *clusterAgent) sendHeartbeat() {
	if a.worker.isDown {
		return
	}
	record := a.worker.record()
	a.cluster.after(workerDelay, func() { a.do(func() { a.handle(runner.HeartbeatReceived{Record: record}) }) })
}

func (a *clusterAgent) handle(event runner.Event) {
	for _, effect := range a.runner.Handle(a.cluster.now, event) {
		a.apply(effect)
	}
}

// poster returns a function that handles an event in the current process, unless it is killed before.
func (a *clusterAgent) poster() func(event func() runner.Event) {
	life := a.life
	return func(event func() runner.Event) {
		a.do(func() {
			if a.life == life {
				a.handle(event())
			}
		})
	}
}

// apply carries out an effect of the runner.
func (a *clusterAgent) apply(effect runner.Effect) {
	switch e := effect.(type) {
	case runner.SendLoad:
		a.send(e.Session, dispatch.LoadReceived{Agent: a.id, Handled: e.Handled, Load: e.Load})
	case runner.SendUpdate:
		a.sendUpdate(e)
	case runner.SendOffer:
		a.send(e.Session, dispatch.OfferReceived{Agent: a.id, Offer: e.Offer})
	case runner.SendCrash:
		a.send(e.Session, dispatch.WorkerCrashed{Agent: a.id, Crash: e.Crash})
	case runner.SendWorker:
		a.send(e.Session, dispatch.WorkerDescribed{Agent: a.id, Record: e.Record})
	case runner.StoreEnds:
		a.storeEnds(e.Ends)
	case runner.SendPing:
		if s := a.sessions[e.Session]; s != nil {
			s.ping(e.Time)
		}
	case runner.CloseSession:
		a.closeSession(e)
	case runner.CallStart, runner.CallStop, runner.CallRenew:
		a.sendCall(effect)
	}
}

// sendCall makes a call to the worker, after callDelay.
func (a *clusterAgent) sendCall(effect runner.Effect) {
	delay, emitted := time.Duration(0), a.cluster.now
	if a.callDelay != nil {
		delay = a.callDelay()
	}
	a.cluster.after(delay, a.inLife(func() { a.call(effect, emitted) }))
}

func (a *clusterAgent) send(id runner.SessionID, event dispatch.Event) {
	if s := a.sessions[id]; s != nil {
		s.sendToEntry(func() { s.entry.handle(event) })
	}
}

// sendUpdate sends an update to an entry. If no job is durable, the entry acknowledges ends that are resent.
func (a *clusterAgent) sendUpdate(e runner.SendUpdate) {
	s := a.sessions[e.Session]
	switch {
	case s == nil:
	case e.Update.Unacknowledged && s.entry.owner != nil:
		s.sendToEntry(func() { s.entry.owner.handle(durable.TaskEnded{Agent: a.id, Update: e.Update}) })
	case e.Update.Unacknowledged:
		s.sendToEntry(func() { s.sendToAgent(runner.EndAcknowledged{Name: e.Update.Name, Run: e.Update.Run}) })
	default:
		a.cluster.record("%s reports %s run %d %s: %s", a.id, e.Update.Name, e.Update.Run, e.Update.Outcome, e.Update.Reason)
		a.send(e.Session, dispatch.RunUpdated{Agent: a.id, Update: e.Update})
	}
}

// closeSession closes a session that the runner has ended.
func (a *clusterAgent) closeSession(e runner.CloseSession) {
	s := a.sessions[e.Session]
	if s == nil {
		return
	}
	a.cluster.record("%s closes session %d: %s", a.id, s.id, e.Reason)
	a.cluster.after(0, a.inLife(s.closeAtAgent))
}

// clusterEntry is an entry with its callers.
type clusterEntry struct {
	process
	cluster    *cluster
	number     int
	name       string
	dispatcher *dispatch.Dispatcher
	sessions   map[dispatch.AgentID]*clusterSession
	lastWaiter dispatch.Waiter
	// onAnswer is called with the answer to each request, or with nil if its connection breaks.
	onAnswer map[dispatch.Waiter]func(dispatch.Answer)
	// unendedRuns are the runs that the entry has passed on to the other entries.
	unendedRuns []dispatch.UnendedRunReceived
	// handOvers are the jobs that the entry has handed over, or received from others, that have not ended.
	handOvers []*clusterHandOver
	// owner is the part of the entry that owns shards of durable jobs, nil if the cluster has none.
	owner *clusterOwner
}

func (c *cluster) addEntry(number int) {
	e := &clusterEntry{process: process{clock: c.scheduler}, cluster: c, number: number, name: fmt.Sprintf("entry-%d", number)}
	c.entries = append(c.entries, e)
	e.startProcess()
	e.every(entryTick, e.tick)
	e.every(livenessInterval, e.checkLiveness)
	e.every(dialInterval, e.dialAll)
}

// startProcess starts a new process of the entry, without jobs and sessions.
func (e *clusterEntry) startProcess() {
	e.isDown = false
	e.sessions = make(map[dispatch.AgentID]*clusterSession)
	e.onAnswer = make(map[dispatch.Waiter]func(dispatch.Answer))
	e.dispatcher = dispatch.New(e.cluster.limits, rand.New(rand.NewPCG(uint64(e.number), uint64(e.life))))
	if e.cluster.store != nil {
		e.owner = newClusterOwner(e)
	}
	registered := dispatch.AgentsRegistered{Selected: len(e.cluster.agents)}
	for _, a := range e.cluster.agents {
		registered.Agents = append(registered.Agents, a.id)
	}
	e.handle(registered)
}

// restart kills the process of the entry and starts a new one after a time. The kernel closes the connections of the killed process.
func (e *clusterEntry) restart(downtime time.Duration) {
	if e.isDown {
		return
	}
	e.cluster.record("%s is killed", e.name)
	e.kill()
	for _, id := range slices.Sorted(maps.Keys(e.sessions)) {
		s := e.sessions[id]
		s.isAtEntry = false
		s.toAgent.send(func() { s.agent.do(s.closeAtAgent) })
	}
	e.closeHandOvers()
	broken := e.onAnswer
	e.sessions, e.onAnswer = nil, nil
	for _, waiter := range slices.Sorted(maps.Keys(broken)) {
		broken[waiter](nil)
	}
	e.cluster.after(downtime, func() {
		e.cluster.record("%s starts again", e.name)
		e.startProcess()
	})
}

func (e *clusterEntry) dialAll() {
	for _, a := range e.cluster.agents {
		e.dial(a)
	}
}

func (e *clusterEntry) handle(event dispatch.Event) {
	effects := e.dispatcher.Handle(e.cluster.now, event)
	if e.owner != nil {
		e.owner.add(effects)
		return
	}
	for _, effect := range effects {
		e.apply(effect)
	}
}

func (e *clusterEntry) tick() {
	e.handle(dispatch.Ticked{})
	if e.owner != nil {
		e.owner.handle(durable.Ticked{DurableRuns: e.dispatcher.DurableRuns(e.cluster.now)})
	}
}

// apply carries out an effect of the dispatcher.
func (e *clusterEntry) apply(effect dispatch.Effect) {
	switch f := effect.(type) {
	case dispatch.StartTask:
		e.cluster.record("%s sends the start of %s to %s", e.name, f.Task.Name, f.Agent)
		e.send(f.Agent, func(id runner.SessionID) runner.Event {
			return runner.StartRequested{Session: id, Number: f.Number, Task: f.Task}
		})
	case dispatch.StopTask:
		e.cluster.record("%s sends the stop of %s to %s", e.name, f.Name, f.Agent)
		e.send(f.Agent, func(id runner.SessionID) runner.Event { return runner.StopRequested{Session: id, Name: f.Name} })
	case dispatch.EchoPing:
		e.send(f.Agent, func(id runner.SessionID) runner.Event {
			return runner.PongReceived{Session: id, Sent: origin.Add(time.Duration(f.Time))}
		})
	case dispatch.Reserve:
		e.send(f.Agent, func(id runner.SessionID) runner.Event {
			return runner.ReservationRequested{Session: id, Reservation: f.Reservation}
		})
	case dispatch.AnswerOffer:
		e.send(f.Agent, func(id runner.SessionID) runner.Event { return runner.OfferAnswered{Session: id, Offer: f.Offer} })
	case dispatch.PropagateUnendedRun:
		e.unendedRuns = append(e.unendedRuns, dispatch.UnendedRunReceived(f))
	case dispatch.ShareRecords:
		e.shareRecords(f)
	case dispatch.HandOver:
		e.handOver(f)
	case dispatch.WithdrawHandOver:
		e.withdrawHandOver(f)
	case dispatch.EchoHandOverPing:
		e.echoHandOverPing(f)
	case dispatch.Reply:
		e.reply(f)
	}
}

// shareRecords sends the runs that the entry has passed on to all other entries that are up.
func (e *clusterEntry) shareRecords(share dispatch.ShareRecords) {
	runs := slices.Clone(e.unendedRuns)
	for _, other := range e.cluster.entries {
		if other == e {
			continue
		}
		e.cluster.after(sessionDelay, other.inLife(func() {
			for _, run := range runs {
				other.handle(run)
			}
		}))
	}
	e.cluster.after(2*sessionDelay, e.inLife(func() { e.handle(dispatch.RecordsShared(share)) }))
}

func (e *clusterEntry) send(to dispatch.AgentID, event func(runner.SessionID) runner.Event) {
	if s := e.sessions[to]; s != nil {
		s.sendToAgent(event(s.id))
	}
}

func (e *clusterEntry) reply(f dispatch.Reply) {
	for _, waiter := range f.Waiters {
		if answer, ok := e.onAnswer[waiter]; ok {
			delete(e.onAnswer, waiter)
			answer(f.Answer)
		}
	}
}
