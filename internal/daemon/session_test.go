package daemon

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// normalisations replace text that differs between runs.
var normalisations = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`time=\S+ `), ""},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`), "TIME"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`[0-9a-f]{32}`), "ID"},
	{regexp.MustCompile(`\b\d{15,20}\b`), "NUMBER"},
}

func (s *transcript) normalise(text string) string {
	text = strings.ReplaceAll(text, s.p.folder, "FOLDER")
	for _, n := range normalisations {
		text = n.pattern.ReplaceAllString(text, n.text)
	}
	return text
}

// transcript records what callers, operators and log readers see of one process.
type transcript struct {
	t       *testing.T
	p       *process
	out     strings.Builder
	logRead int // bytes of the log that have been read
}

func (s *transcript) printf(format string, values ...any) {
	s.out.WriteString(s.normalise(fmt.Sprintf(format, values...)))
}

// send records a request, its response and the outcome headers.
func (s *transcript) send(c *caller, method, path, key, idempotencyKey string) {
	result := c.send(s.p, method, path, key, idempotencyKey)
	assert.NilError(s.t, result.err)
	s.printf("> %s %s key=%q idempotency-key=%q\n< %d %s", method, path, key, idempotencyKey, result.status, result.body)
	for _, name := range []string{"Buckthorn-Outcome", "Buckthorn-Reason", "Buckthorn-Rule", "Buckthorn-Replay"} {
		if value := result.header.Get(name); value != "" {
			s.printf("< %s: %s\n", name, value)
		}
	}
}

// log records the new log events. Those of a start are sorted, because the components start concurrently.
func (s *transcript) log(sorted bool) {
	text, err := os.ReadFile(filepath.Join(s.p.folder, "log"))
	assert.NilError(s.t, err)
	lines := strings.Split(strings.TrimSuffix(s.normalise(string(text[s.logRead:])), "\n"), "\n")
	s.logRead = len(text)
	if sorted {
		slices.Sort(lines)
	}
	for _, line := range lines {
		s.printf("  %s\n", line)
	}
}

// Guards against unintended changes of the responses, reports and log events that callers and operators see. The
// flag -update rewrites the golden file.
func TestGoldenSession(t *testing.T) {
	f := newFleet(t, 1, 0, testRules(1, "Ana", ""))
	p := f.daemons["c1"]
	s := &transcript{t: t, p: p}
	f.eventually("the verdict", func() bool { return strings.HasPrefix(p.verdict(), "accepted") })
	s.printf("# start\n")
	s.log(true)

	s.printf("# a backend server announces itself\n")
	library := &backend{address: freePorts(t, 1)[0], handle: echo}
	server := &http.Server{Addr: library.address, Handler: library}
	go func() { _ = server.ListenAndServe() }()
	t.Cleanup(func() { _ = server.Close() })
	assert.NilError(t, post(p.local, "/buckthorn/announce", library.announcement("library", "1")))
	s.log(false)
	c := newCaller()
	f.eventually("a response", func() bool { return c.send(p, "GET", "/works/0", "", "").status == http.StatusOK })
	f.eventually("tokens", func() bool { return c.send(p, "POST", "/kudos/0", "reader-key", "").status == http.StatusOK })

	s.printf("# calls\n")
	s.send(c, "GET", "/works/1", "", "")
	s.send(c, "POST", "/kudos/1", "reader-key", "first")
	s.send(c, "POST", "/kudos/1", "reader-key", "first")
	s.send(c, "POST", "/kudos/2", "reader-key", "first")
	s.send(c, "POST", "/kudos/1", "", "")
	s.send(c, "POST", "/kudos/1", "unknown-key", "")
	s.send(c, "GET", "/nothing", "", "")

	s.printf("# an accepted change, a number that is taken, and a faulty file\n")
	p.writeRules(testRules(2, "Lou", "# a change\n"))
	f.eventually("revision 2", func() bool { return strings.HasPrefix(p.verdict(), "accepted: revision 2") })
	s.printf("%s", p.verdict())
	p.writeRules(testRules(2, "Zoe", "# another change\n"))
	f.eventually("the refusal", func() bool { return strings.HasPrefix(p.verdict(), "refused") })
	s.printf("%s", p.verdict())
	p.writeRules(testRules(3, "Zoe", "account reader\n"))
	f.eventually("the rejection", func() bool { return strings.HasPrefix(p.verdict(), "rejected") })
	s.printf("%s", p.verdict())
	s.log(false)

	s.printf("# dump\n")
	dump, err := p.client().Dump(t.Context(), "settings", "views", "quarantine", "backend-servers")
	assert.NilError(t, err)
	for _, section := range dump.Sections {
		s.printf("%s: %s\n", section.Name, strings.Join(section.Columns, " | "))
		for _, row := range section.Rows {
			s.printf("  %s\n", strings.Join(row, " | "))
		}
	}

	s.printf("# stop\n")
	p.signal(syscall.SIGTERM)
	<-p.exited
	s.log(false)
	s.printf("exit status %d\n", p.command.ProcessState.ExitCode())
	golden.Assert(t, s.out.String(), "session.golden")
}
