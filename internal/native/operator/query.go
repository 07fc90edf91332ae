// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package operator

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"sailhead/internal/native/configuration"
	"sailhead/internal/native/ownership"
	"sailhead/internal/native/peer/peerpb"
)

const (
	// inspectTimeout is the longest wait for the answer of one process.
	inspectTimeout = 2 * time.Second
	// maxInspections is the largest number of processes that are asked at the same time.
	maxInspections = 32
	// timeFormat is the form of times in tables, in UTC.
	timeFormat = "2006-01-02T15:04:05.000Z"
)

// query answers a show line.
func (s *Session) query(ctx context.Context, q *show) (Result, error) {
	switch {
	case q.Workers:
		return s.workers(ctx)
	case q.Members:
		return s.members(ctx)
	case q.Running != nil:
		return s.running(ctx, q.Running)
	}
	c, err := s.currentConfiguration(ctx)
	if err != nil {
		return nil, err
	}
	switch {
	case q.Services:
		return services(c), nil
	case q.Kinds != nil:
		return kinds(c, q.Kinds.Service), nil
	case q.Teams:
		return teams(c), nil
	default:
		return q.History.table(c)
	}
}

// table lists the changes that the line asks for.
func (h *showHistory) table(c configuration.Configuration) (Result, error) {
	if h.Last == nil {
		return history(c, 0), nil
	}
	last, err := h.Last.count()
	if err != nil {
		return nil, err
	}
	return history(c, last), nil
}

// services lists the services.
func services(c configuration.Configuration) Table {
	t := Table{Columns: []string{"service", "kinds"}}
	for _, service := range c.Services {
		t.Rows = append(t.Rows, []string{service.Name, strconv.Itoa(len(service.Kinds))})
	}
	return t
}

// kinds lists the kinds of a service, or of all services if none is named.
func kinds(c configuration.Configuration, of string) Table {
	t := Table{Columns: []string{"service", "kind", "urgency", "deadline", "expected", "repeatable"}}
	for _, service := range c.Services {
		if of != "" && of != service.Name {
			continue
		}
		for _, k := range service.Kinds {
			t.Rows = append(t.Rows, []string{
				service.Name, k.Name, strconv.Itoa(k.Urgency), k.Deadline.String(), k.Expected.String(), yes(k.Repeatable),
			})
		}
	}
	return t
}

// teams lists the teams.
func teams(c configuration.Configuration) Table {
	t := Table{Columns: []string{"team", "quota"}}
	for _, team := range c.Teams {
		t.Rows = append(t.Rows, []string{team.Name, strconv.Itoa(team.Quota)})
	}
	return t
}

// history lists the last changes, the latest at the end. If last is 0, it lists all changes that the configuration has.
func history(c configuration.Configuration, last int) Table {
	t := Table{Columns: []string{"version", "time", "author", "change", "line"}}
	entries := c.History
	if last > 0 && last < len(entries) {
		entries = entries[len(entries)-last:]
	}
	for _, e := range entries {
		t.Rows = append(t.Rows, []string{strconv.FormatUint(e.Version, 10), e.Time.Format(timeFormat), e.Author, e.ID, e.Line})
	}
	return t
}

// yes returns the word for a truth value.
func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// members lists the roster.
func (s *Session) members(ctx context.Context) (Result, error) {
	roster, err := s.currentRoster(ctx)
	if err != nil {
		return nil, err
	}
	t := Table{Columns: []string{"name", "role", "zone", "address", "joined", "state"}}
	for _, m := range roster.Members {
		t.Rows = append(t.Rows, []string{
			m.Name, string(m.Role), m.Zone, m.Address, strconv.FormatUint(m.Joined, 10), memberState(m),
		})
	}
	return t, nil
}

// memberState returns the word for a member's state on the roster.
func memberState(m ownership.Member) string {
	switch {
	case !m.IsListed():
		return string(m.Removal)
	case m.Leaving:
		return "leaving"
	default:
		return "listed"
	}
}

// inspected is a member with its answer to an inspection, or the error of the call.
type inspected struct {
	member   ownership.Member
	response *peerpb.InspectResponse
	err      error
}

// inspect asks all listed agents for their state, maxInspections at the same time.
func (s *Session) inspect(ctx context.Context) ([]inspected, error) {
	roster, err := s.currentRoster(ctx)
	if err != nil {
		return nil, err
	}
	agents := roster.Listed(ownership.RoleAgent)
	answers := make([]inspected, len(agents))
	turns := make(chan struct{}, maxInspections)
	var group sync.WaitGroup
	for i, agent := range agents {
		turns <- struct{}{}
		group.Go(func() {
			defer func() { <-turns }()
			ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
			defer cancel()
			response, err := s.peers.Inspect(ctx, agent.Address)
			answers[i] = inspected{member: agent, response: response, err: err}
		})
	}
	group.Wait()
	return answers, nil
}

// workers lists the workers with their loads.
func (s *Session) workers(ctx context.Context) (Result, error) {
	answers, err := s.inspect(ctx)
	if err != nil {
		return nil, err
	}
	t := Table{Columns: []string{"worker", "zone", "slots", "running", "queued", "submissions", "version", "state"}}
	for _, a := range answers {
		if a.err != nil {
			t.Rows = append(t.Rows, []string{a.member.Name, a.member.Zone, "", "", "", "", "", "unreachable"})
			t.Warnings = append(t.Warnings, a.err.Error())
			continue
		}
		t.Rows = append(t.Rows, workerRow(a))
	}
	return t, nil
}

// workerRow returns the row of a worker whose agent has answered.
func workerRow(a inspected) []string {
	load := a.response.GetLoad()
	queued := uint32(0)
	for _, each := range load.GetQueued() {
		queued += each
	}
	state := "serving"
	if load.GetLeaving() {
		state = "draining"
	}
	return []string{
		a.member.Name, a.member.Zone, fmt.Sprint(load.GetSlots()), fmt.Sprint(load.GetRunning()), fmt.Sprint(queued),
		fmt.Sprint(a.response.GetSubmissions()), fmt.Sprint(a.response.GetConfigurationVersion()), state,
	}
}

// running lists the tasks that run or wait, as their agents report them.
func (s *Session) running(ctx context.Context, q *showRunning) (Result, error) {
	answers, err := s.inspect(ctx)
	if err != nil {
		return nil, err
	}
	t := Table{Columns: []string{"worker", "submission", "task", "kind", "owner", "state", "since"}}
	for _, a := range answers {
		if q.Worker != "" && q.Worker != a.member.Name {
			continue
		}
		if a.err != nil {
			t.Warnings = append(t.Warnings, a.err.Error())
			continue
		}
		for _, task := range a.response.GetTasks() {
			if q.Submission == "" || q.Submission == task.GetKey() {
				t.Rows = append(t.Rows, taskRow(a.member.Name, task))
			}
		}
	}
	slices.SortFunc(t.Rows, slices.Compare[[]string])
	return t, nil
}

// taskRow returns the row of a running or waiting task.
func taskRow(worker string, task *peerpb.RunningTask) []string {
	state := "running"
	if task.GetQueued() {
		state = "queued"
	}
	since := time.Unix(0, task.GetSinceUnixNs()).UTC().Format(timeFormat)
	return []string{worker, task.GetKey(), fmt.Sprint(task.GetTask()), task.GetKind(), task.GetOwner(), state, since}
}
