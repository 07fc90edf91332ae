// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

// Result is the answer to a line: Table, Committed or Text.
type Result interface{ isResult() }

// Table is the answer to a query.
type Table struct {
	Columns []string
	Rows    [][]string
	// Warnings are the errors of processes that did not answer, and the names of those whose events are incomplete.
	Warnings []string
}

// Committed is the answer to a change that the platform has stored.
type Committed struct {
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	Change   string `json:"change"`
}

// Text is an answer in words.
type Text struct{ Text string }

func (Table) isResult()     {}
func (Committed) isResult() {}
func (Text) isResult()      {}

// Write writes a result for people.
func Write(out io.Writer, result Result) error {
	switch r := result.(type) {
	case Table:
		return r.write(out)
	case Committed:
		_, err := fmt.Fprintf(out, "committed version %d revision %d\n", r.Version, r.Revision)
		return err
	case Text:
		_, err := io.WriteString(out, r.Text)
		return err
	default:
		return errors.Errorf("operator: unknown result %T", result)
	}
}

// write writes the table with aligned columns, and the warnings below it.
func (t Table) write(out io.Writer) error {
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	writeRow(writer, t.Columns)
	for _, row := range t.Rows {
		writeRow(writer, row)
	}
	if err := writer.Flush(); err != nil {
		return errors.Wrap(err, "operator: unable to write the table")
	}
	for _, warning := range t.Warnings {
		if _, err := fmt.Fprintln(out, "warning:", warning); err != nil {
			return err
		}
	}
	return nil
}

// writeRow writes a row. The writer buffers it; Flush returns the errors of writing.
func writeRow(out io.Writer, cells []string) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = io.WriteString(out, "\t")
		}
		_, _ = io.WriteString(out, cell)
	}
	_, _ = io.WriteString(out, "\n")
}

// WriteJSON writes a result as one line of JSON.
func WriteJSON(out io.Writer, result Result) error {
	encoder := json.NewEncoder(out)
	switch r := result.(type) {
	case Table:
		return encoder.Encode(r.objects())
	case Committed:
		return encoder.Encode(r)
	case Text:
		return encoder.Encode(r.Text)
	default:
		return errors.Errorf("operator: unknown result %T", result)
	}
}

// tableJSON is the JSON form of a table. Each row is an object with the columns as names.
type tableJSON struct {
	Rows     []map[string]string `json:"rows"`
	Warnings []string            `json:"warnings,omitempty"`
}

// objects returns the table in its JSON form.
func (t Table) objects() tableJSON {
	objects := tableJSON{Rows: make([]map[string]string, 0, len(t.Rows)), Warnings: t.Warnings}
	for _, row := range t.Rows {
		object := make(map[string]string, len(row))
		for i, cell := range row {
			object[t.Columns[i]] = cell
		}
		objects.Rows = append(objects.Rows, object)
	}
	return objects
}
