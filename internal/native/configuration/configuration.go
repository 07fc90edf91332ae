// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package configuration has the operators' configuration: services with their kinds, teams with their quotas, and the
// workers that are drained. A Configuration is an immutable value; With returns the next version with a change
// (change.go), and each version has the last HistoryLength changes, so that a process that is behind by fewer replays
// them (envelope.go).
//
// The package owns no state. The platform stores the configuration as JSON, processes keep the latest version that they
// have seen, and package operator makes the changes.
package configuration

import (
	"slices"
	"time"

	"sailhead/internal/native/model"
)

// HistoryLength is the number of changes in a configuration's history.
const HistoryLength = 200

// Configuration is one version of the configuration.
type Configuration struct {
	Version  uint64    `json:"version"`
	Services []Service `json:"services"`
	Teams    []Team    `json:"teams"`
	Draining []string  `json:"draining"`
	History  []Record  `json:"history"`
}

// Service is a service of the backend servers with its kinds.
type Service struct {
	Name  string `json:"name"`
	Kinds []Kind `json:"kinds"`
}

// Kind is a kind of job.
type Kind struct {
	Name string `json:"name"`
	// Urgency runs from 0 to model.MaxUrgency; the higher goes first.
	Urgency int `json:"urgency"`
	// Deadline is the deadline of jobs that name none, from their arrival.
	Deadline time.Duration `json:"deadline_ns"`
	// Expected is the usual service time of a task, used until it has been measured.
	Expected time.Duration `json:"expected_ns"`
	// Repeatable is set if callers may submit a job again after an unknown outcome.
	Repeatable bool `json:"repeatable"`
}

// Team is a client team with its quota.
type Team struct {
	Name string `json:"name"`
	// Quota is the largest number of task starts a second, or 0 for no limit.
	Quota int `json:"quota"`
}

// Record is a change in the history.
type Record struct {
	Version uint64    `json:"version"`
	ID      string    `json:"id"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	Line    string    `json:"line"`
	Change  Envelope  `json:"change"`
}

// The defaults of a kind.
const (
	DefaultUrgency  = 5
	DefaultDeadline = 5 * time.Second
	DefaultExpected = 200 * time.Millisecond
)

// NewKind returns a kind with the defaults.
func NewKind(name string) Kind {
	return Kind{Name: name, Urgency: DefaultUrgency, Deadline: DefaultDeadline, Expected: DefaultExpected}
}

// ServiceByName returns the service.
func (c Configuration) ServiceByName(name string) (Service, bool) {
	return byName(c.Services, name, func(s Service) string { return s.Name })
}

// KindByName returns the kind of the service.
func (s Service) KindByName(name string) (Kind, bool) {
	return byName(s.Kinds, name, func(k Kind) string { return k.Name })
}

// TeamByName returns the team.
func (c Configuration) TeamByName(name string) (Team, bool) {
	return byName(c.Teams, name, func(t Team) string { return t.Name })
}

// IsDraining reports whether operators drain the worker.
func (c Configuration) IsDraining(worker string) bool {
	return slices.Contains(c.Draining, worker)
}

// RecordByID returns the change with the id, if the history has it.
func (c Configuration) RecordByID(id string) (Record, bool) {
	return byName(c.History, id, func(e Record) string { return e.ID })
}

// Check returns the job's kind, or the field of the job that names an unknown service, kind or team.
func (c Configuration) Check(job model.Job) (Kind, model.Rejected, bool) {
	service, ok := c.ServiceByName(job.Service)
	if !ok {
		return Kind{}, model.Rejected{Field: "service", Reason: "no such service"}, false
	}
	kind, ok := service.KindByName(job.Kind)
	if !ok {
		return Kind{}, model.Rejected{Field: "kind", Reason: "the service has no such kind"}, false
	}
	if _, ok := c.TeamByName(job.Team); !ok {
		return Kind{}, model.Rejected{Field: "team", Reason: "no such team"}, false
	}
	return kind, model.Rejected{}, true
}

// withRecord returns the next version with the change in its history.
func (c Configuration) withRecord(record Record) Configuration {
	c.Version++
	record.Version = c.Version
	c.History = append(slices.Clone(c.History), record)
	if len(c.History) > HistoryLength {
		c.History = c.History[len(c.History)-HistoryLength:]
	}
	return c
}

// byName returns the first element with the name.
func byName[T any](all []T, name string, nameOf func(T) string) (T, bool) {
	i := slices.IndexFunc(all, func(each T) bool { return nameOf(each) == name })
	if i < 0 {
		var none T
		return none, false
	}
	return all[i], true
}
