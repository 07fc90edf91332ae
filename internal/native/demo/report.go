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

// ratioScale is the number of histogram units in a ratio of 1.
const ratioScale = 1000

// report counts the answers by kind.
type report struct {
	mu     sync.Mutex
	kinds  map[string]*kindReport
	errors []error
}

type kindReport struct {
	jobs     int
	tasks    int
	complete int
	notRun   int
	failed   int
	ratios   *hdrhistogram.Histogram
}

func newReport() *report {
	return &report{kinds: make(map[string]*kindReport)}
}

func (r *report) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, ok := r.kinds[o.kind]
	if !ok {
		k = &kindReport{ratios: hdrhistogram.New(1, 1000*ratioScale, 3)}
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
		_ = k.ratios.RecordValue(int64(float64(o.response) / float64(o.ideal) * ratioScale))
	case model.Status(model.NotRun{}):
		k.notRun++
	default:
		k.failed++
	}
}

func (r *report) answered() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, k := range r.kinds {
		count += k.jobs
	}
	return count
}

// total sums the kinds up.
func (r *report) total() kindReport {
	total := kindReport{ratios: hdrhistogram.New(1, 1000*ratioScale, 3)}
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

// write writes the table and the last line.
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
	needed, wasted, background := c.messages()
	perTask := 1 / float64(max(total.tasks, 1))
	_, _ = fmt.Fprintf(out, "messages a task: %.2f needed, %.3f wasted, %.3f background\n",
		float64(needed)*perTask, float64(wasted)*perTask, float64(background)*perTask)
	_, _ = fmt.Fprintf(out, "demo: %d complete, %d not_run, %d failed\n", total.complete, total.notRun, total.failed)
}

func (k *kindReport) write(out io.Writer, name string) {
	_, _ = fmt.Fprintf(out, "%s\t%d\t%d\t%.3f\t%.3f\t\n", name, k.jobs, k.tasks,
		float64(k.ratios.ValueAtPercentile(50))/ratioScale, float64(k.ratios.ValueAtPercentile(99))/ratioScale)
}

// check fails the demo if an answer was not whole or a task started twice.
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
