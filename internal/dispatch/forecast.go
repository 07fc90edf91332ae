// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"sailhead/internal/forecast"
	"sailhead/internal/shares"
)

// This file decides which jobs are refused on arrival because they would wait too long, and measures how often such a refusal was avoidable.
//
// Inputs: for each kind the tasks that wait at this entry, the rate at which such tasks were placed while others waited, and by how much
// actual waits differed from the expected ones; the free resources of the workers.
//
// Rule: an arriving job is refused if its expected wait is too long (refuseByForecast), unless a worker has resources for one of its tasks
// now. The rule does not apply to durable jobs, or while the entry itself is late (congestion.go), as the jobs then do not wait for
// resources.
//
// Reason: the caller of a job that waits in vain waits as well, and the jobs that are served start later because of it. The rate
// includes the effect of other entries without messages from them: it falls when jobs of another entry or of a more urgent kind
// take the resources.

// maxTrackedRefusals is the maximum number of refused jobs that are kept for reportAvoidableRefusals.
const maxTrackedRefusals = 256

// forecasts tracks the waiting times of all kinds. Use newForecasts.
type forecasts struct {
	kinds map[string]*kindQueue
	// waiting lists the kinds with waiting tasks, as of the latest placement.
	waiting []*kindQueue
	// refused lists jobs that were refused on arrival, until their latest start.
	refused []*job
}

// kindQueue tracks the waiting time of one kind.
type kindQueue struct {
	service  string
	priority int
	rate     forecast.Rate
	accuracy forecast.Accuracy
	// taskTime is the estimated duration of a task of its latest job.
	taskTime  time.Duration
	isWaiting bool
	// isOverloaded is set from the refusal of a job that could not start in its caller's time, which was no shorter than that of others, until no
	// task has waited for as long as a task takes. Shorter times without waiting tasks do not count, as random arrivals leave them at any load.
	isOverloaded bool
	// emptySince is when its tasks last stopped waiting.
	emptySince time.Time
}

// setWaiting records whether tasks of the kind wait from now on.
func (k *kindQueue) setWaiting(now time.Time, isWaiting bool) {
	k.rate.SetWaiting(now, isWaiting)
	k.isWaiting = isWaiting
	switch {
	case !isWaiting:
		k.emptySince = now
	case now.Sub(k.emptySince) >= k.taskTime:
		k.isOverloaded = false
	}
}

func newForecasts() forecasts {
	return forecasts{kinds: make(map[string]*kindQueue)}
}

// queueOf returns the queue of the kind of a job.
func (f *forecasts) queueOf(j *job) *kindQueue {
	if j.queue != nil {
		return j.queue
	}
	k, ok := f.kinds[j.Kind.Name]
	if !ok {
		k = &kindQueue{}
		f.kinds[j.Kind.Name] = k
	}
	k.service, k.priority = j.Kind.Service, j.Kind.Priority
	k.taskTime = j.times[0].task
	j.queue = k
	return k
}

// placed counts tasks of a job that were placed, or rejected by their agents if the number is negative. They also count for more
// urgent kinds, converted to the number of their tasks that takes the same time: if more of these had waited, they would have got
// the resources.
func (f *forecasts) placed(now time.Time, j *job, tasks int) {
	own := f.queueOf(j)
	own.rate.Add(now, float64(tasks))
	for _, k := range f.waiting {
		if k != own && k.service == own.service && k.priority < own.priority {
			k.rate.Add(now, float64(tasks)*own.durationRatio(k))
		}
	}
}

// durationRatio returns the duration of the tasks of the kind as a multiple of those of another one.
func (k *kindQueue) durationRatio(other *kindQueue) float64 {
	return float64(max(k.taskTime, minRunTime)) / float64(max(other.taskTime, minRunTime))
}

// updateWaitingKinds records after a placement which kinds have waiting tasks.
func (d *Dispatcher) updateWaitingKinds(now time.Time) {
	f := &d.forecasts
	var waiting []*kindQueue
	for _, j := range d.waiting {
		if k := f.queueOf(j); !slices.Contains(waiting, k) && j.awaitsResources() {
			waiting = append(waiting, k)
		}
	}
	for _, k := range f.waiting {
		if !slices.Contains(waiting, k) {
			k.setWaiting(now, false)
		}
	}
	for _, k := range waiting {
		if !k.isWaiting {
			k.setWaiting(now, true)
		}
	}
	f.waiting = waiting
}

// awaitsResources reports whether a task of the job waits for resources.
func (j *job) awaitsResources() bool {
	return slices.ContainsFunc(j.tasks, j.isTaskWaiting)
}

// isTaskWaiting reports whether a task of the job is pending and its step may start.
func (j *job) isTaskWaiting(t *task) bool {
	return t.state == taskPending && j.isReady(t.step)
}

// forecast returns the expected wait of an arriving job that is accepted if it can start by the given time.
func (d *Dispatcher) forecast(now time.Time, j *job, startBy time.Time) forecast.Forecast {
	var ahead forecast.Backlog
	queue, urgency := d.forecasts.queueOf(j), j.urgency()
	for _, other := range d.waiting {
		if d.forecasts.queueOf(other) != queue || other.urgency().Compare(urgency) > 0 {
			continue
		}
		if tasks := other.tasksThatWait(); tasks > 0 {
			ahead.Jobs++
			ahead.Tasks += tasks
		}
	}
	return forecast.New(now, ahead, &queue.rate, &queue.accuracy, startBy.Sub(now))
}

