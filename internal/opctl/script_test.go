package opctl

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/golden"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
)

type (
	// skipClock advances to the time of each new timer at once, so that waiting takes no real time.
	skipClock struct{ *clock.Fake }

	// fakeAdmin serves /v1/NAME from the file NAME.json of a folder, or from NAME.1.json for the first
	// request, NAME.2.json for the second and so on while these exist. A file that begins with
	// {"code":N is served with status N. Its requests are logged to requests.log in the same folder.
	fakeAdmin struct {
		mu     sync.Mutex
		folder string
		counts map[string]int
	}
)

func (c skipClock) NewTimer(d time.Duration) clock.Timer {
	timer := c.Fake.NewTimer(d)
	c.Advance(d)
	return timer
}

func (f *fakeAdmin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(f.folder, "requests.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err == nil {
		_, _ = fmt.Fprintf(log, "%s %s\n", r.Method, r.URL)
		_ = log.Close()
	}
	name := strings.ReplaceAll(strings.TrimPrefix(r.URL.Path, "/v1/"), "/", "-")
	f.counts[name]++
	body, err := os.ReadFile(filepath.Join(f.folder, fmt.Sprintf("%s.%d.json", name, f.counts[name])))
	if err != nil {
		body, err = os.ReadFile(filepath.Join(f.folder, name+".json"))
	}
	var errorBody struct{ Code int }
	switch _, scanErr := fmt.Sscanf(string(body), `{"code":%d`, &errorBody.Code); {
	case err != nil:
		w.WriteHeader(http.StatusTeapot)
	case scanErr == nil:
		w.WriteHeader(errorBody.Code)
	}
	_, _ = w.Write(body)
}

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"buckthornctl": func() {
		os.Exit(Run(context.Background(), Env{
			Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr,
			Colour: os.Getenv("TEST_COLOUR") != "",
			Random: bytes.NewReader(make([]byte, keyBytes)),
			Clock:  skipClock{clock.NewFake(time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC))},
		}, os.Args[1:]))
	}})
}

// Guards against changes of the output, exit status or requests of commands, on which operators' scripts
// depend. Each file is one session; -update rewrites the expected output.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		UpdateScripts:       golden.FlagUpdate(),
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(env *testscript.Env) error {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			server := &http.Server{Handler: &fakeAdmin{folder: env.WorkDir, counts: map[string]int{}}}
			go func() { _ = server.Serve(listener) }()
			env.Defer(func() { _ = server.Close() })
			env.Setenv("BUCKTHORN_ADMIN", listener.Addr().String())
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){"status": exitStatus},
	})
}

// exitStatus runs a command and requires its exit status, as in: status 1 buckthornctl check rules.
func exitStatus(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: status N command [args]")
	}
	status := "0"
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		status = strings.TrimPrefix(err.Error(), "exit status ")
	}
	if status != args[0] {
		ts.Fatalf("exit status %s, want %s", status, args[0])
	}
}
