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

	"sailhead/internal/native/model"
)

// mix is one kind of job with its share and its largest number of tasks.
type mix struct {
	service string
	kind    string
	team    string
	share   int
	tasks   int
}

func mixes() []mix {
	return []mix{
		{service: "slot-broker", kind: "lookup", team: "vardtidsforbundet", share: 40, tasks: 6},
		{service: "slot-broker", kind: "confirmation", team: "vardtidsforbundet", share: 10, tasks: 1},
		{service: "slot-broker", kind: "reminder", team: "vardtidsforbundet", share: 15, tasks: 12},
		{service: "refunds", kind: "eligibility", team: "dyfrdwy", share: 25, tasks: 3},
		{service: "refunds", kind: "issuance", team: "dyfrdwy", share: 10, tasks: 1},
	}
}

// pick returns a kind of job by its share.
func pick() mix {
	all := mixes()
	at := rand.IntN(100)
	for _, m := range all {
		if at < m.share {
			return m
		}
		at -= m.share
	}
	return all[0]
}

// The bounds of a task's service time.
const (
	minServiceMillis = 50
	maxServiceMillis = 250
)

type taskBody struct {
	ServiceMillis int `json:"service_ms"`
}

type jobBody struct {
	Submission model.Key  `json:"submission"`
	Service    string     `json:"service"`
	Kind       string     `json:"kind"`
	Team       string     `json:"team"`
	Tasks      []taskBody `json:"tasks"`
}

type answerBody struct {
	Status  string            `json:"status"`
	Results []json.RawMessage `json:"results"`
}

// submitJobs submits jobs at the rate until the time is over and waits for the answers.
func submitJobs(c *cluster, options Options, out io.Writer) *report {
	r := newReport()
	client := &http.Client{Timeout: 15 * time.Second}
	defer client.CloseIdleConnections()
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / options.Rate))
	defer ticker.Stop()
	progress := time.NewTicker(2 * time.Second)
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

// outcome is what became of one job.
type outcome struct {
	kind     string
	status   string
	tasks    int
	ideal    time.Duration
	response time.Duration
	err      error
}

// submit sends one job and checks that the answer is whole.
func submit(client *http.Client, address string, m mix) outcome {
	key, err := model.NewKey()
	body := jobBody{Submission: key, Service: m.service, Kind: m.kind, Team: m.team}
	o := outcome{kind: m.service + "/" + m.kind, status: model.Status(nil), tasks: 1 + rand.IntN(m.tasks)}
	for range o.tasks {
		millis := minServiceMillis + rand.IntN(maxServiceMillis-minServiceMillis)
		o.ideal = max(o.ideal, time.Duration(millis)*time.Millisecond)
		body.Tasks = append(body.Tasks, taskBody{ServiceMillis: millis})
	}
	data, marshalErr := json.Marshal(body)
	if err != nil || marshalErr != nil {
		o.err = err
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
		o.err = fmt.Errorf("demo: job %s has %d results for %d tasks", key, len(answer.Results), o.tasks)
	}
	return o
}
