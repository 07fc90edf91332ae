// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package demo

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/native/model"
)

const (
	// requestTimeout is the longest time that a caller waits; each deadline of the demo's kinds is shorter.
	requestTimeout = 15 * time.Second
	// progressInterval is the time between two lines of progress.
	progressInterval = 2 * time.Second
	// minServiceMillis and maxServiceMillis bound the service time of a task.
	minServiceMillis = 50
	maxServiceMillis = 250
)

// allShares is the sum of the shares of all kinds.
const allShares = 100

// mix is one kind of job in the load.
type mix struct {
	service string
	kind    string
	team    string
	// share is the kind's part of the jobs, out of allShares.
	share int
	// maxTasks is the largest number of tasks of a job.
	maxTasks int
}

// mixes lists the kinds of jobs of the load.
func mixes() []mix {
	return []mix{
		{service: "slot-broker", kind: "lookup", team: "vardtidsforbundet", share: 40, maxTasks: 6},
		{service: "slot-broker", kind: "confirmation", team: "vardtidsforbundet", share: 10, maxTasks: 1},
		{service: "slot-broker", kind: "reminder", team: "vardtidsforbundet", share: 15, maxTasks: 12},
		{service: "refunds", kind: "eligibility", team: "dyfrdwy", share: 25, maxTasks: 3},
		{service: "refunds", kind: "issuance", team: "dyfrdwy", share: 10, maxTasks: 1},
	}
}

// pick returns a random kind of job, each as often as its share.
func pick() mix {
	all := mixes()
	at := rand.IntN(allShares)
	for _, m := range all {
		if at < m.share {
			return m
		}
		at -= m.share
	}
	return all[0]
}

// taskBody is the payload of a task, as the backend stand-in reads it.
type taskBody struct {
	ServiceMillis int `json:"service_ms"`
}

// jobBody is the body of POST /v1/jobs.
type jobBody struct {
	Submission model.Key  `json:"submission"`
	Service    string     `json:"service"`
	Kind       string     `json:"kind"`
	Team       string     `json:"team"`
	Tasks      []taskBody `json:"tasks"`
}

// answerBody is the part of an answer that the demo reads.
type answerBody struct {
	Status  string            `json:"status"`
	Results []json.RawMessage `json:"results"`
}

// submitJobs submits jobs at the rate until the time is over and waits for the answers.
func submitJobs(c *cluster, options Options, out io.Writer) *report {
	r := newReport()
	client := &http.Client{Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / options.Rate))
	defer ticker.Stop()
	progress := time.NewTicker(progressInterval)
	defer progress.Stop()
	end := time.After(options.Time)
	for next := 0; ; {
		select {
		case <-end:
			group.Wait()
			return r
		case <-progress.C:
			_, _ = fmt.Fprintf(out, "demo: %d jobs answered\n", r.answered())
		case <-ticker.C:
			address := c.entries[next%len(c.entries)].CallerAddress()
			next++
			group.Go(func() { r.add(submit(client, address, pick())) })
		}
	}
}

// outcome is the result of one job.
type outcome struct {
	kind   string
	status string
	tasks  int
	// ideal is the service time of the longest task, response the time to the answer.
	ideal    time.Duration
	response time.Duration
	err      error
}

// submit submits one job and checks that a complete answer has all results.
func submit(client *http.Client, address string, m mix) outcome {
	key, keyErr := model.NewKey()
	body := jobBody{Submission: key, Service: m.service, Kind: m.kind, Team: m.team}
	o := outcome{kind: m.service + "/" + m.kind, status: model.Status(nil), tasks: 1 + rand.IntN(m.maxTasks)}
	for range o.tasks {
		millis := minServiceMillis + rand.IntN(maxServiceMillis-minServiceMillis)
		o.ideal = max(o.ideal, time.Duration(millis)*time.Millisecond)
		body.Tasks = append(body.Tasks, taskBody{ServiceMillis: millis})
	}
	data, marshalErr := json.Marshal(body)
	if o.err = errors.Join(keyErr, marshalErr); o.err != nil {
		return o
	}
	began := time.Now()
	response, err := client.Post("http://"+address+"/v1/jobs", "application/json", bytes.NewReader(data))
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = response.Body.Close() }()
	var answer answerBody
	o.err = json.NewDecoder(response.Body).Decode(&answer)
	o.response = time.Since(began)
	o.status = answer.Status
	if answer.Status == model.Status(model.Complete{}) && len(answer.Results) != o.tasks {
		o.err = errors.Errorf("demo: job %s has %d results for %d tasks", key, len(answer.Results), o.tasks)
	}
	return o
}
