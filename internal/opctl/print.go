package opctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	colourRed    = "\x1b[31m"
	colourGreen  = "\x1b[32m"
	colourYellow = "\x1b[33m"
	colourOff    = "\x1b[0m"
)

// printer writes text results and keeps the first error.
type printer struct {
	out    io.Writer
	colour bool
	err    error
}

// print writes the result in the chosen format and returns the exit status.
func (s *session) print(result outcome) int {
	p := &printer{out: s.Stdout, colour: s.Colour}
	if s.Output == "json" {
		encoder := json.NewEncoder(s.Stdout)
		encoder.SetEscapeHTML(false)
		encoder.SetIndent("", "  ")
		p.err = encoder.Encode(result.value)
	} else {
		result.text(p)
	}
	if p.err != nil {
		// The reader closed the output, so the result was not delivered.
		return s.fail(&usageError{fmt.Errorf("write the result: %w", p.err)})
	}
	return result.status
}

func (p *printer) line(format string, args ...any) {
	p.write(fmt.Sprintf(format, args...) + "\n")
}

func (p *printer) colouredLine(colour, text string) {
	if p.colour {
		text = colour + text + colourOff
	}
	p.write(text + "\n")
}

func (p *printer) write(text string) {
	if p.err == nil {
		_, p.err = io.WriteString(p.out, text)
	}
}

// table writes rows with aligned columns; cells are made printable.
func (p *printer) table(rows [][]string) {
	var text strings.Builder
	writer := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = printable(cell)
		}
		_, _ = fmt.Fprintln(writer, strings.Join(cells, "\t"))
	}
	_ = writer.Flush() // writes to a strings.Builder do not fail
	for _, line := range strings.SplitAfter(text.String(), "\n") {
		if line != "" {
			p.line("%s", strings.TrimRight(line, " \n"))
		}
	}
}

// printable replaces control characters, which could move the cursor of a terminal.
func printable(text string) string {
	if text == "" {
		return "-"
	}
	return strings.Map(func(r rune) rune {
		if r < ' ' || r >= 0x7f && r < 0xa0 {
			return '?'
		}
		return r
	}, text)
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}
