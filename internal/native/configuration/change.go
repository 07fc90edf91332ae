// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package configuration

import (
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/native/model"
)

// Change is a change of the configuration: CreateService, DropService, SetKind, DropKind, SetTeam, DropTeam, DrainWorker or
// ResumeWorker.
type Change interface{ isChange() }

// CreateService adds a service without kinds.
type CreateService struct{ Name string }

// DropService removes a service with its kinds.
type DropService struct{ Name string }

// SetKind adds a kind or changes it. A nil field is left as it is, or takes its default in a new kind.
type SetKind struct {
	Service    string
	Name       string
	Urgency    *int
	Deadline   *time.Duration
	Expected   *time.Duration
	Repeatable *bool
}

// DropKind removes a kind.
type DropKind struct{ Service, Name string }

// SetTeam adds a team or changes its quota.
type SetTeam struct {
	Name  string
	Quota int
}

// DropTeam removes a team.
type DropTeam struct{ Name string }

// DrainWorker stops new tasks at a worker. Tasks that it has accepted go on.
type DrainWorker struct{ Name string }

// ResumeWorker ends the draining of a worker.
type ResumeWorker struct{ Name string }

func (CreateService) isChange() {}
func (DropService) isChange()   {}
func (SetKind) isChange()       {}
func (DropKind) isChange()      {}
func (SetTeam) isChange()       {}
func (DropTeam) isChange()      {}
func (DrainWorker) isChange()   {}
func (ResumeWorker) isChange()  {}

const (
	// maxName is the longest name, in bytes.
	maxName = 64
	// maxTime is the longest deadline of a kind.
	maxTime = time.Hour
	// maxQuota is the largest quota, in task starts a second.
	maxQuota = 10_000_000
)

// With returns the next version, with the change applied and the record in the history. On an error it returns the
// configuration as it is.
func (c Configuration) With(change Change, record Record) (Configuration, error) {
	next, err := c.apply(change)
	if err != nil {
		return c, err
	}
	record.Change = seal(change)
	return next.withRecord(record), nil
}

// apply returns the configuration with a change, in the same version.
func (c Configuration) apply(change Change) (Configuration, error) {
	switch ch := change.(type) {
	case CreateService:
		return c.createService(ch)
	case DropService:
		return c.dropService(ch)
	case SetKind:
		return c.setKind(ch)
	case DropKind:
		return c.dropKind(ch)
	case SetTeam:
		return c.setTeam(ch)
	case DropTeam:
		return c.dropTeam(ch)
	case DrainWorker:
		return c.drainWorker(ch)
	case ResumeWorker:
		return c.resumeWorker(ch)
	default:
		return c, errors.Errorf("configuration: unknown change %T", change)
	}
}

func (c Configuration) createService(ch CreateService) (Configuration, error) {
	if err := checkName(ch.Name); err != nil {
		return c, err
	}
	if _, ok := c.ServiceByName(ch.Name); ok {
		return c, errors.Errorf("configuration: service %s exists", ch.Name)
	}
	c.Services = append(slices.Clone(c.Services), Service{Name: ch.Name})
	return c, nil
}

func (c Configuration) dropService(ch DropService) (Configuration, error) {
	if _, ok := c.ServiceByName(ch.Name); !ok {
		return c, unknown("service", ch.Name)
	}
	c.Services = slices.DeleteFunc(slices.Clone(c.Services), func(s Service) bool { return s.Name == ch.Name })
	return c, nil
}

func (c Configuration) setKind(ch SetKind) (Configuration, error) {
	service, ok := c.ServiceByName(ch.Service)
	if !ok {
		return c, unknown("service", ch.Service)
	}
	kind, known := service.KindByName(ch.Name)
	if !known {
		kind = NewKind(ch.Name)
	}
	kind, err := kind.with(ch)
	if err != nil {
		return c, err
	}
	kinds := slices.Clone(service.Kinds)
	if i := slices.IndexFunc(kinds, func(k Kind) bool { return k.Name == ch.Name }); i >= 0 {
		kinds[i] = kind
	} else {
		kinds = append(kinds, kind)
	}
	return c.withKinds(ch.Service, kinds), nil
}

