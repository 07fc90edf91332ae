// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/worker"
)

// Which runs were running when the worker crashed
//
// Inputs: when each start was sent, and on which clock the worker has confirmed the run; when and how the worker's connections ended, and
// whether a long poll was among them; how long calls take; when the crash was noticed.
// Rule: the worker most likely crashed when the first connection was closed without a reset, unless it has answered a call since or that was
// longer ago than maxClosedTime; for certain before that was noticed, or before that connection was closed if the two are less than maxConfirmTime
// apart. Of the runs that it had confirmed, those were running for certain that were started so shortly before the latter that they cannot
// have ended (surelyRuns) and are not being stopped, and all of them if a long poll waited there (notePollEnded).
// Reason: an entry gives a job up because of crashes under runs that were running for certain. That a run was accepted or listed a
// moment ago says nothing of an end that has not been heard of, over whatever link: between two long polls, or while there is none, as
// an end is not acknowledged. A long poll that waits at the worker is answered at once when a run ends, before the worker can
// close it. A link that fails resets its connections; a process that ends closes them. What is left: a worker that closes a long poll and
// goes on without an answer to anything until it crashes.

const (
	// minTaskTime is how long a task takes at least. Source: the users' brief, by which tasks last 50 to 500 ms.
	minTaskTime = 50 * time.Millisecond
	// minCertainRunTime is how long a run surely runs, whatever is known of its kind: half of shortestTask, as workers are faster or slower.
	minCertainRunTime = minTaskTime / 2
	// sureDivisor is the part of its usual time, one in so many, for which a run surely runs. Source: the guesses of
	// the users' callers are off by 40 %, so a job in three takes 1.5 times less or more than usual, and one in 170 three times.
	sureDivisor = 3
	// maxConfirmTime is how long after a connection was closed the crash may be noticed to have happened then: the question that is
	// asked at once takes a round trip of some milliseconds; a connection may also be closed by the link.
	maxConfirmTime = 25 * time.Millisecond
	// maxClosedTime is how long after that a connection that was closed, and was not reset, tells when the worker crashed: it may start again
	// under its ID before a call reaches it.
	maxClosedTime = time.Second
	// maxAnswerAge is how long before that the worker must have answered a call: one that hangs tells of no end. Two renewals and an
	// answer.
	maxAnswerAge = 150 * time.Millisecond
	// minPollTime is how long a long poll must have been under way to have reached the worker, and pollTrips how many round trips, of the
	// latest call before it ended and of the one after it: it reaches the worker in half of one, and a link may be slower than a moment ago.
	minPollTime    = 5 * time.Millisecond
	pollRoundTrips = 2
	// minWaitedTime is the same if another process answers it: no call after it tells how slow the link is.
	minWaitedTime = 50 * time.Millisecond
	// maxLowLatencyTrip is the longest round trip with which a connection that is closed shows at once. Ten times what a call to the worker on the
	// same VM takes.
	maxLowLatencyTrip = 10 * time.Millisecond
	// maxClockError is how much the worker's clock in an answer may differ from what earlier answers let expect, for both to come from one
	// process: the way of two answers over a busy VM, and the drift between them.
	maxClockError = 100 * time.Millisecond
)

// connectionLoss is how the worker's connections have ended since it last answered. The zero value is that none has.
type connectionLoss struct {
	// at is when the first one was closed or reset, and byPeerAt when the first one ended with the process.
	at, byPeerAt time.Time
	// pollAt is when a long poll that had waited at the worker ended with it, zero if none did.
	pollAt time.Time
	// pollTook is how long the first long poll that ended so had been under way.
	pollTook time.Duration
}

// noteClosed notes that a call ended without an answer as its connection was closed.
func (i *incarnation) noteClosed(ended time.Time, result worker.Unanswered) {
	if !result.IsClosed {
		return
	}
	if i.closing.at.IsZero() {
		i.closing.at = ended
	}
	if !result.IsReset && i.closing.byPeerAt.IsZero() {
		i.closing.byPeerAt = ended
	}
}

// noteAlive notes that the worker has answered a call that was sent at a time: if connections were closed before that, it had not crashed.
func (i *incarnation) noteAlive(sent time.Time) {
	if !sent.Before(i.closing.at) {
		i.closing = connectionLoss{}
	}
}

// isLowLatency reports whether calls to the worker are so quick that a connection which it closes shows at once.
func (i *incarnation) isLowLatency() bool { return i.roundTrip > 0 && i.roundTrip <= maxLowLatencyTrip }

// notePollEnded notes that a long poll ended with the process at which it waited: that has closed the connection, or another process answers.
// It does so only if the poll had reached the process and that had answered until then.
func (i *incarnation) notePollEnded(e RenewAnswered) {
	least := minPollTime
	if _, isAnswered := e.Result.(worker.WrongIncarnation); isAnswered {
		least = minWaitedTime
	}
	hasArrived := e.Took >= max(least, pollRoundTrips*i.roundTrip)
	if hasArrived && i.closing.pollAt.IsZero() && e.Ended.Sub(i.lastAlive()) <= maxAnswerAge {
		i.closing.pollAt, i.closing.pollTook = e.Ended, e.Took
		if i.closing.byPeerAt.IsZero() {
			i.closing.byPeerAt = e.Ended
		}
	}
}

