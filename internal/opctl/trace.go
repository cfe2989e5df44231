package opctl

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

const (
	// traceAround is how far from the request's lines an event of a daemon counts as related.
	traceAround = 2 * time.Second

	maxLogLine = 64 << 10 // bytes
)

// around lists the events that change what a daemon believes; they are shown beside a request's lines.
var around = []string{
	"backend-server-ready", "backend-server-leaving", "backend-server-asked", "config-in-force", "config-decided",
	"control-instance-silent", "became-leader", "stepped-down", "daemon-started", "daemon-stopping", "daemon-gone",
	"lane-silent", "lane-closed", "request-quarantined", "disk-failed", "storage-reopened", "settings-reloaded",
}

type (
	traceCommand struct {
		ID    string   `arg:"positional,required" placeholder:"ID" help:"id of a request; calls that it made, whose ids begin with it, are shown too"`
		Files []string `arg:"positional,required" placeholder:"FILE" help:"log files of daemons and control instances, - for the standard input"`
	}

	// traceLine is one event of a log.
	traceLine struct {
		Time    time.Time `json:"time"`
		Daemon  string    `json:"daemon"`
		Event   string    `json:"event"`
		Request string    `json:"request,omitempty"`
		Fields  string    `json:"fields,omitempty"`
	}

	traceReport struct {
		ID    string      `json:"id"`
		Lines []traceLine `json:"lines"`
	}
)

func (*traceCommand) command() {}

func (c *traceCommand) run(s *session) (outcome, error) {
	var all []traceLine
	for _, name := range c.Files {
		lines, err := readTrace(s, name)
		if err != nil {
			return outcome{}, err
		}
		all = append(all, lines...)
	}
	report := traceReport{ID: c.ID, Lines: related(all, c.ID)}
	if len(report.Lines) == 0 {
		return outcome{}, &refusal{fmt.Sprintf("no line of %d names request %s; lines about requests are bounded, see log-lines-left-out", len(all), c.ID)}
	}
	return outcome{value: report, text: func(p *printer) {
		for _, line := range report.Lines {
			mark := " "
			if line.Request == "" {
				mark = "~" // not about the request itself
			}
			p.line("%s %s %s %s %s", mark, line.Time.Format("15:04:05.000000"), line.Daemon, line.Event, line.Fields)
		}
	}}, nil
}

// related returns the lines of the request and, from the daemons that it met, the events around them.
func related(all []traceLine, id string) []traceLine {
	daemons := map[string]bool{}
	var from, to time.Time
	for _, line := range all {
		if line.Request != id && !strings.HasPrefix(line.Request, id+".") {
			continue
		}
		daemons[line.Daemon] = true
		if from.IsZero() || line.Time.Before(from) {
			from = line.Time
		}
		if line.Time.After(to) {
			to = line.Time
		}
	}
	var found []traceLine
	for _, line := range all {
		own := line.Request == id || strings.HasPrefix(line.Request, id+".")
		near := daemons[line.Daemon] && slices.Contains(around, line.Event) &&
			!line.Time.Before(from.Add(-traceAround)) && !line.Time.After(to.Add(traceAround))
		if own || near {
			found = append(found, line)
		}
	}
	slices.SortStableFunc(found, func(a, b traceLine) int { return a.Time.Compare(b.Time) })
	return found
}

func readTrace(s *session, name string) ([]traceLine, error) {
	source := s.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, &usageError{err}
		}
		defer func() { _ = file.Close() }()
		source = file
	}
	var lines []traceLine
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if line, ok := parseTrace(scanner.Text()); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, &usageError{fmt.Errorf("read %s: %w", name, err)}
	}
	return lines, nil
}

// parseTrace reads one line of key=value pairs; what a collector of logs puts in front of it is passed over.
func parseTrace(text string) (traceLine, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return traceLine{}, false
	}
	var line traceLine
	var rest []string
	for _, pair := range splitPairs(text[start:]) {
		key, value, found := strings.Cut(pair, "=")
		if !found {
			return traceLine{}, false
		}
		switch key {
		case "time":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return traceLine{}, false
			}
			line.Time = at
		case "daemon":
			line.Daemon = value
		case "event":
			line.Event = value
		case "request":
			line.Request = value
			rest = append(rest, pair)
		case "level":
		default:
			rest = append(rest, pair)
		}
	}
	line.Fields = strings.Join(rest, " ")
	return line, line.Event != ""
}

// splitPairs splits at spaces outside of quotes and brackets.
func splitPairs(text string) []string {
	var pairs []string
	quoted, depth, start := false, 0, 0
	for i, c := range text {
		switch {
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '[':
			depth++
		case c == ']':
			depth--
		case c == ' ' && depth <= 0:
			if i > start {
				pairs = append(pairs, text[start:i])
			}
			start = i + 1
		}
	}
	return append(pairs, strings.TrimSpace(text[start:]))
}
