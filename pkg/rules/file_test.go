package rules

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func eachFile(t *testing.T, folder string, run func(t *testing.T, name string, text []byte)) {
	t.Helper()
	files, err := filepath.Glob("testdata/" + folder + "/*.rules")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".rules")
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(file)
			assert.NilError(t, err)
			run(t, name, text)
		})
	}
}

// Guards against a parser that accepts an invalid file, reports a problem at the wrong position or does not
// report all problems.
func TestFaults(t *testing.T) {
	eachFile(t, "faults", func(t *testing.T, name string, text []byte) {
		set, err := Parse(name+".rules", text)
		assert.Assert(t, set == nil)
		for _, problem := range err.(Problems) {
			assert.Assert(t, problem.Line > 0 && problem.Column > 0 && problem.Message != "" && problem.Fix != "", problem.Error())
		}
		golden.Assert(t, err.Error()+"\n", "faults/"+name+".golden")
	})
}

// Guards against a formatter that drops comments or requesters or changes the meaning of a rule.
func TestFormatFiles(t *testing.T) {
	eachFile(t, "format", func(t *testing.T, name string, text []byte) {
		formatted, err := Format(name, text)
		assert.NilError(t, err)
		golden.Assert(t, string(formatted), "format/"+name+".golden")
		reformatted, err := Format(name, formatted)
		assert.NilError(t, err)
		assert.Equal(t, string(reformatted), string(formatted))
	})
}

// Guards against unbounded time and memory for an invalid file: the size of the file and of its lines, the
// problems and the rules of each kind are limited.
func TestBounds(t *testing.T) {
	_, err := Parse("large", make([]byte, MaxFile+1))
	assert.ErrorContains(t, err, "large:1:1: the file has 2097153 bytes, the limit is 2097152")

	long := example + "# " + strings.Repeat("x", MaxLine) + "\n" + example[:strings.IndexByte(example, '\n')] + strings.Repeat("y", MaxLine)
	_, err = Parse("long", []byte(long))
	assert.ErrorContains(t, err, "long:8:4097: the line has 4098 bytes, the limit is 4096")
	assert.ErrorContains(t, err, "long:9:4097: the line has")

	_, err = Parse("many", []byte(strings.Repeat("x\n", MaxFile/2)))
	problems := err.(Problems)
	assert.Assert(t, len(problems) <= maxProblems+10, "%d problems", len(problems))
	assert.ErrorContains(t, problems[len(problems)-1], "the check ends here")

	var services strings.Builder
	services.WriteString("revision 1 # requested by A\n")
	for i := range maxServices + 1 {
		services.WriteString(CanonicalLine(&Service{Rule: Rule{Name: "s" + strings.Repeat("a", i%50) + letters(i), Requester: "A"}, Slots: 1, Connections: 1}) + "\n")
	}
	_, err = Parse("services", []byte(services.String()))
	assert.ErrorContains(t, err, `services:2002:1: the file has more than 2000 rules of kind "service"`)
}

// letters returns a distinct name for each number.
func letters(i int) string {
	if i < 26 {
		return string(rune('a' + i))
	}
	return letters(i/26) + string(rune('a'+i%26))
}

// Guards against a comparison that misses a difference, omits its requester, or reports a rule that only moved
// to another line.
func TestCompare(t *testing.T) {
	before := parseExample(t)
	text := strings.Replace(example, "revision 42 # requested by Ana Diaz", "revision 43 # requested by Kim Berg", 1)
	text = strings.Replace(text, "rate=200/s burst=400 # requested by Lou Roy", "rate=300/s burst=400 # requested by Kim Berg", 1)
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	lines[5], lines[6] = lines[6], "route GET /feed service=reader access=open run=idempotent deadline=1s # requested by Kim Berg: feeds"
	after, err := Parse("rules", []byte(strings.Join(lines, "\n")))
	assert.NilError(t, err)
	diff := Compare(before, after)
	assert.Equal(t, diff.From, uint64(42))
	assert.Equal(t, diff.To, uint64(43))
	assert.Equal(t, len(diff.Added), 1)
	assert.Equal(t, diff.Added[0].New.Identity(), "route/GET/feed@7")
	assert.Equal(t, diff.Added[0].New.Reason, "feeds")
	assert.Equal(t, len(diff.Changed), 1)
	assert.Equal(t, diff.Changed[0].Old.Requester, "Lou Roy")
	assert.Equal(t, diff.Changed[0].New.Requester, "Kim Berg")
	assert.Equal(t, len(diff.Removed), 1)
	assert.Equal(t, diff.Removed[0].Old.Identity(), "route/POST/chapters/{id}@6")
	assert.Equal(t, len(Compare(nil, before).Added), 6)
	assert.Assert(t, Compare(before, before).Empty())
}

// Guards against rule identities in refusals that the explain command does not find.
func TestFind(t *testing.T) {
	set := parseExample(t)
	for _, s := range set.Statements() {
		found, ok := set.Find(RuleOf(s).Identity())
		assert.Assert(t, ok && found == s, RuleOf(s).Identity())
	}
	moved, ok := set.Find("route/GET/works/{id}")
	assert.Assert(t, ok && RuleOf(moved).Line == 7)
	_, ok = set.Find("route/GET/work")
	assert.Assert(t, !ok)
}

// Guards against attributes that the parser accepts and the reference page does not describe.
func TestReferencePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/rules.md")
	assert.NilError(t, err)
	documented := func(names []string) {
		for _, name := range names {
			assert.Assert(t, strings.Contains(string(page), "| `"+name+"=` |"), name)
		}
	}
	documented(wordNames(serviceWords))
	documented(wordNames(accountWords))
	documented(wordNames(keyWords))
	documented(wordNames(routeWords))
}

func wordNames[T any](words []attribute[T]) (names []string) {
	for _, word := range words {
		names = append(names, word.name)
	}
	return names
}