// tasksThatWait returns the number of tasks of the job that wait for resources.
func (j *job) tasksThatWait() int {
	if !j.awaitsResources() {
		return 0
	}
	count := 0
	for _, t := range j.tasks {
		if j.isTaskWaiting(t) {
			count++
		}
	}
	return count
}

// refuseByForecast refuses an arriving job that would wait too long. It reports whether it did.
//
// Inputs: the expected wait of the job, its latest start, the time that its work takes, whether the queue of its kind is overloaded.
//
// Rule: a job is accepted if it is expected to start by its latest start. While its queue is overloaded, it also has to be expected to start
// before it has waited for as long as its work takes. The queue is overloaded once a caller that has the usual time was refused.
//
// Reason: nobody is refused before it is known that not all can be served in their callers' time. From then on some are refused in any case.
// A longer queue serves no more of them, it only serves each later. So it is kept just long enough that no answer takes more than twice as long
// as without a wait, until the workers have caught up.
func (d *Dispatcher) refuseByForecast(now time.Time, j *job) bool {
	queue := d.forecasts.queueOf(j)
	if d.limits.NoForecast || !queue.isWaiting {
		return false
	}
	latest := d.latestStart(j)
	startBy := latest
	if queue.isOverloaded {
		startBy = earlier(latest, j.doubledAt())
	}
	expected := d.forecast(now, j, startBy)
	if !expected.IsTooLong() {
		j.expected = expected
		return false
	}
	if d.hasResourcesFor(j) || d.congestion.isLate() {
		return false
	}
	queue.isOverloaded = queue.isOverloaded || d.hasUsualTime(j)
	if len(d.forecasts.refused) < maxTrackedRefusals {
		d.forecasts.refused = append(d.forecasts.refused, j)
	}
	reason := "no worker will have room in time: " + expected.String() + " " + d.describeCapacity(j)
	d.finish(now, j, NotRun{Reason: reason, RetryAfter: d.retryAfter(now, j), IsForecast: true})
	return true
}

// hasUsualTime reports whether the caller of a job leaves at least as much time for a wait as those of the waiting jobs of its kind do on
// average. If one with less is refused, the others can still be served.
func (d *Dispatcher) hasUsualTime(j *job) bool {
	var sum, count time.Duration
	for _, other := range d.waiting {
		if d.forecasts.queueOf(other) == d.forecasts.queueOf(j) {
			sum += d.latestStart(other).Sub(other.arrived)
			count++
		}
	}
	return count*d.latestStart(j).Sub(j.arrived) >= sum
}

// hasResourcesFor reports whether a worker that may run a job has unreserved resources for one of its tasks.
func (d *Dispatcher) hasResourcesFor(j *job) bool {
	return slices.ContainsFunc(d.ordered, func(a *agent) bool { return d.canPlace(j, a) && a.hasResourcesFor(j, d.headroomAt(a)) })
}

// hasResourcesFor reports whether the worker has resources for a task of any step of a job that are neither reserved nor part of the
// headroom for shorter tasks.
func (a *agent) hasResourcesFor(j *job, headroom []shares.HeadroomBound) bool {
	if a.load.IsEjected && !a.mayRunDespiteEjection(j) {
		return false
	}
	for i, step := range j.Steps {
		free := a.unreserved()
		free.CPU -= shares.HeadroomCPU(headroom, j.estimateAt(i, a))
		if step.canRunOn(a.record) && step.Needs.Fits(free) {
			return true
		}
	}
	return false
}

// isScarce reports whether resources are scarce for the kind of a job.
func (d *Dispatcher) isScarce(now time.Time, j *job) bool {
	return !d.limits.NoForecast && d.forecasts.queueOf(j).rate.IsScarce(now) && !d.congestion.isLate()
}

// reportAvoidableRefusals reports jobs that were refused on arrival although they would have got resources by now: a worker has some for one
// of their tasks, and no waiting job of their service would have used them.
func (d *Dispatcher) reportAvoidableRefusals(now time.Time) {
	f := &d.forecasts
	f.refused = slices.DeleteFunc(f.refused, func(j *job) bool {
		if now.After(d.latestStart(j)) {
			return true
		}
		isUsed := slices.ContainsFunc(f.waiting, func(k *kindQueue) bool { return k.service == j.Kind.Service })
		if isUsed || !d.hasResourcesFor(j) {
			return false
		}
		d.emit(j.decisionMade(now, DecisionAvoidableRefusal{}))
		return true
	})
}

// endWait ends the wait of a job for its first resources, because it got some or was refused. It returns the forecast with which the job was
// accepted, and compares the wait with it.
func (d *Dispatcher) endWait(now time.Time, j *job) forecast.Forecast {
	expected := j.expected
	j.expected = forecast.Forecast{}
	if expected.IsKnown {
		d.forecasts.queueOf(j).accuracy.Observe(expected.Wait, now.Sub(j.acceptedAt))
	}
	return expected
}
