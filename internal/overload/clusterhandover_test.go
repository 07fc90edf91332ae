// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"slices"
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/timing"
)

// clusterHandOver is a job that an entry has handed over to another one, with a connection of its own. As in package handover, both ends send
// pings, the sender echoes those of the receiver, and an end whose peer is silent closes the connection.
type clusterHandOver struct {
	cluster          *cluster
	link             uint64
	sender, receiver *clusterEntry
	job              dispatch.Job
	number           uint64
	// age is the age of the job when it was sent, and arrived when the receiver got it. Neither knows how long it was under way.
	age                  time.Duration
	arrived              time.Time
	toReceiver, toSender stream
	// isAtSender and isAtReceiver are set while the job is outstanding at each end, and isSubmitted once the receiver has submitted it.
	isAtSender, isAtReceiver, isSubmitted bool
	// lastAtSender is when the sender received the latest message, lastAtReceiver when the receiver sent the latest ping that was echoed.
	lastAtSender, lastAtReceiver time.Time
	request                      clusterRequest
}

// handOver hands a job over to the next entry that is up.
func (e *clusterEntry) handOver(f dispatch.HandOver) {
	c := e.cluster
	for i := 1; i < len(c.entries); i++ {
		to := c.entries[(e.number+i)%len(c.entries)]
		if to.isDown || c.peerPath(e, to).isSilent() {
			continue
		}
		c.sendHandOver(e, to, f)
		return
	}
	c.after(0, e.inLife(func() {
		e.handle(dispatch.HandOverEnded{Job: f.Job.ID, Number: f.Number, Result: dispatch.HandOverNotSent{Reason: "no other entry"}})
	}))
}

func (c *cluster) sendHandOver(from, to *clusterEntry, f dispatch.HandOver) {
	path := c.peerPath(from, to)
	c.lastLink++
	h := &clusterHandOver{
		cluster: c, link: c.lastLink, sender: from, receiver: to, job: f.Job, number: f.Number, age: c.now.Sub(f.Job.Received),
		isAtSender: true, lastAtSender: c.now,
	}
	h.toReceiver = stream{clock: c.scheduler, from: &path.forthFrom, extraDelay: &path.forthDelay}
	h.toSender = stream{clock: c.scheduler, from: &path.backFrom, extraDelay: &path.backDelay}
	from.handOvers = append(from.handOvers, h)
	c.record("%s hands %s over to %s", from.name, f.Job.ID, to.name)
	h.toReceiver.send(to.inLife(h.take))
	c.after(h.randomPhase(), h.watchSender)
}

// handOverPing is the interval of the pings of a hand-over, as in package handover.
const handOverPing = timing.IdlePingInterval

func (h *clusterHandOver) randomPhase() time.Duration {
	return time.Duration(h.cluster.random.Int64N(int64(handOverPing)))
}

// take asks the sender to confirm the job.
func (h *clusterHandOver) take() {
	h.isAtReceiver, h.lastAtReceiver, h.arrived = true, h.cluster.now, h.cluster.now
	h.receiver.handOvers = append(h.receiver.handOvers, h)
	h.cluster.after(h.randomPhase(), h.watchReceiver)
	h.ping()
}

// echoed applies the echo of a ping that was sent at a time. The first one confirms the job, which is submitted at the receiver.
func (h *clusterHandOver) echoed(sent time.Time) {
	h.lastAtReceiver = sent
	if h.isSubmitted || h.cluster.now.Sub(sent) >= timing.SessionCloseTimeout {
		return
	}
	h.isSubmitted = true
	h.reportToSender(func() {
		h.sender.handle(dispatch.HandOverAccepted{Job: h.job.ID, Number: h.number, Entry: h.receiver.name})
	})
	job := h.job
	job.IsHandedOver = true
	job.RemainingTime -= h.age + h.cluster.now.Sub(h.arrived)
	h.request = h.receiver.submit(job, h.answer)
}

// answer returns the answer to the sender. It is nil if the receiver was killed.
func (h *clusterHandOver) answer(answer dispatch.Answer) {
	if !h.isAtReceiver || answer == nil {
		return
	}
	h.isAtReceiver = false
	var result dispatch.HandOverResult = dispatch.HandOverAnswered{Answer: answer}
	if refused, ok := answer.(dispatch.NotRun); ok && refused.IsLocal {
		result = dispatch.HandOverRefused{Reason: refused.Reason}
	}
	h.reportToSender(func() { h.end(result) })
}

