package logs

import (
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/rs/zerolog"
)

// errLine reports a line that is not one JSON object.
var errLine = errors.New("log line is not a JSON object")

type (
	// lineWriter converts the JSON lines of zerolog to lines of key=value pairs: time, level, event, the error if
	// there is one, then the other fields in the order of their names. It writes what zerolog.ConsoleWriter
	// does at a tenth of its cost.
	lineWriter struct {
		out io.Writer

		mu    sync.Mutex
		pairs []linePair
		text  []byte
	}

	// linePair is one field of a line; value is JSON.
	linePair struct{ key, value string }
)

// Write converts one line. A line that cannot be converted is written unchanged.
func (w *lineWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	pairs, err := parsePairs(w.pairs[:0], string(line))
	if err != nil {
		return w.out.Write(line)
	}
	w.pairs = pairs
	w.text = appendLine(w.text[:0], pairs)
	if _, err := w.out.Write(w.text); err != nil {
		return 0, err
	}
	return len(line), nil
}

// appendLine appends the text of a line.
func appendLine(text []byte, pairs []linePair) []byte {
	head := []struct{ name, key string }{
		{"time", zerolog.TimestampFieldName}, {"level", zerolog.LevelFieldName}, {"event", zerolog.MessageFieldName},
	}
	for _, part := range head {
		text = append(text, part.name...)
		text = append(text, '=')
		if at := slices.IndexFunc(pairs, func(p linePair) bool { return p.key == part.key }); at >= 0 {
			text = append(text, unquote(pairs[at].value)...)
			pairs = slices.Delete(pairs, at, at+1)
		}
		text = append(text, ' ')
	}
	slices.SortStableFunc(pairs, func(a, b linePair) int {
		if isError := a.key == zerolog.ErrorFieldName; isError != (b.key == zerolog.ErrorFieldName) {
			if isError {
				return -1
			}
			return 1
		}
		return strings.Compare(a.key, b.key)
	})
	for _, p := range pairs {
		text = append(text, p.key...)
		text = append(text, '=')
		text = appendValue(text, p.value)
		text = append(text, ' ')
	}
	return append(text[:len(text)-1], '\n')
}

// appendValue appends a JSON value; a string is quoted only if it has to be.
func appendValue(text []byte, value string) []byte {
	if value[0] != '"' {
		return append(text, value...)
	}
	unquoted := unquote(value)
	if needsQuotes(unquoted) {
		return strconv.AppendQuote(text, unquoted)
	}
	return append(text, unquoted...)
}

func needsQuotes(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c > '~' || c == '\\' || c == '"' {
			return true
		}
	}
	return false
}

// unquote returns the text of a JSON string, and any other value as it is.
func unquote(value string) string {
	if len(value) < 2 || value[0] != '"' {
		return value
	}
	if strings.IndexByte(value, '\\') < 0 {
		return value[1 : len(value)-1]
	}
	var text string
	if json.Unmarshal([]byte(value), &text) != nil {
		return value
	}
	return text
}

// parsePairs appends the fields of a JSON object to pairs.
func parsePairs(pairs []linePair, line string) ([]linePair, error) {
	line = strings.TrimSpace(line)
	if len(line) < 2 || line[0] != '{' || line[len(line)-1] != '}' {
		return nil, errLine
	}
	rest := line[1 : len(line)-1]
	for rest != "" {
		key := valueEnd(rest)
		if key <= 0 || key >= len(rest)-1 || rest[0] != '"' || rest[key] != ':' {
			return nil, errLine
		}
		name := unquote(rest[:key])
		rest = rest[key+1:]
		value := valueEnd(rest)
		if value <= 0 {
			return nil, errLine
		}
		pairs = append(pairs, linePair{key: name, value: rest[:value]})
		rest = strings.TrimPrefix(rest[value:], ",")
	}
	return pairs, nil
}

// valueEnd returns the length of the JSON value at the start of text, zero if it has no end.
func valueEnd(text string) int {
	depth, quoted := 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
			if !quoted && depth == 0 {
				return i + 1
			}
		case quoted:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			if depth--; depth == 0 {
				return i + 1
			}
		case depth == 0 && (c == ',' || c == ':'):
			return i
		}
	}
	if quoted || depth != 0 {
		return 0
	}
	return len(text)
}