// hadLongPoll reports whether a long poll had reached the process with which it ended, also by the calls since.
func (i *incarnation) hadLongPoll() bool {
	return !i.closing.pollAt.IsZero() && i.closing.pollTook >= pollRoundTrips*i.roundTrip
}

// noteTrip notes how long a call took that was answered at once, by whichever process, or refused.
func (i *incarnation) noteTrip(took time.Duration, result worker.Result) {
	if _, isUnanswered := result.(worker.Unanswered); !isUnanswered {
		i.roundTrip = took
	}
}

// endsWithProcess reports whether the result of a call shows that the process to which it was made has ended, or has closed the connection.
func endsWithProcess(result worker.RenewResult) bool {
	switch r := result.(type) {
	case worker.WrongIncarnation:
		return true
	case worker.Unanswered:
		return r.IsClosed && !r.IsReset
	default:
		return false
	}
}

// lastAlive is when the latest call was sent that the incarnation has answered.
func (i *incarnation) lastAlive() time.Time {
	if i.lastAccepted.After(i.lastAnswered) {
		return i.lastAccepted
	}
	return i.lastAnswered
}

// clockIdentifiesProcess reports whether the incarnation has lived for so long that its clock differs from that of the next process of its ID, which
// begins anew.
func (i *incarnation) clockIdentifiesProcess() bool {
	return i.lastAnswered.Sub(i.firstSeen) > 2*maxClockError
}

// isOnClock reports whether the clock in a reply is that of the incarnation, as far as its clock tells processes of one ID apart.
func (i *incarnation) isOnClock(reply worker.Reply) bool {
	if reply.Clock == 0 || !i.clockIdentifiesProcess() {
		return false
	}
	expected := i.listed.Clock + reply.Received.Sub(i.listed.Received)
	return (reply.Clock - expected).Abs() <= maxClockError
}

// crashEvidence is what is known of the end of an incarnation that has crashed.
type crashEvidence struct {
	// estimatedAt is when the worker most likely crashed, and latestAt when it had for certain, unless a long poll waited there.
	estimatedAt, latestAt time.Time
	// hadLongPoll is set if a long poll waited at the worker, which would have told of an end before.
	hadLongPoll bool
	// mayKeepID is set if a later process of the ID may have accepted a run. aliveAt is when the incarnation is known to have been
	// there for the last time.
	mayKeepID     bool
	lastSeenAlive time.Time
	// refusedAt is when a call was made for which nobody listened, zero for never.
	refusedAt time.Time
}

// evidence returns what is known of the crash of the incarnation if it is noticed now, by the given end.
func (i *incarnation) evidence(now time.Time, end incarnationEnd) crashEvidence {
	evidence := crashEvidence{estimatedAt: now, latestAt: now, mayKeepID: i.tellsStart() && end.mayKeepID(), lastSeenAlive: i.lastAnswered}
	if end == endNotListening {
		evidence.refusedAt = i.refusedAt
	}
	if i.isLowLatency() && i.closing.byPeerAt.After(i.lastAnswered) {
		evidence.lastSeenAlive = i.closing.byPeerAt
	}
	closed := i.closing.byPeerAt
	if closed.IsZero() || now.Sub(closed) > maxClosedTime {
		return evidence
	}
	evidence.estimatedAt = closed
	evidence.hadLongPoll = i.hadLongPoll()
	if now.Sub(closed) <= maxConfirmTime {
		evidence.latestAt = closed
	}
	return evidence
}

// describeEvidence returns what is known of the end of the incarnation if it is noticed now, for the log.
func (i *incarnation) describeEvidence(now time.Time) EndEvidence {
	described := EndEvidence{
		HadLongPoll: i.hadLongPoll(), PollTook: i.closing.pollTook, RoundTrip: i.roundTrip, SinceAnswered: now.Sub(i.lastAlive()),
	}
	if !i.closing.byPeerAt.IsZero() {
		described.SinceClosed = now.Sub(i.closing.byPeerAt)
	}
	return described
}

// ageOf returns how long before the crash the start of a run was sent, zero if it was sent after that. The run itself is younger.
func (e crashEvidence) ageOf(t *task) time.Duration { return max(e.estimatedAt.Sub(t.sent), 0) }

// wasRunning reports whether the run of an active task was running for certain when the worker crashed.
func (e crashEvidence) wasRunning(t *task) bool {
	mayHaveStopped := t.state == stateStopping
	cannotHaveEnded := !mayHaveStopped && e.latestAt.Sub(t.sent) <= t.certainRunTime()
	return t.hasBegun && e.isOfIncarnation(t) && (e.hadLongPoll || cannotHaveEnded)
}

// isOfIncarnation reports whether the run of a task was confirmed by the incarnation that crashed and not by a later one that lives on.
func (e crashEvidence) isOfIncarnation(t *task) bool {
	return !e.mayKeepID || t.isOnClock || t.confirmedAt.Before(e.lastSeenAlive) || t.confirmedAt.Before(e.refusedAt)
}

// certainRunTime returns for how long a run of the task surely runs after its start was sent.
func (t *task) certainRunTime() time.Duration {
	return max(minCertainRunTime, t.usualTime()/sureDivisor)
}

// usualTime returns the usual run time of the task as entries have learned it, or else as its caller guesses.
func (t *task) usualTime() time.Duration {
	if t.Expected > 0 {
		return t.Expected
	}
	return t.Estimate
}
