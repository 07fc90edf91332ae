// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/worker"
)

// Which runs were running when the worker crashed
//
// Inputs: when each start was sent, and on which worker clock the run was confirmed; when and how the worker's
// connections ended, and whether one of them carried a long poll; the round-trip time of calls; when the crash was
// detected.
// Rule: the estimated time of the crash is when the first connection was closed without a reset. If the worker has answered
// a call since, or the connection was closed longer than maxClosedTime ago, it is when the crash was detected. The latest
// possible time is when a long poll that was waiting at the worker ended with the process (recordPollEnd) or, without one,
// when that connection was closed, if the crash was detected within maxConfirmTime of it; otherwise it is when the crash was
// detected. A confirmed run was certainly running if its start was sent so shortly before the latest possible time that it
// cannot have ended (certainRunTime), and it is not being stopped. It was likely running if a long poll that was waiting at
// the worker ended with the process before the run was expected to end (likelyRunTime), and has reported no end.
// Reason: an entry gives up a job because of crashes during its runs. That the agent has received no end does not show
// that a run had not ended. A run may end between two long polls, or while there is no long poll because an end is
// unacknowledged. A waiting long poll is answered as soon as a run ends, but the answer may not arrive: the worker may
// crash before it has sent the answer, and the link may delay, drop or reset it. So a long poll without an answer dates
// the crash, and is no proof that a run was still there. A failing link usually resets its connections, and an ending
// process closes them, but a link can close them too. If the crash is detected later, the worker may have gone on for a
// time in which no call reached it.

const (
	// minTaskTime is the shortest run time of a task. Users state that tasks take 50 to 500 ms.
	minTaskTime = 50 * time.Millisecond
	// minCertainRunTime is the time for which every run certainly lasts, whatever is known about its kind. It is half of
	// minTaskTime, because workers differ in speed.
	minCertainRunTime = minTaskTime / 2
	// certainRunDivisor is the divisor by which a task's usual run time is reduced to the time for which its run certainly lasts.
	// The estimates of callers deviate by 40 %, so one job in three takes 1.5 times less or more than usual, and one in 170 three
	// times less or more.
	certainRunDivisor = 3
	// likelyRunShare is the share of a task's usual run time for which its run likely lasts. By the deviation above, one run in six is
	// shorter.
	likelyRunShare = 0.67
	// maxConfirmTime is the longest time from the closing of a connection to the detection of the crash for which the crash
	// counts as no later than the closing, also of a long poll. The renewal that is sent at once takes a round trip of some
	// milliseconds. The time is limited because the link may also have closed the connection.
	maxConfirmTime = 25 * time.Millisecond
	// maxClosedTime is how long a connection that was closed without a reset indicates the time of a crash: the worker
	// may start again under its ID before a call reaches it.
	maxClosedTime = time.Second
	// maxAnswerAge is the longest time from the latest call that the worker answered to the end of a long poll for which the
	// long poll counts: a worker that hangs reports no ends. It covers two renewals and an answer.
	maxAnswerAge = 150 * time.Millisecond
	// minPollTime is the minimum duration of a long poll that counts as having reached the worker. The long poll must also
	// have lasted pollRoundTrips times the round trip of the latest call before its end, and of the next call after it: it
	// reaches the worker in half a round trip, and the link may have become slower.
	minPollTime    = 5 * time.Millisecond
	pollRoundTrips = 2
	// minWaitedTime replaces minPollTime if another process answers the poll, because no later call shows how slow the
	// link is.
	minWaitedTime = 50 * time.Millisecond
	// maxLowLatencyTrip is the longest round trip for which a closed connection counts as noticed at once. It is ten times the
	// round trip to a worker on the same VM.
	maxLowLatencyTrip = 10 * time.Millisecond
	// maxClockError is how far the worker's clock in an answer may deviate from the value extrapolated from an earlier
	// answer of the same process. It covers the transmission of two answers on a busy VM and the clock drift between them.
	maxClockError = 100 * time.Millisecond
)

// connectionLoss records how the worker's connections have ended since its last answer. The zero value means that none
// has.
type connectionLoss struct {
	// firstAt is when the first connection was closed or reset, and byPeerAt when the first one ended with the process: the
	// process closed it, or another process answered instead.
	firstAt, byPeerAt time.Time
	// pollAt is when a long poll that was waiting at the worker ended with the worker's process, or zero if none did.
	pollAt time.Time
	// pollTook is how long the first such long poll had lasted.
	pollTook time.Duration
}

