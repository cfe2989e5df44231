package state

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

var (
	errInvalidLine = errors.New("line 1 is bad")
	hashes         = regexp.MustCompile(`"Hash":"[^"]*",`)
	seconds        = regexp.MustCompile(`(\d+)000000000\b`)
)

func init() {
	// Every run of the property tests uses the same seed unless a flag names another.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

func validate(text []byte) error {
	if bytes.Contains(text, []byte("bad")) {
		return errInvalidLine
	}
	return nil
}

func hash(text string) []byte {
	sum := sha256.Sum256([]byte(text))
	return sum[:]
}

// Guards against a verdict that differs from the page's rules: each file is a session of commands, each
// followed by its verdict.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			session, err := os.ReadFile(file)
			assert.NilError(t, err)
			golden.Assert(t, runSession(t, string(session)), filepath.Base(file))
		})
	}
}

func runSession(t *testing.T, session string) string {
	m, index, out := New(validate), uint64(0), new(strings.Builder)
	for line := range strings.Lines(session) {
		if strings.HasPrefix(line, "  ") {
			continue
		}
		out.WriteString(line)
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		var shown any
		switch words[0] {
		case "restart":
			m = restoreFromSnapshot(t, m)
			continue
		case "show":
			shown = []any{m.Revisions, m.Quarantined(), m.RunningDaemons(), len(m.records)}
		default:
			index++
			shown = applyEncoded(t, m, index, parseCommand(t, words))
		}
		text, err := json.Marshal(shown)
		assert.NilError(t, err)
		text = seconds.ReplaceAll(hashes.ReplaceAll(text, nil), []byte("${1}s"))
		fmt.Fprintf(out, "  %s %s\n", strings.TrimPrefix(fmt.Sprintf("%T", shown), "*state."), text)
	}
	return out.String()
}

// send passes the command and its verdict through their codecs.
func applyEncoded(t testingT, m *Machine, index uint64, c Command) Result {
	body, err := EncodeCommand(c)
	assert.NilError(t, err)
	c, err = DecodeCommand(body)
	assert.NilError(t, err)
	r := m.Apply(index, c)
	switch r.(type) {
	case ConfigVerdict, OnceVerdict:
		body, err := EncodeVerdict(r)
		assert.NilError(t, err)
		back, err := DecodeVerdict(body)
		assert.NilError(t, err)
		assert.DeepEqual(t, back, r)
	}
	return r
}

// require is what assert needs and what both *testing.T and *rapid.T offer.
type testingT interface {
	FailNow()
	Fail()
	Log(args ...any)
}

func restoreFromSnapshot(t testingT, m *Machine) *Machine {
	body, err := m.Snapshot()
	assert.NilError(t, err)
	restored, err := Restore(body, validate)
	assert.NilError(t, err)
	again, err := restored.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(body, again), "the restored machine has a different snapshot")
	return restored
}

func parseCommand(t *testing.T, words []string) Command {
	after, err := time.ParseDuration(words[0])
	assert.NilError(t, err)
	at, arg := wire.Stamp(after), words[2:]
	number := func(s string) uint64 {
		n, err := strconv.ParseUint(s, 10, 64)
		assert.NilError(t, err)
		return n
	}
	attempt := func(w []string) Attempt { return Attempt{Daemon: w[0], Boot: number(w[1]), Number: number(w[2])} }
	switch words[1] {
	case "config":
		text := strings.Join(arg[3:], " ")
		return &ProposeConfig{Number: number(arg[0]), Author: arg[1], Origin: arg[2], Text: []byte(text), Hash: hash(text), At: at}
	case "begin":
		return &OnceBegin{Scope: OnceScope{arg[0], arg[1], arg[2]}, RequestHash: hash(arg[3]), Attempt: attempt(arg[4:]), At: at}
	case "finish":
		c := &OnceFinish{Scope: OnceScope{arg[0], arg[1], arg[2]}, Attempt: attempt(arg[3:]), At: at}
		c.Outcome = map[string]Outcome{"answered": Answered, "not-run": NotRun, "unknown": Unknown}[arg[6]]
		if c.Outcome == Answered {
			c.Answer = &Answer{Status: 201, Headers: []Header{{"Location", "/" + arg[7]}, {"Etag", ""}}, Body: []byte{}}
		}
		return c
	case "gone":
		return &DaemonGone{Daemon: arg[0], Boot: number(arg[1]), At: at}
	case "quarantine":
		life, err := time.ParseDuration(arg[1])
		assert.NilError(t, err)
		return &QuarantineAdd{Fingerprint: arg[0], For: life, At: at}
	case "tick":
		return &Tick{At: at}
	}
	t.Fatalf("unknown command %q", words[1])
	return nil
}

