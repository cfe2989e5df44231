package rules

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	maxDeadline = 24 * time.Hour
	maxSegments = 16 // of a pattern
	maxVars     = 8  // of a pattern
)

var (
	methods   = []string{"GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
	rateUnits = []struct {
		name string
		per  time.Duration
	}{{"s", time.Second}, {"min", time.Minute}, {"h", time.Hour}}
)

// integer returns a decimal number from low to high, or 0 after reporting a problem.
func (p *parser) integer(v word, low, high int) int {
	number, err := strconv.Atoi(v.text)
	if err != nil || v.text[0] == '+' || number < low || number > high {
		p.report(v.offset, fmt.Sprintf("%q is not a whole number from %d to %d", shorten(v.text), low, high), "write a number within these bounds")
		return 0
	}
	return number
}

// percent returns a ratio for a text such as 10% or 2.5%.
func (p *parser) percent(v word) float64 {
	digits, found := strings.CutSuffix(v.text, "%")
	whole, fraction, decimals := strings.Cut(digits, ".")
	number, err := strconv.ParseFloat(digits, 64)
	if !found || err != nil || !isDigits(whole) || decimals && !isDigits(fraction) || len(fraction) > 2 || number > 100 {
		p.report(v.offset, fmt.Sprintf("%q is not a percentage from 0%% to 100%%", shorten(v.text)), `write a number with at most two decimals and "%", for example "10%"`)
		return 0
	}
	return number / 100
}

// rate returns a rate for a text such as 200/s, 30/min or 500/h.
func (p *parser) rate(v word) Rate {
	digits, unit, _ := strings.Cut(v.text, "/")
	count, err := strconv.Atoi(digits)
	for _, known := range rateUnits {
		if known.name == unit && err == nil && isDigits(digits) && count >= 1 && count <= maxBurst {
			return Rate{Count: count, Per: known.per}
		}
	}
	p.report(v.offset, fmt.Sprintf("%q is not a rate", shorten(v.text)),
		fmt.Sprintf("write a number from 1 to %d with its unit, for example \"200/s\", \"30/min\" or \"500/h\"", maxBurst))
	return Rate{}
}

// deadline returns a duration for a text such as 250ms, 5s or 10m.
func (p *parser) deadline(v word) time.Duration {
	if isDigits(v.text) {
		p.report(v.offset, fmt.Sprintf("the deadline %q has no unit", shorten(v.text)),
			fmt.Sprintf("add a unit, for example %q", shorten(v.text)+"s"))
		return 0
	}
	duration, err := time.ParseDuration(v.text)
	if err != nil || duration < time.Millisecond || duration > maxDeadline || duration%time.Millisecond != 0 {
		p.report(v.offset, fmt.Sprintf("%q is not a deadline from 1ms to 24h", shorten(v.text)),
			`write whole milliseconds with units, for example "250ms", "5s" or "10m"`)
		return 0
	}
	return duration
}

func (p *parser) fixedValue(v word, value string) bool {
	if v.text != value {
		p.report(v.offset, fmt.Sprintf("%q is not a value of this word", shorten(v.text)), fmt.Sprintf("write %q or remove the word", value))
	}
	return v.text == value
}

// accounts returns the client accounts of a comma-separated list without duplicates.
func (p *parser) accounts(v word) []string {
	return p.list(v, "account", func(w word) (string, bool) {
		name := p.name(w, "account")
		return name, name != ""
	})
}

// regions returns the regions of a comma-separated list without duplicates. Their names are not checked: one that no
// region has allows no server, which is safe, whereas a rejected file would leave the earlier, wider list in force.
func (p *parser) regions(v word) []string {
	names := p.list(v, "region", func(w word) (string, bool) { return w.text, true })
	if len(names) > MaxRegions {
		p.report(v.offset, fmt.Sprintf("the list has more than %d regions", MaxRegions), "remove regions or the word")
		return nil
	}
	return names
}

// list returns the names of a comma-separated list for which parse returns true, without duplicates.
func (p *parser) list(v word, kind string, parse func(word) (string, bool)) []string {
	var names []string
	offset := v.offset
	for _, text := range strings.Split(v.text, ",") {
		name, valid := parse(word{text: text, offset: offset})
		switch {
		case !valid:
		case slices.Contains(names, name):
			p.report(offset, fmt.Sprintf("%s %q is listed twice", kind, shorten(name)), "remove one of the two names")
		default:
			names = append(names, name)
		}
		offset += len(text) + 1
	}
	return names
}

// name returns a valid name, or "" after reporting a problem.
func (p *parser) name(v word, kind string) string {
	valid := v.text != "" && len(v.text) <= maxNameLength && v.text[0] >= 'a' && v.text[0] <= 'z'
	for i := 0; valid && i < len(v.text); i++ {
		c := v.text[i]
		valid = 'a' <= c && c <= 'z' || '0' <= c && c <= '9' || c == '-'
	}
	if !valid {
		p.report(v.offset, fmt.Sprintf("%q is not a valid %s name", shorten(v.text), kind),
			fmt.Sprintf("use at most %d lower-case letters, digits and hyphens, starting with a letter", maxNameLength))
		return ""
	}
	return v.text
}

func (p *parser) method(v word) bool {
	switch {
	case slices.Contains(methods, v.text):
		return true
	case v.text == "HEAD":
		p.report(v.offset, "HEAD has no routes of its own", "remove the line; HEAD requests follow the GET route")
	default:
		p.report(v.offset, fmt.Sprintf("unknown method %q", shorten(v.text)), "use "+suggest(v.text, methods))
	}
	return false
}

// pattern reports whether the word is a valid path pattern.
func (p *parser) pattern(v word) bool {
	if v.text[0] != '/' {
		p.report(v.offset, fmt.Sprintf("the path %q does not start with a slash", shorten(v.text)), fmt.Sprintf("write %q", "/"+shorten(v.text)))
		return false
	}
	segments := strings.Split(v.text[1:], "/")
	if len(segments) > maxSegments {
		p.report(v.offset, fmt.Sprintf("the path has more than %d segments", maxSegments), "shorten the path")
		return false
	}
	var vars []string
	offset := v.offset + 1
	for i, segment := range segments {
		last := i == len(segments)-1
		name, isVariable := variableName(segment)
		name, isRest := strings.CutSuffix(name, "...")
		message, fix := "", ""
		switch {
		case isVariable && isRest && !last:
			message, fix = "{"+name+"...} is not at the end of the path", "move it to the end or remove the dots"
		case isVariable && !validVariable(name):
			message, fix = fmt.Sprintf("%q is not a valid name of a path variable", shorten(name)), "use lower-case letters, digits and hyphens, starting with a letter"
		case isVariable && slices.Contains(vars, name):
			message, fix = fmt.Sprintf("the path variable %q is used twice", shorten(name)), "rename one of the two"
		case isVariable && len(vars) == maxVars:
			message, fix = fmt.Sprintf("the path has more than %d variables", maxVars), "shorten the path"
		case isVariable:
			vars = append(vars, name)
		case segment == "" && !last:
			message, fix = "the path has an empty segment", "remove the second slash"
		case segment == "." || segment == "..":
			message, fix = fmt.Sprintf("the path has the segment %q", segment), "write the path that it stands for"
		case !literalSegment(segment):
			message, fix = fmt.Sprintf("the path segment %q has characters other than letters, digits and -._~", shorten(segment)), "use a path variable such as {id} for this segment"
		}
		if message != "" {
			p.report(offset, message, fix)
			return false
		}
		offset += len(segment) + 1
	}
	return true
}

func validVariable(name string) bool {
	for i := range len(name) {
		c := name[i]
		if !('a' <= c && c <= 'z' || i > 0 && ('0' <= c && c <= '9' || c == '-')) {
			return false
		}
	}
	return name != "" && len(name) <= maxNameLength
}

func literalSegment(segment string) bool {
	for i := range len(segment) {
		if !unreserved(segment[i]) {
			return false
		}
	}
	return true
}

func enumWord[E ~uint32](p *parser, names []string, v word) E {
	value, ok := enumParse[E](names, v.text)
	if !ok {
		p.report(v.offset, fmt.Sprintf("unknown value %q", shorten(v.text)), "use "+suggest(v.text, names[1:]))
	}
	return value
}

func isDigits(text string) bool {
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return false
		}
	}
	return text != ""
}
