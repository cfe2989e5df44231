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
	hashField      = regexp.MustCompile(`"Hash":"[^"]*",`)
	seconds        = regexp.MustCompile(`(\d+)000000000\b`)
)

func init() {
	// The property tests use the same seed in every run unless a flag sets another one.
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

// Guards against verdicts that differ from the rules of the design page. Each golden file is a session: a list
// of commands, each followed by its verdict.
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
		var printed any
		switch words[0] {
		case "restart":
			m = snapshotAndRestore(t, m)
			continue
		case "show":
			printed = []any{m.Revisions, m.Quarantined(), m.RunningDaemons(), len(m.records)}
		default:
			index++
			printed = applyEncoded(t, m, index, parseCommand(t, words))
		}
		text, err := json.Marshal(printed)
		assert.NilError(t, err)
		text = seconds.ReplaceAll(hashField.ReplaceAll(text, nil), []byte("${1}s"))
		fmt.Fprintf(out, "  %s %s\n", strings.TrimPrefix(fmt.Sprintf("%T", printed), "*state."), text)
	}
	return out.String()
}

// applyEncoded applies c after encoding and decoding it, and checks that its verdict survives the same.
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
		decoded, err := DecodeVerdict(body)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, r)
	}
	return r
}

// testingT contains the methods that package assert requires; *testing.T and *rapid.T implement it.
type testingT interface {
	FailNow()
	Fail()
	Log(args ...any)
}

func snapshotAndRestore(t testingT, m *Machine) *Machine {
	body, err := m.Snapshot()
	assert.NilError(t, err)
	restored, err := Restore(body, validate)
	assert.NilError(t, err)
	reencoded, err := restored.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(body, reencoded), "the restored machine has a different snapshot")
	return restored
}

func parseCommand(t *testing.T, words []string) Command {
	offset, err := time.ParseDuration(words[0])
	assert.NilError(t, err)
	at, args := wire.Stamp(offset), words[2:]
	number := func(s string) uint64 {
		n, err := strconv.ParseUint(s, 10, 64)
		assert.NilError(t, err)
		return n
	}
	attempt := func(w []string) Attempt { return Attempt{Daemon: w[0], Boot: number(w[1]), Number: number(w[2])} }
	switch words[1] {
	case "config":
		text := strings.Join(args[3:], " ")
		return &ProposeConfig{Number: number(args[0]), Author: args[1], Origin: args[2], Text: []byte(text), Hash: hash(text), At: at}
	case "begin":
		return &OnceBegin{Scope: OnceScope{args[0], args[1], args[2]}, RequestHash: hash(args[3]), Attempt: attempt(args[4:]), At: at}
	case "finish":
		c := &OnceFinish{Scope: OnceScope{args[0], args[1], args[2]}, Attempt: attempt(args[3:]), At: at}
		c.Outcome = map[string]Outcome{"answered": Answered, "not-run": NotRun, "unknown": Unknown}[args[6]]
		if c.Outcome == Answered {
			c.Answer = &Answer{Status: 201, Headers: []Header{{"Location", "/" + args[7]}, {"Etag", ""}}, Body: []byte{}}
		}
		return c
	case "gone":
		return &DaemonGone{Daemon: args[0], Boot: number(args[1]), At: at}
	case "quarantine":
		lifetime, err := time.ParseDuration(args[1])
		assert.NilError(t, err)
		return &QuarantineAdd{Fingerprint: args[0], For: lifetime, At: at}
	case "tick":
		return &Tick{At: at}
	}
	t.Fatalf("unknown command %q", words[1])
	return nil
}

// Guards against a second execution of one request after resends, retried and reordered messages, lost
// replies, lost daemons, clock steps and restarts, and against machines that diverge.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, replica, now, index := New(validate), New(validate), wire.Stamp(time.Hour), uint64(0)
		var sent []Command                          // each command may be applied again at any time
		runs := make(map[OnceScope][]Attempt)       // attempts that executed
		done := make(map[Attempt]bool)              // attempts that were permitted and have either run or not
		acknowledged := make(map[OnceScope]*Answer) // responses whose OnceFinish was acknowledged
		scopes := []OnceScope{{"a", "r", "1"}, {"a", "r", "2"}, {"b", "r", "1"}}
		attempts := make(map[string]uint64)
		apply := func(c Command) Result {
			index++
			r := applyEncoded(t, m, index, c)
			assert.DeepEqual(t, replica.Apply(index, c), r)
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
				replica = snapshotAndRestore(t, replica)
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
				sent = append(sent, finish) // applied in a later step or never, as if the daemon had failed
				assert.Assert(t, len(runs[begin.Scope]) <= 1, "executed by %v", runs[begin.Scope])
			case *OnceFinished:
				if f := c.(*OnceFinish); r.Outcome == Answered {
					acknowledged[f.Scope] = f.Answer
				}
			case *OnceReplay:
				assert.DeepEqual(t, r.Answer, acknowledged[c.(*OnceBegin).Scope])
			}
		}
		a, err := m.Snapshot()
		assert.NilError(t, err)
		b, err := replica.Snapshot()
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(a, b), "the machines diverged")
	})
}

// Guards against state that exceeds its limits, and against refusing a command before a limit is reached.
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
	snapshotAndRestore(t, m)
}

// Guards against a control instance of 280 MB that exceeds its memory after many changes of a large configuration: it
// holds the texts of old revisions several times while it takes a snapshot.
func TestManyChangesOfALargeConfiguration(t *testing.T) {
	const (
		changes    = 230
		textSize   = 800 << 10
		copies     = 5 // state, snapshot, its encoding, the one being written, the one being sent
		memory     = 280 << 20
		otherBytes = 160 << 20 // program, log, garbage
	)
	m := New(validate)
	for n := range uint64(changes) {
		text := bytes.Repeat([]byte{byte(n)}, textSize)
		sum := sha256.Sum256(text)
		_, accepted := m.Apply(n+1, &ProposeConfig{Number: n + 1, Text: text, Hash: sum[:], At: 1}).(*ConfigAccepted)
		assert.Assert(t, accepted)
	}
	image, err := m.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, copies*len(image)+otherBytes <= memory, "snapshot of %d bytes", len(image))
	assert.Assert(t, m.textCount >= 10, "texts of %d revisions", m.textCount)
}

// Guards against a panic or a hang on invalid bytes, and against decoded values that do not encode again.
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
			reencoded, err := EncodeCommand(c)
			assert.NilError(t, err)
			decoded, err := DecodeCommand(reencoded)
			assert.NilError(t, err)
			assert.DeepEqual(t, decoded, c)
		}
		if r, err := DecodeVerdict(body); err == nil {
			_, err := EncodeVerdict(r)
			assert.NilError(t, err)
		}
		if m, err := Restore(body, validate); err == nil {
			snapshotAndRestore(t, m)
		}
	})
}
