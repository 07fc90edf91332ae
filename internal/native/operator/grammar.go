// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package operator

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/go-faster/errors"

	"sailhead/internal/native/configuration"
)

// line is one line of the language.
type line struct {
	Show   *show   `parser:"  'show' @@"`
	Create *create `parser:"| 'create' @@"`
	Drop   *drop   `parser:"| 'drop' @@"`
	Set    *set    `parser:"| 'set' @@"`
	Drain  *string `parser:"| 'drain' 'worker' @Word"`
	Resume *string `parser:"| 'resume' 'worker' @Word"`
	Help   bool    `parser:"| @'help'"`
}

type show struct {
	Services bool         `parser:"  @'services'"`
	Kinds    *showKinds   `parser:"| @@"`
	Teams    bool         `parser:"| @'teams'"`
	Workers  bool         `parser:"| @'workers'"`
	Members  bool         `parser:"| @'members'"`
	Running  *showRunning `parser:"| @@"`
	History  *showHistory `parser:"| @@"`
}

type showKinds struct {
	Service string `parser:"'kinds' ( 'of' @Word )?"`
}

type showRunning struct {
	Worker     string `parser:"'running' ( 'on' @Word"`
	Submission string `parser:"            | 'of' @Word )?"`
}

type showHistory struct {
	Last *word `parser:"'history' ( 'last' @@ )?"`
}

type create struct {
	Service string `parser:"'service' @Word"`
}

type drop struct {
	Service *string   `parser:"  'service' @Word"`
	Kind    *kindName `parser:"| 'kind' @@"`
	Team    *string   `parser:"| 'team' @Word"`
}

type kindName struct {
	Name    string `parser:"@Word 'of'"`
	Service string `parser:"@Word"`
}

type set struct {
	Kind *setKind `parser:"  'kind' @@"`
	Team *setTeam `parser:"| 'team' @@"`
}

type setKind struct {
	Kind  kindName   `parser:"@@"`
	Parts []kindPart `parser:"@@+"`
}

type kindPart struct {
	Urgency    *word `parser:"  'urgency' @@"`
	Deadline   *word `parser:"| 'deadline' @@"`
	Expected   *word `parser:"| 'expected' @@"`
	Repeatable *word `parser:"| 'repeatable' @@"`
}

type setTeam struct {
	Name  string `parser:"@Word"`
	Quota word   `parser:"'quota' @@"`
}

// word is a word with its position in the line.
type word struct {
	Pos  lexer.Position
	Text string `parser:"@Word"`
}

// fail returns an error that points at the word.
func (w word) fail(format string, args ...any) error {
	return &SyntaxError{Column: w.Pos.Column - 1, Reason: fmt.Sprintf(format, args...)}
}

// count returns the word as a number from 0.
func (w word) count() (int, error) {
	number, err := strconv.Atoi(w.Text)
	if err != nil || number < 0 {
		return 0, w.fail("%q is not a whole number", w.Text)
	}
	return number, nil
}

// duration returns the word as a time with a unit.
func (w word) duration() (time.Duration, error) {
	span, err := time.ParseDuration(w.Text)
	if err != nil {
		return 0, w.fail("%q is not a time with a unit, such as 250ms", w.Text)
	}
	return span, nil
}

// yesNo returns the word as yes or no.
func (w word) yesNo() (bool, error) {
	if w.Text != "yes" && w.Text != "no" {
		return false, w.fail("%q is neither yes nor no", w.Text)
	}
	return w.Text == "yes", nil
}

// lookahead is how many words the parser reads ahead to choose a rule.
const lookahead = 3

var grammar = participle.MustBuild[line](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Word", Pattern: `\S+`},
		{Name: "space", Pattern: `\s+`},
	})),
	participle.UseLookahead(lookahead),
)

// SyntaxError is the error of a line that cannot be read.
type SyntaxError struct {
	Line string
	// Column is where the wrong word begins, from 0.
	Column int
	Reason string
}