// Guards against a second execution of one request under resends, repeated and reordered messages, lost
// answers, lost daemons, clocks that step and restarts; and against machines that diverge.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, twin, now, index := New(validate), New(validate), wire.Stamp(time.Hour), uint64(0)
		var sent []Command                    // every message may arrive again at any time
		runs := make(map[OnceScope][]Attempt) // attempts that executed
		done := make(map[Attempt]bool)        // attempts that were allowed once and are decided
		stored := make(map[OnceScope]*Answer) // answers that were acknowledged
		scopes := []OnceScope{{"a", "r", "1"}, {"a", "r", "2"}, {"b", "r", "1"}}
		attempts := make(map[string]uint64)
		apply := func(c Command) Result {
			index++
			r := applyEncoded(t, m, index, c)
			assert.DeepEqual(t, twin.Apply(index, c), r)
			return r
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-5, 30).Draw(t, "clock")) * time.Second)
			scope := rapid.SampledFrom(scopes).Draw(t, "scope")
			var c Command
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0, 1:
				daemon := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "daemon")
				attempts[daemon]++
				c = &OnceBegin{Scope: scope, RequestHash: hash("q"), Attempt: Attempt{daemon, 1, attempts[daemon]}, At: now}
			case 2, 3:
				if len(sent) == 0 {
					continue
				}
				c = rapid.SampledFrom(sent).Draw(t, "again")
			case 4:
				c = &DaemonGone{Daemon: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "gone"), At: now}
			case 5:
				twin = restoreFromSnapshot(t, twin)
				continue
			}
			sent = append(sent, c)
			switch r := apply(c).(type) {
			case *OnceBegun:
				begin := c.(*OnceBegin)
				if done[begin.Attempt] {
					continue
				}
				done[begin.Attempt] = true
				finish := &OnceFinish{Scope: begin.Scope, Attempt: begin.Attempt, Outcome: NotRun, At: now}
				if rapid.Bool().Draw(t, "executes") {
					runs[begin.Scope] = append(runs[begin.Scope], begin.Attempt)
					finish.Outcome, finish.Answer = Answered, &Answer{Status: 200, Body: []byte(begin.Attempt.Daemon + fmt.Sprint(begin.Attempt.Number))}
				}
				sent = append(sent, finish) // sent again below or never: the daemon may die first
				assert.Assert(t, len(runs[begin.Scope]) <= 1, "executed by %v", runs[begin.Scope])
			case *OnceFinished:
				if f := c.(*OnceFinish); r.Outcome == Answered {
					stored[f.Scope] = f.Answer
				}
			case *OnceReplay:
				assert.DeepEqual(t, r.Answer, stored[c.(*OnceBegin).Scope])
			}
		}
		a, err := m.Snapshot()
		assert.NilError(t, err)
		b, err := twin.Snapshot()
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(a, b), "the machines diverged")
	})
}

// Guards against a store that grows without bound and against refusing before the bound.
func TestBounds(t *testing.T) {
	m, index := New(validate), uint64(0)
	begin := func(n int) Result {
		index++
		return m.Apply(index, &OnceBegin{
			Scope: OnceScope{"a", "r", strconv.Itoa(n)}, RequestHash: hash("q"), Attempt: Attempt{"x", 1, uint64(n + 1)},
			At: wire.Stamp(time.Second),
		})
	}
	for n := range MaxRecords {
		assert.DeepEqual(t, begin(n), &OnceBegun{Since: wire.Stamp(time.Second)})
	}
	assert.DeepEqual(t, begin(MaxRecords), &OnceFull{Records: MaxRecords})
	body := make([]byte, MaxBody)
	for n := range MaxAnswerBytes/MaxBody + 1 {
		index++
		m.Apply(index, &OnceFinish{
			Scope: OnceScope{"a", "r", strconv.Itoa(n)}, Attempt: Attempt{"x", 1, uint64(n + 1)},
			Outcome: Answered, Answer: &Answer{Status: 200, Body: body}, At: wire.Stamp(time.Second),
		})
	}
	assert.Equal(t, m.answerBytes, MaxAnswerBytes)
	assert.DeepEqual(t, begin(MaxAnswerBytes/MaxBody), &OnceUnknown{Since: wire.Stamp(time.Second)})

	m = New(validate)
	text := bytes.Repeat([]byte("x"), 1<<20)
	for n := range uint64(maxRevisions + 10) {
		if n == 100 {
			assert.Equal(t, m.textBytes, maxTextBytes)
			text = []byte("small")
		}
		sum := sha256.Sum256(text)
		m.Apply(n+1, &ProposeConfig{Number: n + 1, Text: text, Hash: sum[:], At: 1})
	}
	assert.Equal(t, len(m.Revisions), maxRevisions)
	assert.Equal(t, m.textCount, maxRevisionTexts)
	forgotten := m.Apply(1<<30, &ProposeConfig{Number: 1, Text: text, Hash: hash("small"), At: 1})
	assert.Equal(t, forgotten.(*ConfigRefused).Reason, NumberForgotten)
	restoreFromSnapshot(t, m)
}

// Guards against a panic or a hang on bytes that no machine has written.
func FuzzDecode(f *testing.F) {
	m := New(validate)
	c := &OnceBegin{Scope: OnceScope{"a", "r", "k"}, RequestHash: hash("q"), Attempt: Attempt{"x", 1, 1}, At: 1}
	body, err := EncodeCommand(c)
	assert.NilError(f, err)
	f.Add(body)
	verdict, err := EncodeVerdict(m.Apply(1, c).(OnceVerdict))
	assert.NilError(f, err)
	f.Add(verdict)
	image, err := m.Snapshot()
	assert.NilError(f, err)
	f.Add(image)
	f.Fuzz(func(t *testing.T, body []byte) {
		if c, err := DecodeCommand(body); err == nil {
			again, err := EncodeCommand(c)
			assert.NilError(t, err)
			back, err := DecodeCommand(again)
			assert.NilError(t, err)
			assert.DeepEqual(t, back, c)
		}
		if r, err := DecodeVerdict(body); err == nil {
			_, err := EncodeVerdict(r)
			assert.NilError(t, err)
		}
		if m, err := Restore(body, validate); err == nil {
			restoreFromSnapshot(t, m)
		}
	})
}
