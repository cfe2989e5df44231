package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

const maxFileBytes = 1 << 20 // a settings file has some 30 lines

type (
	// Problem is one error in a settings file.
	Problem struct {
		File    string
		Line    int // from 1
		Column  int // in characters, from 1
		Setting string
		Message string
	}

	// Problems holds all errors of a settings file in the order of their positions.
	Problems []Problem

	// position is the start of a key in the file.
	position struct{ line, column int }

	// entry is one key of the file; its value is a string, an int64 or an unsupportedKind.
	entry struct {
		path  []string
		value any
		pos   position
	}

	// unsupportedKind names a TOML type that no setting has.
	unsupportedKind string

	// field is one field of Settings.
	field struct {
		name  string // prefixed with the name of its table
		tag   reflect.StructTag
		value reflect.Value
	}

	// loader holds the state of one Parse call.
	loader struct {
		file             string
		settings         *Settings
		fields           []field
		positions        map[string]position // keys of the file by name of the setting
		controlPositions map[string]position // keys of control-addresses by name of the voter
		endOfFile        position            // where missing settings are reported
		problems         Problems
	}
)

// Error returns the problem in one line: file:line:column: setting: message.
func (p Problem) Error() string {
	if p.Setting == "" {
		return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", p.File, p.Line, p.Column, p.Setting, p.Message)
}

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads a settings file and the secret file that it names; relative paths are relative to the working
// directory. The error is of type Problems when the settings are invalid.
func Load(path string) (*Settings, error) {
	text, err := readFile(path, maxFileBytes)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, text, readSecret)
}

// Parse returns the settings in text; secret returns the content of the secret file.
func Parse(name string, text []byte, secret func(path string) (string, error)) (*Settings, error) {
	settings := &Settings{}
	l := &loader{
		file: name, settings: settings, fields: settingFields(settings),
		positions: map[string]position{}, controlPositions: map[string]position{}, endOfFile: endPosition(text),
	}
	entries, err := readEntries(text)
	if err != nil {
		return nil, l.syntaxProblems(err)
	}
	l.setDefaults()
	for _, e := range entries {
		l.setEntry(e)
	}
	l.check(secret)
	if len(l.problems) > 0 {
		l.problems.sort()
		return nil, l.problems
	}
	return settings, nil
}

// readEntries returns the keys of the file in their order, after go-toml has accepted the file.
func readEntries(text []byte) ([]entry, error) {
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("the file has %d bytes, the limit is %d", len(text), maxFileBytes)
	}
	var document map[string]any
	if err := toml.Unmarshal(text, &document); err != nil {
		return nil, err
	}
	var (
		parser  unstable.Parser
		entries []entry
		table   []string
	)
	parser.Reset(text)
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			path, pos := keyPath(&parser, node)
			table = path
			if node.Kind == unstable.ArrayTable || !isTable(path) {
				entries = append(entries, entry{path: path, value: unsupportedKind("table"), pos: pos})
			}
		case unstable.KeyValue:
			entries = appendEntry(entries, &parser, table, node)
		}
	}
	return entries, parser.Error()
}

func appendEntry(entries []entry, parser *unstable.Parser, table []string, node *unstable.Node) []entry {
	key, pos := keyPath(parser, node)
	path := append(append([]string{}, table...), key...)
	value := node.Value()
	if value.Kind == unstable.InlineTable && isTable(path) {
		for children := value.Children(); children.Next(); {
			entries = appendEntry(entries, parser, path, children.Node())
		}
		return entries
	}
	return append(entries, entry{path: path, value: entryValue(value), pos: pos})
}

func isTable(path []string) bool {
	return len(path) == 1 && (path[0] == "limits" || path[0] == "control-addresses" || path[0] == "fleet")
}

func keyPath(parser *unstable.Parser, node *unstable.Node) ([]string, position) {
	var (
		path []string
		pos  position
	)
	for keys := node.Key(); keys.Next(); {
		if path == nil {
			start := parser.Shape(keys.Node().Raw).Start
			before := parser.Data()[start.Offset-start.Column+1 : start.Offset]
			pos = position{line: start.Line, column: utf8.RuneCount(before) + 1}
		}
		path = append(path, string(keys.Node().Data))
	}
	return path, pos
}

func entryValue(node *unstable.Node) any {
	switch node.Kind {
	case unstable.String:
		return string(node.Data)
	case unstable.Integer:
		if number, err := strconv.ParseInt(strings.ReplaceAll(string(node.Data), "_", ""), 0, 64); err == nil {
			return number
		}
	}
	return unsupportedKind(strings.ToLower(node.Kind.String()))
}