// recordClosed records that a call ended without an answer because its connection was closed.
func (i *incarnation) recordClosed(ended time.Time, result worker.NoResponse) {
	if !result.IsClosed {
		return
	}
	if i.connectionLoss.firstAt.IsZero() {
		i.connectionLoss.firstAt = ended
	}
	if !result.IsReset && i.connectionLoss.byPeerAt.IsZero() {
		i.connectionLoss.byPeerAt = ended
	}
}

// recordAlive records that the worker has answered a call sent at the given time. Connections that were closed before that
// time do not indicate a crash.
func (i *incarnation) recordAlive(sent time.Time) {
	if !sent.Before(i.connectionLoss.firstAt) {
		i.connectionLoss = connectionLoss{}
	}
}

// isLowLatency reports whether calls to the worker are so quick that a closed connection is noticed at once.
func (i *incarnation) isLowLatency() bool { return i.roundTrip > 0 && i.roundTrip <= maxLowLatencyTrip }

// recordPollEnd records that a long poll ended with the process at which it waited: either the connection was closed or
// another process answered. The poll counts only if it had reached the process, and the process had answered calls
// until then.
func (i *incarnation) recordPollEnd(e RenewAnswered) {
	minDuration := minPollTime
	if _, isAnswered := e.Result.(worker.WrongIncarnation); isAnswered {
		minDuration = minWaitedTime
	}
	reachedWorker := e.Took >= max(minDuration, pollRoundTrips*i.roundTrip)
	if reachedWorker && i.connectionLoss.pollAt.IsZero() && e.Ended.Sub(i.lastAnsweredCall()) <= maxAnswerAge {
		i.connectionLoss.pollAt, i.connectionLoss.pollTook = e.Ended, e.Took
		if i.connectionLoss.byPeerAt.IsZero() {
			i.connectionLoss.byPeerAt = e.Ended
		}
	}
}

// hadLongPoll reports whether a long poll had reached the process that ended, also if the round trip of the latest call is
// taken into account.
func (i *incarnation) hadLongPoll() bool {
	return !i.connectionLoss.pollAt.IsZero() && i.connectionLoss.pollTook >= pollRoundTrips*i.roundTrip
}

// recordRoundTrip records the duration of a call that was refused or answered at once by any process.
func (i *incarnation) recordRoundTrip(took time.Duration, result worker.Result) {
	if _, isUnanswered := result.(worker.NoResponse); !isUnanswered {
		i.roundTrip = took
	}
}

// endsWithProcess reports whether the result of a call shows that the called process has ended or has closed the
// connection.
func endsWithProcess(result worker.RenewResult) bool {
	switch r := result.(type) {
	case worker.WrongIncarnation:
		return true
	case worker.NoResponse:
		return r.IsClosed && !r.IsReset
	default:
		return false
	}
}

// lastAnsweredCall returns when the latest call that the incarnation answered was sent.
func (i *incarnation) lastAnsweredCall() time.Time {
	if i.lastAccepted.After(i.lastAnswered) {
		return i.lastAccepted
	}
	return i.lastAnswered
}

// clockIdentifiesProcess reports whether the incarnation has existed long enough that its clock differs from that of
// the next process with its ID, which starts anew.
func (i *incarnation) clockIdentifiesProcess() bool {
	return i.lastAnswered.Sub(i.firstSeen) > 2*maxClockError
}

// isOnClock reports whether the clock in a reply is that of the incarnation, if clocks distinguish processes with its
// ID.
func (i *incarnation) isOnClock(reply worker.Reply) bool {
	if reply.Clock == 0 || !i.clockIdentifiesProcess() {
		return false
	}
	expected := i.listed.Clock + reply.Received.Sub(i.listed.Received)
	return (reply.Clock - expected).Abs() <= maxClockError
}

// crashEvidence describes the crash of an incarnation.
type crashEvidence struct {
	// estimatedAt is when the worker most likely crashed, latestAt the latest possible time, and detectedAt when the crash was detected.
	estimatedAt, latestAt, detectedAt time.Time
	// pollAt is when a long poll that was waiting at the worker ended with the process, or zero if there was none. It has
	// reported no end, but its answer may be lost.
	pollAt time.Time
	// mayReuseID is set if a later process with the same ID may have accepted a run.
	mayReuseID bool
	// lastSeenAlive is the latest time at which the incarnation is known to have existed.
	lastSeenAlive time.Time
	// refusedAt is when the call was made whose connection was refused, or zero if there was none.
	refusedAt time.Time
}

