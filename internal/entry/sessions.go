// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"sailhead/internal/clock"
	"sailhead/internal/cluster"
	"sailhead/internal/dispatch"
	"sailhead/internal/durable"
	"sailhead/internal/runner"
	"sailhead/internal/session"
	"sailhead/internal/timing"
	"sailhead/internal/worker"
)

// livenessInterval is the time between two checks for unresponsive agents: a sixth of timing.SuspectAfter.
const livenessInterval = 50 * time.Millisecond

// epoch is the origin of the times in agentSession.
var epoch = clock.Now()

// agentSession is the session with one agent and passes the agent's messages to the event loop. It implements
// session.AgentHandler, whose methods are called by the session's reading goroutine.
type agentSession struct {
	entry *Entry
	id    dispatch.AgentID
	conn  *session.AgentConn
	// lastMessage is when the last message arrived, in nanoseconds since epoch on the clock of package clock.
	lastMessage atomic.Int64
	// incarnation is the incarnation of the agent's process; 0 until its first ping.
	incarnation atomic.Int64
	// mu orders reports of the agent's silence before the end of the session, as the dispatcher would take later ones for those of the
	// agent's next session.
	mu sync.Mutex
	// hasEnded is set when the session has ended, and unresponsive while the dispatcher considers the agent unresponsive.
	hasEnded, unresponsive bool
}

// end makes checkLiveness report nothing more about the session. It waits for a report in progress.
func (s *agentSession) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasEnded = true
}

// MessageReceived records that the agent is alive.
func (s *agentSession) MessageReceived() {
	s.lastMessage.Store(int64(clock.Since(epoch)))
}

// Ping records the incarnation of the agent's process, and passes the ping on to the event loop, which echoes it.
func (s *agentSession) Ping(ping session.Ping) {
	s.incarnation.Store(ping.Incarnation)
	s.entry.post(dispatch.AgentPinged{Agent: s.id, Time: ping.Time})
}

// Worker passes on the description of the agent's worker.
func (s *agentSession) Worker(record worker.Record) {
	s.entry.post(dispatch.WorkerDescribed{Agent: s.id, Record: record})
}

// Load passes on the load of the agent's worker, which includes the session's starts up to number handled.
func (s *agentSession) Load(handled uint64, load runner.Load) {
	s.entry.post(dispatch.LoadReceived{Agent: s.id, Handled: handled, Load: load})
}

// Update passes on the state of a run. An end that the agent resends until an owner has recorded it goes to the
// coordinator, since this entry's dispatcher may not know the job.
func (s *agentSession) Update(update runner.Update) {
	if update.Unacknowledged {
		s.entry.postDurable(durable.TaskEnded{Agent: s.id, Update: update})
		return
	}
	s.entry.post(dispatch.RunUpdated{Agent: s.id, Update: update})
}

// Offer passes on an offer of resources.
func (s *agentSession) Offer(offer runner.Offer) {
	s.entry.post(dispatch.OfferReceived{Agent: s.id, Offer: offer})
}

// Crash passes on a crash of the agent's worker.
func (s *agentSession) Crash(crash runner.Crash) {
	s.entry.post(dispatch.WorkerCrashed{Agent: s.id, Crash: crash})
}

// sessionTable holds the open sessions by agent. It is safe for concurrent use.
type sessionTable struct {
	mu   sync.Mutex
	open map[dispatch.AgentID]*agentSession
	// ending holds the agents whose last session has ended without the event loop having handled it, each with a channel that is closed
	// when it has.
	ending map[dispatch.AgentID]chan struct{}
	// reserved holds the agents of which a goroutine has the only right to open sessions, each with a channel that is closed when the
	// goroutine gives it up.
	reserved map[dispatch.AgentID]chan struct{}
}

func newSessionTable() *sessionTable {
	return &sessionTable{
		open: make(map[dispatch.AgentID]*agentSession), ending: make(map[dispatch.AgentID]chan struct{}),
		reserved: make(map[dispatch.AgentID]chan struct{}),
	}
}

