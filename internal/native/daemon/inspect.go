// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"time"

	"sailhead/internal/native/peer/peerpb"
	"sailhead/internal/timeline"
)

// inspector answers the queries of operators about a process.
type inspector struct {
	node *node
	// fill adds the fields that only the role knows.
	fill func(*peerpb.InspectResponse)
}

// Inspect returns the state of the process.
func (i *inspector) Inspect(context.Context, *peerpb.Empty) (*peerpb.InspectResponse, error) {
	response := &peerpb.InspectResponse{
		Process:              i.node.self.Name,
		Role:                 string(i.node.self.Role),
		Zone:                 i.node.self.Zone,
		RosterEpoch:          i.node.state.Roster().Epoch,
		ConfigurationVersion: i.node.state.Configuration().Version,
	}
	i.fill(response)
	return response, nil
}

// Timeline returns the recorded events that match.
func (i *inspector) Timeline(_ context.Context, request *peerpb.TimelineRequest) (*peerpb.TimelineResponse, error) {
	filter := timeline.Filter{Submission: request.GetSubmission(), Worker: request.GetWorker()}
	if since := request.GetSinceUnixNs(); since != 0 {
		filter.Since = time.Unix(0, since)
	}
	if until := request.GetUntilUnixNs(); until != 0 {
		filter.Until = time.Unix(0, until)
	}
	events, dropped := i.node.timeline.Select(filter)
	response := &peerpb.TimelineResponse{Dropped: dropped}
	for _, e := range events {
		response.Events = append(response.Events, &peerpb.Event{
			TimeUnixNs: e.Time.UnixNano(), Process: e.Process, Kind: string(e.Kind), Trace: e.Trace,
			Submission: e.Submission, Task: int32(e.Task), Worker: e.Worker, Detail: e.Detail,
		})
	}
	return response, nil
}
