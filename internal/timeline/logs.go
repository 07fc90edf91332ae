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
	// Time is on the clock of the process.
	Time    time.Time
	Process string
	Message string
	// Fields are the other fields in their order, except level, part and empty ones.
	Fields []Field
}

// Field is one name=value pair of a line.
type Field struct {
	Name  string
	Value string
}

// Value returns the value of a field, or empty text if the line has no such field.
func (l Line) Value(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// maxLogLine is the longest line that can be read, in bytes.
const maxLogLine = 1 << 20

// ReadLogs reads log lines, which may be of several processes. Lines without a time or a process are skipped: other
// programs may write to the same file. It returns an error if in fails or a line is longer than 1 MiB.
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

// parseLine parses a line, or returns false if it is no log line of a process. A time that cannot be parsed stays zero and
// makes it no log line.
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

// jobMargin is how long before and after the lines of a job FollowJob includes lines about the state of processes.
const jobMargin = time.Second

// FollowJob returns the lines about a job and its tasks, ordered by time. It adds lines about the state of processes, such
// as a lost session, that were written by the processes involved from jobMargin before to jobMargin after. It returns nil
// if no line names the job.
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
	from, to := own[0].Time.Add(-jobMargin), own[len(own)-1].Time.Add(jobMargin)
	for _, line := range lines {
		if line.isProcessState() && !line.Time.Before(from) && !line.Time.After(to) && line.concerns(involved) {
			own = append(own, line)
		}
	}
	sortLines(own)
	return own
}

// Between returns the lines from since to until, ordered by time. A zero time is no bound.
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

// sortLines orders lines by time and keeps the order of lines with equal times.
func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// isAbout reports whether a line names a job or one of its tasks.
func (l Line) isAbout(job string) bool {
	return l.Value("job") == job || strings.HasPrefix(l.Value("task"), job+".") ||
		strings.HasSuffix(l.Value("path"), "/"+job) || slices.Contains(strings.Split(l.Value("jobs"), ","), job)
}

// isProcessState reports whether a line is about the state of processes, not about a single request.
func (l Line) isProcessState() bool {
	return l.Value("job") == "" && l.Value("jobs") == "" && l.Value("task") == "" && l.Value("path") == ""
}

// processesOf returns the processes that wrote lines.
func processesOf(lines []Line) map[string]bool {
	processes := make(map[string]bool)
	for _, line := range lines {
		processes[line.Process] = true
	}
	return processes
}

// involvedIn returns the processes that wrote lines or whose names are words in their fields.
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

// concerns reports whether an involved process wrote the line and, if it names an agent, that agent is involved.
func (l Line) concerns(involved map[string]bool) bool {
	agent := l.Value("agent")
	return involved[l.Process] && (agent == "" || involved[agent])
}
