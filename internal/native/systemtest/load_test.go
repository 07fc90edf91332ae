// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package systemtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sailhead/internal/native/backendstandin"
	"sailhead/internal/native/model"
)

// answer is an answer as a caller sees it.
type answer struct {
	Status     string `json:"status"`
	Reason     string `json:"reason"`
	MayHaveRun bool   `json:"may_have_run"`
	Results    []struct {
		Task string  `json:"task"`
		Echo payload `json:"echo"`
	} `json:"results"`
}

// payload is the payload of a task, different for each task.
type payload struct {
	Submission    model.Key `json:"submission"`
	Index         int       `json:"index"`
	ServiceMillis int       `json:"service_ms"`
}

// job is one submission with all answers that its callers received.
type job struct {
	key   model.Key
	tasks int
	mu    sync.Mutex
	final []answer
	// lost counts the requests without an answer.
	lost int
}

func newJob(t *testing.T, tasks int) *job {
	key, err := model.NewKey()
	if err != nil {
		t.Error(err)
	}
	return &job{key: key, tasks: tasks}
}

// jobBody is the body of POST /v1/jobs.
type jobBody struct {
	Submission model.Key `json:"submission"`
	Service    string    `json:"service"`
	Kind       string    `json:"kind"`
	Team       string    `json:"team"`
	Tasks      []payload `json:"tasks"`
}

func (j *job) body() []byte {
	tasks := make([]payload, j.tasks)
	for i := range tasks {
		tasks[i] = payload{Submission: j.key, Index: i, ServiceMillis: 30 + i%5*10}
	}
	data, err := json.Marshal(jobBody{Submission: j.key, Service: "refunds", Kind: "issuance", Team: "dyfrdwy", Tasks: tasks})
	if err != nil {
		panic(err)
	}
	return data
}

var callers = &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// submit sends the job through an entry once.
func (j *job) submit(entry *process) (answer, error) {
	response, err := callers.Post("http://"+entry.address+"/v1/jobs", "application/json", bytes.NewReader(j.body()))
	var a answer
	if err == nil {
		err = json.NewDecoder(response.Body).Decode(&a)
		_ = response.Body.Close()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if err != nil {
		j.lost++
		return a, err
	}
	j.final = append(j.final, a)
	return a, nil
}

// load submits jobs until it is stopped. Some callers submit a job a second time, through any entry, before the first
// answer comes.
type load struct {
	system *system
	mu     sync.Mutex
	jobs   []*job
	// trouble is the time of the latest first answer that was not complete.
	trouble time.Time
	done    atomic.Bool
	group   sync.WaitGroup
}

func (l *load) troubled() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trouble = time.Now()
}

func (s *system) startLoad(callers int) *load {
	l := &load{system: s}
	for range callers {
		l.group.Go(l.call)
	}
	return l
}

func (l *load) call() {
	for !l.done.Load() {
		j := newJob(l.system.t, 1+rand.IntN(6))
		l.mu.Lock()
		l.jobs = append(l.jobs, j)
		l.mu.Unlock()
		var copies sync.WaitGroup
		if rand.IntN(3) == 0 {
			copies.Go(func() {
				time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
				_, _ = j.submit(l.entry())
			})
		}
		a, err := j.submit(l.entry())
		if err != nil || a.Status != "complete" {
			l.troubled()
		}
		if err != nil || a.Status == "failed" {
			_, _ = j.submit(l.entry())
		}
		copies.Wait()
	}
}

func (l *load) entry() *process {
	l.system.mu.Lock()
	defer l.system.mu.Unlock()
	return l.system.entries[rand.IntN(len(l.system.entries))]
}

// answered waits until the given number of further jobs is complete.
func (l *load) answered(more int) {
	l.system.t.Helper()
	target := l.complete() + more
	l.system.await(fmt.Sprintf("%d jobs are complete", target), func() bool { return l.complete() >= target })
}

func (l *load) complete() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, j := range l.jobs {
		j.mu.Lock()
		if len(j.final) > 0 && j.final[0].Status == "complete" {
			count++
		}
		j.mu.Unlock()
	}
	return count
}

// counts are the first answers of the jobs by status.
type counts map[string]int

// stop ends the load and checks what must always hold.
func (l *load) stop() counts {
	l.system.t.Helper()
	l.done.Store(true)
	l.group.Wait()
	total := counts{}
	starts := l.system.starts()
	for _, j := range l.jobs {
		l.system.check(j, starts)
		status := "lost"
		if len(j.final) > 0 {
			status = j.final[0].Status
			if status != "complete" {
				l.system.t.Logf("%s: %s: %s", j.key, status, j.final[0].Reason)
			}
		}
		total[status]++
	}
	l.system.t.Logf("jobs by first answer: %v", total)
	return total
}

// check compares a job's answers with the starts at the backend servers.
func (s *system) check(j *job, starts map[backendstandin.Start]int) {
	s.t.Helper()
	started := 0
	for i := range j.tasks {
		times := starts[backendstandin.Start{Submission: string(j.key), Task: fmt.Sprint(i)}]
		if times > 1 {
			s.t.Errorf("%s: task %d started %d times", j.key, i, times)
		}
		started += times
	}
	for _, a := range j.final {
		switch a.Status {
		case "complete":
			if started != j.tasks || len(a.Results) != j.tasks {
				s.t.Errorf("%s: complete with %d results, %d of %d tasks started", j.key, len(a.Results), started, j.tasks)
			}
			for i, r := range a.Results {
				if r.Echo.Submission != j.key || r.Echo.Index != i {
					s.t.Errorf("%s: result %d belongs to %s task %d", j.key, i, r.Echo.Submission, r.Echo.Index)
				}
			}
		case "not_run":
			if started > 0 {
				s.t.Errorf("%s: not_run, and %d tasks started", j.key, started)
			}
		case "failed":
			if started > 0 && !a.MayHaveRun {
				s.t.Errorf("%s: failed without running, and %d tasks started", j.key, started)
			}
		default:
			s.t.Errorf("%s: answer %+v", j.key, a)
		}
	}
}
