// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package demo

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"sailhead/internal/native/model"
)

const (
	// ratioScale is the number of units of a histogram in a ratio of 1.
	ratioScale = 1000
	// maxRatio is the largest ratio of response to ideal that a histogram records.
	maxRatio = 1000
	// ratioDigits is the number of significant digits of a histogram.
	ratioDigits = 3
)

// newRatios returns an empty histogram of ratios.
func newRatios() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRatio*ratioScale, ratioDigits)
}

// report counts the answers by kind. It is safe for concurrent use.
type report struct {
	mu     sync.Mutex
	kinds  map[string]*kindReport
	errors []error
}

// kindReport counts the answers of one kind.
type kindReport struct {
	jobs     int
	tasks    int
	complete int
	notRun   int
	failed   int
	// ratios are response over ideal of the complete jobs.
	ratios *hdrhistogram.Histogram
}

func newReport() *report {
	return &report{kinds: make(map[string]*kindReport)}
}

// add counts the result of a job.
func (r *report) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, ok := r.kinds[o.kind]
	if !ok {
		k = &kindReport{ratios: newRatios()}
		r.kinds[o.kind] = k
	}
	k.add(o)
	if o.err != nil {
		r.errors = append(r.errors, o.err)
	}
}

func (k *kindReport) add(o outcome) {
	k.jobs++
	k.tasks += o.tasks
	switch o.status {
	case model.Status(model.Complete{}):
		k.complete++
		// A ratio above maxRatio is not recorded; no answer within requestTimeout has one.
		_ = k.ratios.RecordValue(int64(float64(o.response) / float64(o.ideal) * ratioScale))
	case model.Status(model.NotRun{}):
		k.notRun++
	default:
		k.failed++
	}
}

// answered returns the number of jobs so far.
func (r *report) answered() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, k := range r.kinds {
		count += k.jobs
	}
	return count
}

// total returns the sums over all kinds.
func (r *report) total() kindReport {
	total := kindReport{ratios: newRatios()}
	for _, k := range r.kinds {
		total.jobs += k.jobs
		total.tasks += k.tasks
		total.complete += k.complete
		total.notRun += k.notRun
		total.failed += k.failed
		total.ratios.Merge(k.ratios)
	}
	return total
}

// write writes the table, the messages a task and the last line. Errors of the output are ignored, as in the
// other lines of the demo: its result is the error of check.
func (r *report) write(out io.Writer, c *cluster) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "kind\tjobs\ttasks\tp50/ideal\tp99/ideal\t")
	names := make([]string, 0, len(r.kinds))
	for name := range r.kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		r.kinds[name].write(table, name)
	}
	total := r.total()
	total.write(table, "all")
	_ = table.Flush()
	messages := c.messages()
	perTask := 1 / float64(max(total.tasks, 1))
	_, _ = fmt.Fprintf(out, "messages a task: %.2f needed, %.3f wasted, %.3f background\n",
		float64(messages.needed)*perTask, float64(messages.wasted)*perTask, float64(messages.background)*perTask)
	_, _ = fmt.Fprintf(out, "demo: %d complete, %d not_run, %d failed\n", total.complete, total.notRun, total.failed)
}

// write writes the kind's row of the table.
func (k *kindReport) write(out io.Writer, name string) {
	_, _ = fmt.Fprintf(out, "%s\t%d\t%d\t%.3f\t%.3f\t\n", name, k.jobs, k.tasks,
		float64(k.ratios.ValueAtPercentile(50))/ratioScale, float64(k.ratios.ValueAtPercentile(99))/ratioScale)
}

// check returns an error if a request failed, an answer was not whole or a task started twice.
func (r *report) check(c *cluster) error {
	starts := make(map[string]int)
	for _, server := range c.backends {
		for _, count := range server.Starts() {
			starts[count.Submission+"/"+count.Task] += count.Times
		}
	}
	failure := errors.Join(r.errors...)
	for task, times := range starts {
		if times > 1 {
			failure = errors.Join(failure, errors.Errorf("demo: task %s started %d times", task, times))
		}
	}
	return failure
}