// reserve waits until no other goroutine may open sessions with an agent, and gives the caller this right until it calls release. It
// returns false if the context is cancelled first.
//
// Reason: the dispatcher and this table know sessions by agent. A session begins only after the dispatcher has handled the end of the
// earlier one. Otherwise tasks that it starts on the earlier session would go out on the new one, or it would take the new session for
// ended. It would then start the tasks elsewhere, while their runs go on.
func (t *sessionTable) reserve(ctx context.Context, id dispatch.AgentID) (release func(), ok bool) {
	for {
		earlier, isFree := t.tryReserve(id)
		if isFree {
			return func() { t.release(id) }, true
		}
		select {
		case <-earlier:
		case <-ctx.Done():
			return nil, false
		}
	}
}

// tryReserve reserves an agent if it is free. Otherwise it returns a channel that is closed when it becomes free.
func (t *sessionTable) tryReserve(id dispatch.AgentID) (earlier <-chan struct{}, isFree bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if released, ok := t.reserved[id]; ok {
		return released, false
	}
	t.reserved[id] = make(chan struct{})
	return nil, true
}

func (t *sessionTable) release(id dispatch.AgentID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.reserved[id])
	delete(t.reserved, id)
}

func (t *sessionTable) add(s *agentSession) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[s.id] = s
}

// remove removes the session with an agent, after which its silence is not reported any more. The returned channel is closed when the event
// loop has handled its end.
func (t *sessionTable) remove(id dispatch.AgentID) (handled <-chan struct{}) {
	if s, ok := t.get(id); ok {
		s.end()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, id)
	ending := make(chan struct{})
	t.ending[id] = ending
	return ending
}

// endHandled records that the event loop has handled the end of the session with an agent.
func (t *sessionTable) endHandled(id dispatch.AgentID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ending, ok := t.ending[id]; ok {
		close(ending)
		delete(t.ending, id)
	}
}

func (t *sessionTable) get(id dispatch.AgentID) (s *agentSession, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok = t.open[id]
	return s, ok
}

func (t *sessionTable) all() []*agentSession {
	t.mu.Lock()
	defer t.mu.Unlock()
	sessions := make([]*agentSession, 0, len(t.open))
	for _, s := range t.open {
		sessions = append(sessions, s)
	}
	return sessions
}

// serveSession passes an agent's messages to the event loop until the session ends and the event loop has handled the end. It returns why
// the session ended.
func (e *Entry) serveSession(ctx context.Context, agent cluster.Member, conn *session.AgentConn) error {
	s := &agentSession{entry: e, id: dispatch.AgentID(agent.Name), conn: conn}
	s.MessageReceived()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	e.sessions.add(s)
	// The state is sent after the session was added, so that the agent does not miss a change in between.
	conn.SendEvacuations(e.directory.Evacuations())
	e.post(dispatch.AgentUp{Agent: s.id})
	err := conn.Serve(s)
	handled := e.sessions.remove(s.id)
	e.post(dispatch.AgentDown{Agent: s.id})
	select {
	case <-handled:
	case <-e.context.Done():
	}
	return err
}

// watchLiveness reports agents that stop answering as unresponsive, and closes the sessions of those that stay silent.
func (e *Entry) watchLiveness() {
	ticker := time.NewTicker(livenessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.context.Done():
			return
		case <-ticker.C:
			for _, s := range e.sessions.all() {
				e.checkLiveness(s)
			}
		}
	}
}

// checkLiveness compares the time since an agent's last message with timing.SuspectAfter and timing.SessionCloseTimeout.
func (e *Entry) checkLiveness(s *agentSession) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasEnded {
		return
	}
	silence := clock.Since(epoch) - time.Duration(s.lastMessage.Load())
	isSuspect := silence > timing.SuspectAfter
	switch {
	case silence > timing.SessionCloseTimeout:
		s.conn.Close()
	case isSuspect && !s.unresponsive:
		s.unresponsive = true
		e.post(dispatch.AgentUnresponsive{Agent: s.id})
	case !isSuspect && s.unresponsive:
		s.unresponsive = false
		e.post(dispatch.AgentResponsive{Agent: s.id})
	}
}
