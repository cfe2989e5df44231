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
	// contextWindow is the time before and after a request's lines in which a daemon's context events are shown.
	contextWindow = 2 * time.Second

	maxLogLineBytes = 64 << 10
)

// contextEvents lists the events that change a daemon's state; they are shown together with a request's lines.
var contextEvents = []string{
	"backend-server-ready", "backend-server-leaving", "backend-server-checked", "config-in-force", "config-decided",
	"control-instance-silent", "became-leader", "stepped-down", "daemon-started", "daemon-stopping", "daemon-gone",
	"peer-stream-silent", "peer-stream-closed", "request-quarantined", "disk-failed", "storage-reopened", "settings-reloaded",
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
	var events []traceLine
	for _, name := range c.Files {
		lines, err := readLog(s, name)
		if err != nil {
			return outcome{}, err
		}
		events = append(events, lines...)
	}
	report := traceReport{ID: c.ID, Lines: relatedEvents(events, c.ID)}
	if len(report.Lines) == 0 {
		return outcome{}, &refusal{fmt.Sprintf("no line of %d names request %s; lines about requests are bounded, see log-lines-left-out", len(events), c.ID)}
	}
	return outcome{value: report, text: func(p *printer) {
		for _, line := range report.Lines {
			mark := " "
			if line.Request == "" {
				mark = "~" // an event of the daemon, not of the request
			}
			p.line("%s %s %s %s %s", mark, line.Time.Format("15:04:05.000000"), line.Daemon, line.Event, line.Fields)
		}
	}}, nil
}

// relatedEvents returns the events of the request and, from the daemons that logged them, the context events
// within contextWindow.
func relatedEvents(events []traceLine, id string) []traceLine {
	daemons := map[string]bool{}
	var first, last time.Time
	for _, line := range events {
		if line.Request != id && !strings.HasPrefix(line.Request, id+".") {
			continue
		}
		daemons[line.Daemon] = true
		if first.IsZero() || line.Time.Before(first) {
			first = line.Time
		}
		if line.Time.After(last) {
			last = line.Time
		}
	}
	var related []traceLine
	for _, line := range events {
		ofRequest := line.Request == id || strings.HasPrefix(line.Request, id+".")
		inContext := daemons[line.Daemon] && slices.Contains(contextEvents, line.Event) &&
			!line.Time.Before(first.Add(-contextWindow)) && !line.Time.After(last.Add(contextWindow))
		if ofRequest || inContext {
			related = append(related, line)
		}
	}
	slices.SortStableFunc(related, func(a, b traceLine) int { return a.Time.Compare(b.Time) })
	return related
}

func readLog(s *session, name string) ([]traceLine, error) {
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
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if line, ok := parseLogLine(scanner.Text()); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, &usageError{fmt.Errorf("read %s: %w", name, err)}
	}
	return lines, nil
}

// parseLogLine reads one line of key=value pairs and skips a prefix that a log collector has added.
func parseLogLine(text string) (traceLine, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return traceLine{}, false
	}
	var line traceLine
	var fields []string
	for _, pair := range splitPairs(text[start:]) {
		key, value, found := strings.Cut(pair, "=")
		if !found {
			return traceLine{}, false
		}
		switch key {
		case "time":
			timestamp, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return traceLine{}, false
			}
			line.Time = timestamp
		case "daemon":
			line.Daemon = value
		case "event":
			line.Event = value
		case "request":
			line.Request = value
			fields = append(fields, pair)
		case "level":
		default:
			fields = append(fields, pair)
		}
	}
	line.Fields = strings.Join(fields, " ")
	return line, line.Event != ""
}

// splitPairs splits a line at the spaces outside of quotes and brackets.
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