// evidence returns the evidence about a crash of the incarnation that is detected now, with the given kind of end.
func (i *incarnation) evidence(now time.Time, end incarnationEnd) crashEvidence {
	evidence := crashEvidence{estimatedAt: now, latestAt: now, detectedAt: now, mayReuseID: i.hasStartTime() && end.mayReuseID(), lastSeenAlive: i.lastAnswered}
	if end == endNotListening {
		evidence.refusedAt = i.refusedAt
	}
	if i.isLowLatency() && i.connectionLoss.byPeerAt.After(i.lastAnswered) {
		evidence.lastSeenAlive = i.connectionLoss.byPeerAt
	}
	closed := i.connectionLoss.byPeerAt
	if closed.IsZero() || now.Sub(closed) > maxClosedTime {
		return evidence
	}
	evidence.estimatedAt = closed
	ended := closed
	if i.hadLongPoll() {
		evidence.pollAt = i.connectionLoss.pollAt
		ended = evidence.pollAt
	}
	if now.Sub(ended) <= maxConfirmTime {
		evidence.latestAt = ended
	}
	return evidence
}

// describeEvidence returns the evidence about an end of the incarnation that is detected now, for the log.
func (i *incarnation) describeEvidence(now time.Time) EndEvidence {
	described := EndEvidence{
		HadLongPoll: i.hadLongPoll(), PollTook: i.connectionLoss.pollTook, RoundTrip: i.roundTrip, SinceAnswered: now.Sub(i.lastAnsweredCall()),
	}
	if !i.connectionLoss.byPeerAt.IsZero() {
		described.SinceClosed = now.Sub(i.connectionLoss.byPeerAt)
	}
	return described
}

// ageOf returns the time from sending the start of a run to the crash, or zero if the start was sent later. The run
// itself is younger.
func (e crashEvidence) ageOf(t *task) time.Duration { return max(e.estimatedAt.Sub(t.sent), 0) }

// wasRunning reports whether the run of an active task was certainly running when the worker crashed: it had begun, was
// not being stopped, and cannot have ended.
func (e crashEvidence) wasRunning(t *task) bool {
	cannotHaveEnded := e.latestAt.Sub(t.sent) <= t.certainRunTime()
	return e.hadUnstoppedRun(t) && cannotHaveEnded
}

// wasLikelyRunning reports whether the run of an active task was likely, but not certainly running when the worker
// crashed: it had begun, was not being stopped, and a long poll ended with the process before the run was expected to end.
func (e crashEvidence) wasLikelyRunning(t *task) bool {
	hadPollBeforeEnd := !e.pollAt.IsZero() && e.pollAt.Sub(t.sent) <= t.likelyRunTime()
	return e.hadUnstoppedRun(t) && hadPollBeforeEnd && !e.wasRunning(t)
}

// hadUnstoppedRun reports whether the run of an active task had certainly begun on the worker before it crashed, and was
// not being stopped.
func (e crashEvidence) hadUnstoppedRun(t *task) bool {
	return t.hasStarted && t.state != stateStopping && e.isOfIncarnation(t)
}

// isOfIncarnation reports whether a run was confirmed by the incarnation that crashed, rather than by a later one that
// still exists.
func (e crashEvidence) isOfIncarnation(t *task) bool {
	return !e.mayReuseID || t.isOnClock || t.confirmedAt.Before(e.lastSeenAlive) || t.confirmedAt.Before(e.refusedAt)
}

// certainRunTime returns how long a run of the task certainly lasts after its start was sent.
func (t *task) certainRunTime() time.Duration {
	return max(minCertainRunTime, t.usualRunTime()/certainRunDivisor)
}

// likelyRunTime returns how long a run of the task likely lasts after its start was sent.
func (t *task) likelyRunTime() time.Duration {
	return time.Duration(likelyRunShare * float64(t.usualRunTime()))
}

// usualRunTime returns the task's run time as learned by entries, or else the caller's estimate.
func (t *task) usualRunTime() time.Duration {
	if t.Expected > 0 {
		return t.Expected
	}
	return t.Estimate
}
