// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package caller

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/native/model"
)

const (
	// maxName is the longest name of a service, kind or team, in bytes.
	maxName = 64
	// maxDeadline is how far ahead a deadline may lie.
	maxDeadline = time.Hour
	// firstAttempt is the attempt of a request that names none.
	firstAttempt = 1
)

// errDeadline is the error of a deadline that is not a time.
var errDeadline = errors.New("caller: the deadline is not a time")

// deadline is a point in time in RFC 3339 form.
type deadline struct{ time.Time }

// UnmarshalJSON reads the deadline or returns errDeadline.
func (d *deadline) UnmarshalJSON(text []byte) error {
	if d.Time.UnmarshalJSON(text) != nil {
		return errDeadline
	}
	return nil
}

// request is the body of POST /v1/jobs.
type request struct {
	Submission string            `json:"submission"`
	Attempt    *uint32           `json:"attempt"`
	Service    string            `json:"service"`
	Kind       string            `json:"kind"`
	Team       string            `json:"team"`
	Deadline   *deadline         `json:"deadline"`
	Tasks      []json.RawMessage `json:"tasks"`
}

// parse reads a job from a body, or returns which field is wrong.
func parse(body []byte, trace string, now time.Time) (model.Job, *model.Rejected) {
	var r request
	if rejected := decode(body, &r); rejected != nil {
		return model.Job{}, rejected
	}
	if rejected := r.check(now); rejected != nil {
		return model.Job{}, rejected
	}
	return r.job(trace), nil
}

// decode reads a body that must be one JSON value without unknown fields, or returns which field is wrong.
func decode(body []byte, r *request) *model.Rejected {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(r)
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrongType):
		return reject(fieldOf(wrongType.Field), "needs another type than "+wrongType.Value)
	case errors.Is(err, errDeadline):
		return reject("deadline", "needs a time such as 2006-01-02T15:04:05.5Z")
	case err != nil && strings.HasPrefix(err.Error(), "json: unknown field "):
		return reject(strings.Trim(strings.TrimPrefix(err.Error(), "json: unknown field "), `"`), "is unknown")
	case err != nil:
		return reject("body", "is not JSON: "+err.Error())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return reject("body", "holds more than one JSON value")
	}
	return nil
}

// fieldOf returns the name of a field for its path in the body, which is empty for the body itself.
func fieldOf(path string) string {
	if path == "" {
		return "body"
	}
	return path
}

func reject(field, reason string) *model.Rejected {
	return &model.Rejected{Field: field, Reason: reason}
}

// check returns the first field that is missing or out of range, or nil.
func (r *request) check(now time.Time) *model.Rejected {
	switch {
	case !model.Key(r.Submission).IsValid():
		return reject("submission", "needs 1 to 128 printable ASCII characters without spaces and slashes")
	case r.Attempt != nil && *r.Attempt == 0:
		return reject("attempt", "counts from 1")
	case !isName(r.Service):
		return reject("service", "needs a name of 1 to 64 characters")
	case !isName(r.Kind):
		return reject("kind", "needs a name of 1 to 64 characters")
	case !isName(r.Team):
		return reject("team", "needs a name of 1 to 64 characters")
	case r.Deadline != nil && r.Deadline.After(now.Add(maxDeadline)):
		return reject("deadline", "lies more than an hour ahead")
	case len(r.Tasks) == 0:
		return reject("tasks", "needs at least one task")
	case len(r.Tasks) > model.MaxTasks:
		return reject("tasks", "holds more than 1800 tasks")
	default:
		return nil
	}
}

// isName reports whether a name of a service, kind or team is well-formed.
func isName(name string) bool {
	return len(name) > 0 && len(name) <= maxName && !strings.ContainsAny(name, " /?#\t\r\n")
}

// job returns the job that a checked request asks for.
func (r *request) job(trace string) model.Job {
	job := model.Job{
		Key: model.Key(r.Submission), Attempt: firstAttempt, Service: r.Service, Kind: r.Kind, Team: r.Team,
		Tasks: make([][]byte, len(r.Tasks)), Trace: trace,
	}
	if r.Attempt != nil {
		job.Attempt = *r.Attempt
	}
	if r.Deadline != nil {
		job.Deadline = r.Deadline.Time
	}
	for i, payload := range r.Tasks {
		job.Tasks[i] = payload
	}
	return job
}
