package rules

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

const (
	// MaxFile is the largest rules file in bytes; a proposal with it fits into one log entry.
	MaxFile = 2 << 20
	// MaxLine is the longest line of a rules file in bytes.
	MaxLine = 4 << 10

	// maxProblems ends the parsing; a file of one-letter lines took 2 s when all were looked at.
	maxProblems = 1000

	maxServices = 2_000 // the design size has 360
	maxAccounts = 20_000
	maxKeys     = 40_000
	maxRoutes   = 20_000

	requesterMark = "requested by "
	maxRequester  = 100 // characters
	maxReason     = 500 // characters
)

type (
	// parser holds the state of one Parse call.
	parser struct {
		file     string
		set      *Set
		lines    []string
		number   int    // of the current line, from 1
		line     string // the current line
		words    []word // of the current line, before the requester
		problems Problems

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
		p.problem(1, 1, fmt.Sprintf("the file has %d bytes, the limit is %d", len(text), MaxFile),
			"remove rules and comments that are no longer needed")
		return nil, p.problems
	}
	p.lines = strings.Split(string(text), "\n")
	for i, line := range p.lines {
		p.number, p.line = i+1, strings.TrimSuffix(line, "\r")
		p.lines[i] = p.line
		p.parseLine()
		if len(p.problems) >= maxProblems {
			p.problem(p.number, 1, fmt.Sprintf("the check ends here after %d problems", len(p.problems)),
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
			p.longLine()
		}
		return
	}
	if len(p.line) > MaxLine {
		p.longLine()
		p.unreadable()
		return
	}
	if !p.plainText() {
		p.unreadable()
		return
	}
	rule := Rule{Line: p.number}
	body = p.line
	if at := strings.IndexByte(p.line, '#'); at >= 0 {
		body = p.line[:at]
		p.requester(&rule, at)
	} else {
		p.fail(len(strings.TrimRight(p.line, " \t")), "the rule does not name its requester",
			`end the line with "# requested by NAME: why"`)
	}
	p.split(body)
	if len(p.words) > 0 {
		p.rule(rule)
	}
}

// plainText reports whether the line is valid UTF-8 without control characters other than tabs.
func (p *parser) plainText() bool {
	for at, r := range p.line {
		if r >= ' ' && r < 0x7f {
			continue
		}
		switch {
		case r == utf8.RuneError:
			if _, size := utf8.DecodeRuneInString(p.line[at:]); size == 1 {
				p.fail(at, "the line is not valid UTF-8", "save the file as UTF-8")
				return false
			}
		case r == '\ufeff':
			p.fail(at, "the line contains a byte order mark", "save the file as UTF-8 without a byte order mark")
			return false
		case r < ' ' && r != '\t', r == 0x7f:
			p.fail(at, fmt.Sprintf("the line contains the control character %U", r), "remove the character")
			return false
		}
	}
	return true
}

// requester reads the comment that starts at the given offset and ends the rule.
func (p *parser) requester(rule *Rule, at int) {
	const form = `write "# requested by NAME" or "# requested by NAME: why"`
	text := strings.TrimSpace(p.line[at+1:])
	named, found := strings.CutPrefix(text, requesterMark)
	if !found {
		p.fail(at, "the comment does not name the requester of the rule", form)
		return
	}
	name, reason, _ := strings.Cut(named, ":")
	rule.Requester, rule.Reason = strings.TrimSpace(name), strings.TrimSpace(reason)
	switch {
	case rule.Requester == "":
		p.fail(at, "the name of the requester is empty", form)
	case utf8.RuneCountInString(rule.Requester) > maxRequester:
		p.fail(at, fmt.Sprintf("the name of the requester is longer than %d characters", maxRequester),
			`separate the reason from the name with ":"`)
	case utf8.RuneCountInString(rule.Reason) > maxReason:
		p.fail(at, fmt.Sprintf("the reason is longer than %d characters", maxReason), "shorten the reason")
	}
}

func (p *parser) split(body string) {
	p.words = p.words[:0]
	for at := 0; at < len(body); {
		if body[at] == ' ' || body[at] == '\t' {
			at++
			continue
		}
		start := at
		for at < len(body) && body[at] != ' ' && body[at] != '\t' {
			at++
		}
		p.words = append(p.words, word{text: body[start:at], offset: start})
	}
}

// unreadable keeps a missing revision from being reported when the line in its place is faulty.
func (p *parser) unreadable() {
	if p.set.revision.Line == 0 {
		p.set.revision.Line = -1
	}
}

func (p *parser) longLine() {
	p.problem(p.number, MaxLine+1, fmt.Sprintf("the line has %d bytes, the limit is %d", len(p.line), MaxLine),
		"shorten the line")
}

// fail records a problem at a byte offset of the current line.
func (p *parser) fail(offset int, message, fix string) {
	p.problem(p.number, utf8.RuneCountInString(p.line[:min(offset, len(p.line))])+1, message, fix)
}

func (p *parser) problem(line, column int, message, fix string) {
	p.problems = append(p.problems, Problem{File: p.file, Line: line, Column: column, Message: message, Fix: fix})
}
