package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"
)

type (
	// Report is the result of one measurement.
	Report struct {
		Command string   `json:"command"`
		Machine string   `json:"machine"`
		Date    string   `json:"date"`
		Load    []string `json:"load"` // load averages over one minute, before and after
		Took    string   `json:"took"`
		Tables  []*Table `json:"tables"`
	}

	// Table is a table of a report; every row has one cell for each column.
	Table struct {
		Title   string     `json:"title"`
		Columns []string   `json:"columns"`
		Rows    [][]string `json:"rows"`
		Notes   []string   `json:"notes,omitempty"`
	}
)

func newReport(args []string) *Report {
	return &Report{
		Command: "buckthornbench " + strings.Join(args, " "),
		Machine: fmt.Sprintf("%s, %d cores, %s/%s, %s", processorModel(), runtime.NumCPU(), runtime.GOOS, runtime.GOARCH, runtime.Version()),
		Date:    time.Now().Format("2006-01-02 15:04"),
		Load:    []string{loadAverage()},
	}
}

func (r *Report) finish(started time.Time) {
	r.Load = append(r.Load, loadAverage())
	r.Took = time.Since(started).Round(time.Second).String()
}

// addTable adds a table to the report.
func (r *Report) addTable(title string, columns ...string) *Table {
	t := &Table{Title: title, Columns: columns}
	r.Tables = append(r.Tables, t)
	return t
}

// addRow adds a row; durations are in milliseconds with three decimals, floating-point numbers have four
// significant digits.
func (t *Table) addRow(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, cell := range cells {
		switch cell := cell.(type) {
		case time.Duration:
			row = append(row, fmt.Sprintf("%.3f ms", float64(cell)/float64(time.Millisecond)))
		case float64:
			row = append(row, fmt.Sprintf("%.4g", cell))
		default:
			row = append(row, fmt.Sprint(cell))
		}
	}
	t.Rows = append(t.Rows, row)
}

func (t *Table) addNote(format string, values ...any) {
	t.Notes = append(t.Notes, fmt.Sprintf(format, values...))
}

func (r *Report) write(w io.Writer, format string) error {
	if format == "json" {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	if _, err := fmt.Fprintf(w, "%s\n%s\n%s, load average %s, took %s\n", r.Command, r.Machine, r.Date, strings.Join(r.Load, " to "), r.Took); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	for _, t := range r.Tables {
		_, _ = fmt.Fprintf(w, "\n%s\n", t.Title)
		columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		for _, row := range append([][]string{t.Columns}, t.Rows...) {
			_, _ = fmt.Fprintln(columns, strings.Join(row, "\t"))
		}
		if err := columns.Flush(); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
		for _, note := range t.Notes {
			_, _ = fmt.Fprintln(w, note)
		}
	}
	return nil
}

// loadAverage returns the load average over one minute.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(text), " ")
	return first
}

func processorModel() string {
	text, err := os.ReadFile("/proc/cpuinfo")
	if err != nil {
		return "unknown processor"
	}
	for line := range strings.Lines(string(text)) {
		if name, value, found := strings.Cut(line, ":"); found && strings.TrimSpace(name) == "model name" {
			return strings.TrimSpace(value)
		}
	}
	return "unknown processor"
}