// reportToSender makes the sender handle a message, unless the job has ended there.
func (h *clusterHandOver) reportToSender(handle func()) {
	h.toSender.send(func() {
		h.sender.do(func() {
			if h.isAtSender {
				h.lastAtSender = h.cluster.now
				handle()
			}
		})
	})
}

// reportToReceiver makes the receiver handle a message, unless the job has ended there.
func (h *clusterHandOver) reportToReceiver(handle func()) {
	h.toReceiver.send(func() {
		h.receiver.do(func() {
			if h.isAtReceiver {
				handle()
			}
		})
	})
}

// end ends the hand-over at the sender with a result.
func (h *clusterHandOver) end(result dispatch.HandOverResult) {
	h.isAtSender = false
	h.sender.handle(dispatch.HandOverEnded{Job: h.job.ID, Number: h.number, Result: result})
}

// cancel ends the hand-over at the receiver, which drops the job.
func (h *clusterHandOver) cancel() {
	h.isAtReceiver = false
	h.cluster.record("%s cancels %s of %s", h.receiver.name, h.job.ID, h.sender.name)
	if h.isSubmitted {
		h.request.leave(true)
	}
}

// lose ends the hand-over at the sender, whose connection has ended.
func (h *clusterHandOver) lose() {
	h.cluster.record("%s loses the connection for %s to %s", h.sender.name, h.job.ID, h.receiver.name)
	h.end(dispatch.HandOverLost{Reason: "the connection has ended"})
}

// untilCheck returns the time until the next ping of an end, or until its peer has been silent for timing.SessionCloseTimeout if that is
// earlier, as in package handover.
func (h *clusterHandOver) untilCheck(last time.Time) time.Duration {
	if remaining := timing.SessionCloseTimeout - h.cluster.now.Sub(last); remaining > 0 {
		return min(handOverPing, remaining)
	}
	return handOverPing
}

// watchSender sends pings to the receiver, and closes the connection if that is silent.
func (h *clusterHandOver) watchSender() {
	if !h.isAtSender {
		return
	}
	h.cluster.after(h.untilCheck(h.lastAtSender), h.watchSender)
	h.sender.do(func() {
		switch {
		case !h.isAtSender:
		case h.cluster.now.Sub(h.lastAtSender) >= timing.SessionCloseTimeout:
			h.reportToReceiver(h.cancel)
			h.lose()
		default:
			h.reportToReceiver(func() {})
		}
	})
}

// watchReceiver sends pings to the sender, and closes the connection if that is silent.
func (h *clusterHandOver) watchReceiver() {
	if !h.isAtReceiver {
		return
	}
	h.cluster.after(h.untilCheck(h.lastAtReceiver), h.watchReceiver)
	h.receiver.do(func() {
		switch {
		case !h.isAtReceiver:
		case h.cluster.now.Sub(h.lastAtReceiver) >= timing.SessionCloseTimeout:
			h.reportToSender(h.lose)
			h.cancel()
		default:
			h.ping()
		}
	})
}

// ping sends a ping to the sender, which echoes it.
func (h *clusterHandOver) ping() {
	sent := int64(h.cluster.now.Sub(origin))
	h.reportToSender(func() { h.sender.handle(dispatch.HandOverPinged{Link: h.link, Time: sent}) })
}

// echoHandOverPing echoes a ping to the receiver of a job.
func (e *clusterEntry) echoHandOverPing(f dispatch.EchoHandOverPing) {
	for _, h := range e.handOvers {
		if h.sender == e && h.link == f.Link {
			h.reportToReceiver(func() { h.echoed(origin.Add(time.Duration(f.Time))) })
		}
	}
}

// withdrawHandOver tells the receiver that the job is not needed any more.
func (e *clusterEntry) withdrawHandOver(f dispatch.WithdrawHandOver) {
	for _, h := range slices.Clone(e.handOvers) {
		if h.sender == e && h.isAtSender && h.number == f.Number && h.job.ID == f.Job {
			h.isAtSender = false
			h.reportToReceiver(h.cancel)
		}
	}
}

// closeHandOvers closes the connections of a killed entry. The other ends learn of it as soon as the path is not silent.
func (e *clusterEntry) closeHandOvers() {
	for _, h := range e.handOvers {
		switch {
		case h.sender == e && h.isAtSender:
			h.isAtSender = false
			h.reportToReceiver(h.cancel)
		case h.receiver == e && h.isAtReceiver:
			h.isAtReceiver = false
			h.reportToSender(h.lose)
		}
	}
	e.handOvers = nil
}
