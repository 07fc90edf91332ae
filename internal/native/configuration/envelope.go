// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package configuration

import (
	"slices"

	"github.com/go-faster/errors"
)

// Envelope is the stored form of a change. One field is set.
type Envelope struct {
	CreateService *CreateService `json:"create_service,omitempty"`
	DropService   *DropService   `json:"drop_service,omitempty"`
	SetKind       *SetKind       `json:"set_kind,omitempty"`
	DropKind      *DropKind      `json:"drop_kind,omitempty"`
	SetTeam       *SetTeam       `json:"set_team,omitempty"`
	DropTeam      *DropTeam      `json:"drop_team,omitempty"`
	DrainWorker   *DrainWorker   `json:"drain_worker,omitempty"`
	ResumeWorker  *ResumeWorker  `json:"resume_worker,omitempty"`
}

// seal returns the stored form of a change.
func seal(change Change) Envelope {
	switch ch := change.(type) {
	case CreateService:
		return Envelope{CreateService: &ch}
	case DropService:
		return Envelope{DropService: &ch}
	case SetKind:
		return Envelope{SetKind: &ch}
	case DropKind:
		return Envelope{DropKind: &ch}
	case SetTeam:
		return Envelope{SetTeam: &ch}
	case DropTeam:
		return Envelope{DropTeam: &ch}
	case DrainWorker:
		return Envelope{DrainWorker: &ch}
	case ResumeWorker:
		return Envelope{ResumeWorker: &ch}
	default:
		return Envelope{}
	}
}

// open returns the change of a stored form, or an error for a kind of change that this version does not know.
func (e Envelope) open() (Change, error) {
	switch {
	case e.CreateService != nil:
		return *e.CreateService, nil
	case e.DropService != nil:
		return *e.DropService, nil
	case e.SetKind != nil:
		return *e.SetKind, nil
	case e.DropKind != nil:
		return *e.DropKind, nil
	case e.SetTeam != nil:
		return *e.SetTeam, nil
	case e.DropTeam != nil:
		return *e.DropTeam, nil
	case e.DrainWorker != nil:
		return *e.DrainWorker, nil
	case e.ResumeWorker != nil:
		return *e.ResumeWorker, nil
	default:
		return nil, errors.New("configuration: a change of an unknown kind")
	}
}

// Since returns the changes after a version, or false if the history does not reach back to it.
func (c Configuration) Since(version uint64) ([]Record, bool) {
	if len(c.History) == 0 || version >= c.Version || c.History[0].Version > version+1 {
		return nil, false
	}
	first := slices.IndexFunc(c.History, func(e Record) bool { return e.Version == version+1 })
	return c.History[first:], true
}

// Replay returns the configuration with the records that follow its version applied in order. It skips all others.
func (c Configuration) Replay(records []Record) (Configuration, error) {
	for _, record := range records {
		if record.Version != c.Version+1 {
			continue
		}
		change, err := record.Change.open()
		if err != nil {
			return c, err
		}
		if c, err = c.With(change, record); err != nil {
			return c, errors.Wrapf(err, "configuration: unable to replay version %d", record.Version)
		}
	}
	return c, nil
}
