package rules

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

const (
	// MaxFile is the largest rules file in bytes; a proposal with a file of this size fits into one log entry.
	MaxFile = 2 << 20
	// MaxLine is the longest line of a rules file in bytes.
	MaxLine = 4 << 10

	// maxProblems is the number of problems after which Parse stops. Reporting every problem of a file of
	// one-letter lines took 2 s.
	maxProblems = 1000

	maxServices = 2_000 // the design size is 360
	maxAccounts = 20_000
	maxKeys     = 40_000
	maxRoutes   = 20_000

	requesterMark = "requested by "
	maxRequester  = 100 // characters
	maxReason     = 500 // characters
)

type (
	// parser is the state of one Parse call.
	parser struct {
		file       string
		set        *Set
		lines      []string
		lineNumber int    // of the current line, from 1
		line       string // the current line
		words      []word // of the current line, before the requester
		problems   Problems

		names  map[ruleKey]int // the line that declared each name
		hashes map[Hash]int    // the line that listed each key
	}

	word struct {
		text   string
		offset int // in bytes, within the line
	}
)

// Parse returns the set that text describes; the error is Problems and lists every error of the file.
func Parse(name string, text []byte) (*Set, error) {
	p := &parser{file: name, names: map[ruleKey]int{}, hashes: map[Hash]int{}, set: &Set{
		Services: map[string]*Service{},
		Accounts: map[string]*Account{},
		keys:     keyIndex{},
	}}
	if len(text) > MaxFile {
		p.addProblem(1, 1, fmt.Sprintf("the file has %d bytes, the limit is %d", len(text), MaxFile),
			"remove rules and comments that are no longer needed")
		return nil, p.problems
	}
	p.lines = strings.Split(string(text), "\n")
	for i, line := range p.lines {
		p.lineNumber, p.line = i+1, strings.TrimSuffix(line, "\r")
		p.lines[i] = p.line
		p.parseLine()
		if len(p.problems) >= maxProblems {
			p.addProblem(p.lineNumber, 1, fmt.Sprintf("the check ends here after %d problems", len(p.problems)),
				"fix the listed problems and check again")
			return nil, p.problems
		}
	}
	p.check()
	if len(p.problems) > 0 {
		p.problems.sort()
		return nil, p.problems
	}
	return p.set, nil
}

func (p *parser) parseLine() {
	body := strings.TrimLeft(p.line, " \t")
	if body == "" || body[0] == '#' {
		if len(p.line) > MaxLine {
			p.reportLongLine()
		}
		return
	}
	if len(p.line) > MaxLine {
		p.reportLongLine()
		p.suppressMissingRevision()
		return
	}
	if !p.checkText() {
		p.suppressMissingRevision()
		return
	}
	rule := Rule{Line: p.lineNumber}
	body = p.line
	if commentStart := strings.IndexByte(p.line, '#'); commentStart >= 0 {
		body = p.line[:commentStart]
		p.parseRequester(&rule, commentStart)
	} else {
		p.report(len(strings.TrimRight(p.line, " \t")), "the rule does not name its requester",
			`end the line with "# requested by NAME: why"`)
	}
	p.splitWords(body)
	if len(p.words) > 0 {
		p.parseRule(rule)
	}
}

// checkText reports whether the line is valid UTF-8 without control characters other than tabs.
func (p *parser) checkText() bool {
	for offset, r := range p.line {
		if r >= ' ' && r < 0x7f {
			continue
		}
		switch {
		case r == utf8.RuneError:
			if _, size := utf8.DecodeRuneInString(p.line[offset:]); size == 1 {
				p.report(offset, "the line is not valid UTF-8", "save the file as UTF-8")
				return false
			}
		case r == '\ufeff':
			p.report(offset, "the line contains a byte order mark", "save the file as UTF-8 without a byte order mark")
			return false
		case r < ' ' && r != '\t', r == 0x7f:
			p.report(offset, fmt.Sprintf("the line contains the control character %U", r), "remove the character")
			return false
		}
	}
	return true
}

// parseRequester parses the comment at the end of a rule, which starts at the given byte offset.
func (p *parser) parseRequester(rule *Rule, offset int) {
	const form = `write "# requested by NAME" or "# requested by NAME: why"`
	text := strings.TrimSpace(p.line[offset+1:])
	named, found := strings.CutPrefix(text, requesterMark)
	if !found {
		p.report(offset, "the comment does not name the requester of the rule", form)
		return
	}
	name, reason, _ := strings.Cut(named, ":")
	rule.Requester, rule.Reason = strings.TrimSpace(name), strings.TrimSpace(reason)
	switch {
	case rule.Requester == "":
		p.report(offset, "the name of the requester is empty", form)
	case utf8.RuneCountInString(rule.Requester) > maxRequester:
		p.report(offset, fmt.Sprintf("the name of the requester is longer than %d characters", maxRequester),
			`separate the reason from the name with ":"`)
	case utf8.RuneCountInString(rule.Reason) > maxReason:
		p.report(offset, fmt.Sprintf("the reason is longer than %d characters", maxReason), "shorten the reason")
	}
}

func (p *parser) splitWords(body string) {
	p.words = p.words[:0]
	for i := 0; i < len(body); {
		if body[i] == ' ' || body[i] == '\t' {
			i++
			continue
		}
		start := i
		for i < len(body) && body[i] != ' ' && body[i] != '\t' {
			i++
		}
		p.words = append(p.words, word{text: body[start:i], offset: start})
	}
}

// suppressMissingRevision prevents a report of a missing revision rule when the first rule of the file cannot
// be parsed.
func (p *parser) suppressMissingRevision() {
	if p.set.revision.Line == 0 {
		p.set.revision.Line = -1
	}
}

func (p *parser) reportLongLine() {
	p.addProblem(p.lineNumber, MaxLine+1, fmt.Sprintf("the line has %d bytes, the limit is %d", len(p.line), MaxLine),
		"shorten the line")
}

// report records a problem at a byte offset of the current line.
func (p *parser) report(offset int, message, fix string) {
	p.addProblem(p.lineNumber, utf8.RuneCountInString(p.line[:min(offset, len(p.line))])+1, message, fix)
}

func (p *parser) addProblem(line, column int, message, fix string) {
	p.problems = append(p.problems, Problem{File: p.file, Line: line, Column: column, Message: message, Fix: fix})
}