// Error returns the reason above the line with a mark below the word.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("operator: %s\n  %s\n  %s^", e.Reason, e.Line, strings.Repeat(" ", e.Column))
}

// parse reads one line.
func parse(text string) (*line, error) {
	parsed, err := grammar.ParseString("", text)
	if err == nil {
		return parsed, nil
	}
	var located participle.Error
	if !errors.As(err, &located) {
		return nil, errors.Wrap(err, "operator: unable to read the line")
	}
	column := max(located.Position().Column-1, 0)
	return nil, &SyntaxError{Line: text, Column: column, Reason: reasonAt(text, column)}
}

// reasonAt returns what is wrong at a column of the line.
func reasonAt(text string, column int) string {
	rest := strings.Fields(text[min(column, len(text)):])
	if len(rest) == 0 {
		return "the line ends too early; see help"
	}
	return fmt.Sprintf("%q does not fit here; see help", rest[0])
}

// change returns the configuration change that a line asks for, or nil for a query.
func (l *line) change() (configuration.Change, error) {
	switch {
	case l.Create != nil:
		return configuration.CreateService{Name: l.Create.Service}, nil
	case l.Drop != nil:
		return l.Drop.change(), nil
	case l.Set != nil:
		return l.Set.change()
	case l.Drain != nil:
		return configuration.DrainWorker{Name: *l.Drain}, nil
	case l.Resume != nil:
		return configuration.ResumeWorker{Name: *l.Resume}, nil
	default:
		return nil, nil
	}
}

// change returns the change that a drop line asks for.
func (d *drop) change() configuration.Change {
	switch {
	case d.Service != nil:
		return configuration.DropService{Name: *d.Service}
	case d.Kind != nil:
		return configuration.DropKind{Service: d.Kind.Service, Name: d.Kind.Name}
	default:
		return configuration.DropTeam{Name: *d.Team}
	}
}

// change returns the change that a set line asks for.
func (s *set) change() (configuration.Change, error) {
	if s.Team != nil {
		quota, err := s.Team.Quota.count()
		return configuration.SetTeam{Name: s.Team.Name, Quota: quota}, err
	}
	change := configuration.SetKind{Service: s.Kind.Kind.Service, Name: s.Kind.Kind.Name}
	for _, part := range s.Kind.Parts {
		if err := part.apply(&change); err != nil {
			return nil, err
		}
	}
	return change, nil
}

// apply sets the part of a kind that the words name.
func (p kindPart) apply(change *configuration.SetKind) error {
	var err error
	switch {
	case p.Urgency != nil:
		change.Urgency, err = given(p.Urgency.count())
	case p.Deadline != nil:
		change.Deadline, err = given(p.Deadline.duration())
	case p.Expected != nil:
		change.Expected, err = given(p.Expected.duration())
	default:
		change.Repeatable, err = given(p.Repeatable.yesNo())
	}
	return err
}

// given returns a pointer to a value, for a part of a change that is given.
func given[T any](value T, err error) (*T, error) {
	return &value, err
}

// Help describes the language.
const Help = `show services                      list the services
show kinds [of SERVICE]            list the kinds of call
show teams                         list the teams with their quotas
show workers                       list the workers with their load
show members                       list the processes on the roster
show running [on WORKER|of KEY]    list what runs where
show history [last N]              list the changes of the configuration
create service SERVICE             add a service
drop service SERVICE               remove a service with its kinds
set kind KIND of SERVICE [urgency 0-9] [deadline TIME] [expected TIME] [repeatable yes|no]
                                   add a kind or change parts of it
drop kind KIND of SERVICE          remove a kind
set team TEAM quota N              add a team or change its task starts a second; 0 is no limit
drop team TEAM                     remove a team
drain worker WORKER                give the worker no new tasks
resume worker WORKER               end the draining
help                               show this text
`
