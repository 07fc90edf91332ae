// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package timeline

import (
	"bufio"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logfmt/logfmt"
)

// Line is one line of a process's log.
type Line struct {
	Time    time.Time
	Process string
	Message string
	// Fields are the other fields in their order, without level and part.
	Fields []Field
}

// Field is a name and a value of a line.
type Field struct {
	Name  string
	Value string
}

// Value returns the value of a field; nothing if the line has none of the name.
func (l Line) Value(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// maxLogLine is the longest line that is read, in bytes.
const maxLogLine = 1 << 20

// ReadLogs reads the log lines of any processes. Lines without a time or a process, as other programs may write
// between them, are passed over.
func ReadLogs(in io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	var lines []Line
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Text()); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "timeline: unable to read a log")
	}
	return lines, nil
}

func parseLine(text string) (line Line, ok bool) {
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	if !decoder.ScanRecord() {
		return Line{}, false
	}
	for decoder.ScanKeyval() {
		name, value := string(decoder.Key()), string(decoder.Value())
		switch {
		case value == "" || name == "level" || name == "part":
		case name == "time":
			line.Time, _ = time.Parse(time.RFC3339Nano, value)
		case name == "process":
			line.Process = value
		case name == "msg":
			line.Message = value
		default:
			line.Fields = append(line.Fields, Field{Name: name, Value: value})
		}
	}
	return line, decoder.Err() == nil && !line.Time.IsZero() && line.Process != ""
}

// JobMargin is the time before and after a job's own lines in which what its processes believed may tell the cause.
const JobMargin = time.Second

// FollowJob returns, in the order of their clocks, the lines of a job and of its tasks, and what the processes that
// these name believed about others meanwhile: lines that are about no other job.
func FollowJob(lines []Line, job string) []Line {
	var own []Line
	for _, line := range lines {
		if line.isAbout(job) {
			own = append(own, line)
		}
	}
	if len(own) == 0 {
		return nil
	}
	sortLines(own)
	involved := involvedIn(own, processesOf(lines))
	from, to := own[0].Time.Add(-JobMargin), own[len(own)-1].Time.Add(JobMargin)
	for _, line := range lines {
		if line.isBelief() && !line.Time.Before(from) && !line.Time.After(to) && line.concerns(involved) {
			own = append(own, line)
		}
	}
	sortLines(own)
	return own
}

// Between returns the lines within a span, in the order of their clocks; a zero time is no bound.
func Between(lines []Line, since, until time.Time) []Line {
	var selected []Line
	for _, line := range lines {
		if (since.IsZero() || !line.Time.Before(since)) && (until.IsZero() || !line.Time.After(until)) {
			selected = append(selected, line)
		}
	}
	sortLines(selected)
	return selected
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// isAbout reports whether a line is of a job or of one of its tasks.
func (l Line) isAbout(job string) bool {
	return l.Value("job") == job || strings.HasPrefix(l.Value("task"), job+".") || strings.HasSuffix(l.Value("path"), "/"+job)
}

// isBelief reports whether a line is about no single request.
func (l Line) isBelief() bool {
	return l.Value("job") == "" && l.Value("task") == "" && l.Value("path") == ""
}

func processesOf(lines []Line) map[string]bool {
	processes := make(map[string]bool)
	for _, line := range lines {
		processes[line.Process] = true
	}
	return processes
}

// involvedIn returns the processes that wrote lines, or whose names are words of their fields.
func involvedIn(lines []Line, processes map[string]bool) map[string]bool {
	involved := make(map[string]bool)
	for _, line := range lines {
		involved[line.Process] = true
		for _, field := range line.Fields {
			for word := range strings.FieldsSeq(field.Value) {
				if processes[word] {
					involved[word] = true
				}
			}
		}
	}
	return involved
}

// concerns reports whether a line is of a process that is involved and, if it names an agent, about one that is.
func (l Line) concerns(involved map[string]bool) bool {
	agent := l.Value("agent")
	return involved[l.Process] && (agent == "" || involved[agent])
}