// with returns the kind with the fields that a change sets, or an error if one is out of range.
func (k Kind) with(ch SetKind) (Kind, error) {
	if err := checkName(ch.Name); err != nil {
		return k, err
	}
	if ch.Urgency != nil {
		k.Urgency = *ch.Urgency
	}
	if ch.Deadline != nil {
		k.Deadline = *ch.Deadline
	}
	if ch.Expected != nil {
		k.Expected = *ch.Expected
	}
	if ch.Repeatable != nil {
		k.Repeatable = *ch.Repeatable
	}
	return k, k.check()
}

// check returns an error for the first field that is out of range.
func (k Kind) check() error {
	if k.Urgency < 0 || k.Urgency > model.MaxUrgency {
		return errors.Errorf("configuration: urgency %d is not within 0 to %d", k.Urgency, model.MaxUrgency)
	}
	if k.Deadline <= 0 || k.Deadline > maxTime {
		return errors.Errorf("configuration: deadline %s is not within 0s to %s", k.Deadline, maxTime)
	}
	if k.Expected <= 0 || k.Expected > k.Deadline {
		return errors.Errorf("configuration: expected %s is not within 0s and the deadline %s", k.Expected, k.Deadline)
	}
	return nil
}

func (c Configuration) dropKind(ch DropKind) (Configuration, error) {
	service, ok := c.ServiceByName(ch.Service)
	if !ok {
		return c, unknown("service", ch.Service)
	}
	if _, ok := service.KindByName(ch.Name); !ok {
		return c, unknown("kind", ch.Name)
	}
	kinds := slices.DeleteFunc(slices.Clone(service.Kinds), func(k Kind) bool { return k.Name == ch.Name })
	return c.withKinds(ch.Service, kinds), nil
}

// withKinds returns the configuration with other kinds of a service.
func (c Configuration) withKinds(service string, kinds []Kind) Configuration {
	c.Services = slices.Clone(c.Services)
	for i := range c.Services {
		if c.Services[i].Name == service {
			c.Services[i].Kinds = kinds
		}
	}
	return c
}

func (c Configuration) setTeam(ch SetTeam) (Configuration, error) {
	if err := checkName(ch.Name); err != nil {
		return c, err
	}
	if ch.Quota < 0 || ch.Quota > maxQuota {
		return c, errors.Errorf("configuration: quota %d is not within 0 to %d", ch.Quota, maxQuota)
	}
	c.Teams = slices.DeleteFunc(slices.Clone(c.Teams), func(t Team) bool { return t.Name == ch.Name })
	c.Teams = append(c.Teams, Team(ch))
	return c, nil
}

func (c Configuration) dropTeam(ch DropTeam) (Configuration, error) {
	if _, ok := c.TeamByName(ch.Name); !ok {
		return c, unknown("team", ch.Name)
	}
	c.Teams = slices.DeleteFunc(slices.Clone(c.Teams), func(t Team) bool { return t.Name == ch.Name })
	return c, nil
}

func (c Configuration) drainWorker(ch DrainWorker) (Configuration, error) {
	if err := checkName(ch.Name); err != nil {
		return c, err
	}
	if c.IsDraining(ch.Name) {
		return c, errors.Errorf("configuration: worker %s is draining", ch.Name)
	}
	c.Draining = append(slices.Clone(c.Draining), ch.Name)
	return c, nil
}

func (c Configuration) resumeWorker(ch ResumeWorker) (Configuration, error) {
	if !c.IsDraining(ch.Name) {
		return c, errors.Errorf("configuration: worker %s is not draining", ch.Name)
	}
	c.Draining = slices.DeleteFunc(slices.Clone(c.Draining), func(name string) bool { return name == ch.Name })
	return c, nil
}

// unknown returns the error for a name that the configuration does not have.
func unknown(what, name string) error {
	return errors.Errorf("configuration: no such %s: %s", what, name)
}

// checkName returns an error for a name that is empty, too long or has characters that the language does not allow.
func checkName(name string) error {
	if len(name) == 0 || len(name) > maxName || strings.ContainsAny(name, " \t\r\n\"/") {
		return errors.Errorf("configuration: %q is not a name of 1 to %d characters without spaces", name, maxName)
	}
	return nil
}
