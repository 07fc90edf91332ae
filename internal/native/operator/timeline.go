// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package operator

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"sailhead/internal/native/peer/peerpb"
)

// TimelineQuery selects events of all processes. An empty field selects all.
type TimelineQuery struct {
	Submission string
	Worker     string
	Since      time.Time
	Until      time.Time
}

// Timeline returns the events of all listed processes, ordered by the clocks of the processes, which may differ.
func (s *Session) Timeline(ctx context.Context, query TimelineQuery) (Result, error) {
	roster, err := s.currentRoster(ctx)
	if err != nil {
		return nil, err
	}
	request := &peerpb.TimelineRequest{Submission: query.Submission, Worker: query.Worker}
	if !query.Since.IsZero() {
		request.SinceUnixNs = query.Since.UnixNano()
	}
	if !query.Until.IsZero() {
		request.UntilUnixNs = query.Until.UnixNano()
	}
	t := Table{Columns: []string{"time", "process", "event", "submission", "task", "worker", "trace", "detail"}}
	var events []*peerpb.Event
	for _, m := range roster.Members {
		if !m.IsListed() {
			continue
		}
		response, err := s.timelineOf(ctx, m.Address, request)
		if err != nil {
			t.Warnings = append(t.Warnings, err.Error())
			continue
		}
		events = append(events, response.GetEvents()...)
		if dropped := response.GetDropped(); dropped > 0 {
			t.Warnings = append(t.Warnings, fmt.Sprintf("%s has overwritten %d events", m.Name, dropped))
		}
	}
	slices.SortStableFunc(events, func(a, b *peerpb.Event) int { return cmp.Compare(a.GetTimeUnixNs(), b.GetTimeUnixNs()) })
	for _, e := range events {
		t.Rows = append(t.Rows, eventRow(e))
	}
	return t, nil
}

// timelineOf returns the events of one process.
func (s *Session) timelineOf(ctx context.Context, address string, request *peerpb.TimelineRequest) (*peerpb.TimelineResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	return s.peers.Timeline(ctx, address, request)
}

// eventRow returns the row of an event.
func eventRow(e *peerpb.Event) []string {
	task := ""
	if e.GetTask() >= 0 {
		task = fmt.Sprint(e.GetTask())
	}
	at := time.Unix(0, e.GetTimeUnixNs()).UTC().Format("15:04:05.000000")
	return []string{at, e.GetProcess(), e.GetKind(), e.GetSubmission(), task, e.GetWorker(), e.GetTrace(), e.GetDetail()}
}