func (l *loader) setEntry(e entry) {
	name := strings.Join(e.path, ".")
	if e.path[0] == "control-addresses" && len(e.path) == 2 {
		l.setControlInstance(e)
		return
	}
	if isTable(e.path) {
		l.positions[name] = e.pos
		l.addProblem(e.pos, name, fmt.Sprintf("expected a table, write [%s] and one line per entry", name))
		return
	}
	for _, f := range l.fields {
		if f.name != name {
			continue
		}
		l.positions[name] = e.pos
		if err := assign(f.value.Addr().Interface(), e.value); err != nil {
			l.addProblem(e.pos, name, err.Error())
			return
		}
		l.checkBounds(f, e.pos)
		return
	}
	l.addProblem(e.pos, name, "unknown setting; see docs/settings.md for the list")
}

func (l *loader) setControlInstance(e entry) {
	control := ControlInstance{Name: e.path[1]}
	l.positions["control-addresses"] = e.pos
	l.controlPositions[control.Name] = e.pos
	if err := assign(&control.Address, e.value); err != nil {
		l.addProblem(e.pos, strings.Join(e.path, "."), err.Error())
		return
	}
	l.settings.ControlAddresses = append(l.settings.ControlAddresses, control)
}

// checkBounds compares a number, size or duration with the min and max tags of its field.
func (l *loader) checkBounds(f field, pos position) {
	for _, bound := range []string{"min", "max"} {
		text, found := f.tag.Lookup(bound)
		if !found {
			continue
		}
		limit := reflect.New(f.value.Type()).Elem()
		mustAssign(limit, text)
		if bound == "min" && f.value.Int() < limit.Int() || bound == "max" && f.value.Int() > limit.Int() {
			l.addProblem(pos, f.name, fmt.Sprintf("%v is outside the bounds %s to %s", f.value.Interface(), f.tag.Get("min"), f.tag.Get("max")))
			return
		}
	}
}

func (l *loader) setDefaults() {
	for _, f := range l.fields {
		if text, found := f.tag.Lookup("default"); found {
			mustAssign(f.value, text)
		}
	}
}

// mustAssign sets a field from the text of a tag. It panics on a faulty tag, which the tests detect.
func mustAssign(target reflect.Value, text string) {
	var value any = text
	if target.Type().String() == "int" {
		value, _ = strconv.ParseInt(text, 10, 64)
	}
	if err := assign(target.Addr().Interface(), value); err != nil {
		panic(fmt.Sprintf("tag %q of %s: %v", text, target.Type(), err))
	}
}

func (l *loader) syntaxProblems(err error) Problems {
	var detail *toml.DecodeError
	pos := position{line: 1, column: 1}
	if errors.As(err, &detail) {
		pos.line, pos.column = detail.Position()
	}
	l.addProblem(pos, "", strings.TrimPrefix(err.Error(), "toml: "))
	return l.problems
}

func (l *loader) addProblem(pos position, setting, message string) {
	l.problems = append(l.problems, Problem{File: l.file, Line: pos.line, Column: pos.column, Setting: setting, Message: message})
}

func endPosition(text []byte) position {
	lines := bytes.Split(bytes.TrimRight(text, "\n"), []byte("\n"))
	return position{line: len(lines), column: utf8.RuneCount(lines[len(lines)-1]) + 1}
}

func settingFields(settings *Settings) []field {
	var fields []field
	var add func(prefix string, value reflect.Value)
	add = func(prefix string, value reflect.Value) {
		for i := range value.NumField() {
			structField := value.Type().Field(i)
			name := prefix + structField.Tag.Get("toml")
			if structField.Type == reflect.TypeFor[Limits]() || structField.Type == reflect.TypeFor[Fleet]() {
				add(name+".", value.Field(i))
				continue
			}
			fields = append(fields, field{name: name, tag: structField.Tag, value: value.Field(i)})
		}
	}
	add("", reflect.ValueOf(settings).Elem())
	return fields
}

func readSecret(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", err
	}
	if info.Mode().Perm()&0o007 != 0 {
		return "", fmt.Errorf("the file is accessible to other users (mode %04o); use mode 0600 or 0640", info.Mode().Perm())
	}
	text, err := readFile(path, 4<<10)
	return string(text), err
}

func readFile(path string, limit int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(text)) > limit {
		return nil, fmt.Errorf("%s has more than %d bytes", path, limit)
	}
	return text, nil
}
