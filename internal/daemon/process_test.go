package daemon

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/opctl"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

// Guards against a call path that works only inside one process: the caller, two daemons and the backend server
// communicate over the network, and the call is forwarded from one daemon to another.
func TestCallAcrossProcesses(t *testing.T) {
	f := newFleet(t, 3, 2, testRules(1, "Ana", ""))
	var backendHeader http.Header
	library := newBackend(t, f.daemons["d2"], "library", func(w http.ResponseWriter, r *http.Request) {
		backendHeader = r.Header.Clone()
		echo(w, r)
	})
	c := newCaller()
	f.eventually("a response through d1", func() bool {
		return c.send(f.daemons["d1"], "GET", "/works/1", "", "").status == http.StatusOK
	})
	result := c.send(f.daemons["d1"], "POST", "/kudos/1", "reader-key", "")
	assert.NilError(t, result.err)
	assert.Equal(t, result.status, http.StatusOK)
	assert.Equal(t, result.body, `{"account":"reader","path":"/kudos/1"}`+"\n")
	assert.Equal(t, library.count("POST", "/kudos/1"), 1)
	for name, values := range backendHeader {
		assert.Assert(t, !strings.Contains(strings.Join(values, " "), "reader-key"), "key in header %s", name)
	}
	result = c.send(f.daemons["d1"], "POST", "/kudos/1", "other-key", "")
	assert.Equal(t, result.status, http.StatusUnauthorized)
	assert.Equal(t, result.outcome(), "not-run")
	assert.Equal(t, library.count("POST", "/kudos/1"), 1)
}

// Guards against non-idempotent requests that run twice, or whose response is lost, when the leader is killed while
// callers send and retry them through every daemon.
func TestKilledLeaderRunsRequestsOnce(t *testing.T) {
	f := newFleet(t, 3, 2, testRules(1, "Ana", ""))
	library := newBackend(t, f.daemons["d1"], "library", echo)
	first := newCaller()
	f.eventually("the first record", func() bool {
		return first.send(f.daemons["d1"], "POST", "/kudos/first", "reader-key", "first").status == http.StatusOK
	})
	var wg sync.WaitGroup
	var sent atomic.Int64
	const callers, each = 8, 20
	for i := range callers {
		wg.Go(func() {
			c := newCaller()
			for n := range each {
				id := fmt.Sprintf("%d-%d", i, n)
				sent.Add(1)
				// The caller retries with the same idempotency key until it has a complete, final response.
				f.eventually("a response for "+id, func() bool {
					result := c.send(f.daemons[[]string{"d1", "d2"}[n%2]], "POST", "/kudos/"+id, "reader-key", id)
					return result.err == nil && (result.status == http.StatusOK || result.reason() == "earlier-unknown")
				})
			}
		})
	}
	f.eventually("traffic", func() bool { return sent.Load() > callers*each/4 })
	f.leader().kill()
	wg.Wait()
	for i := range callers {
		for n := range each {
			id := fmt.Sprintf("/kudos/%d-%d", i, n)
			assert.Assert(t, library.count("POST", id) <= 1, "%s ran %d times", id, library.count("POST", id))
		}
	}
	result := first.send(f.daemons["d2"], "POST", "/kudos/first", "reader-key", "first")
	assert.Equal(t, result.status, http.StatusOK)
	assert.Equal(t, result.header.Get("Buckthorn-Replay"), "true")
	assert.Equal(t, library.count("POST", "/kudos/first"), 1)
}

// Guards against a leader that was suspended for longer than its lease and then acts as if it still led.
func TestFrozenLeaderDoesNotRevert(t *testing.T) {
	f := newFleet(t, 3, 1, testRules(1, "Ana", ""))
	oldLeader := f.leader()
	oldLeader.signal(syscall.SIGSTOP)
	editor := f.daemons["d1"]
	editor.writeRules(testRules(2, "Lou", ""))
	f.eventually("revision 2 with the old leader frozen", func() bool {
		status := editor.status()
		return status != nil && status.Revision == 2 && status.Fresh
	})
	oldLeader.signal(syscall.SIGCONT)
	f.waitForRevision(2)
	assert.Assert(t, f.leader().status().Revision == 2)
}

// Guards against the loss of accepted state when a voter restarts with an empty data folder and a second voter
// fails right after that repair.
func TestSecondLossAfterRepair(t *testing.T) {
	f := newFleet(t, 3, 1, testRules(1, "Ana", ""))
	library := newBackend(t, f.daemons["d1"], "library", echo)
	c := newCaller()
	f.eventually("a record", func() bool {
		return c.send(f.daemons["d1"], "POST", "/kudos/1", "reader-key", "one").status == http.StatusOK
	})
	f.daemons["c1"].writeRules(testRules(2, "Lou", ""))
	f.waitForRevision(2)
	emptied := f.daemons["c3"]
	emptied.kill()
	assert.NilError(t, os.RemoveAll(filepath.Join(emptied.folder, "data")))
	emptied.start()
	f.eventually("the emptied voter votes again", func() bool {
		status := emptied.status()
		return status != nil && status.Role != "learner" && len(status.Voters) == 3 && status.Fresh
	})
	f.daemons["c2"].kill()
	f.leader()
	f.daemons["c1"].writeRules(testRules(3, "Lou", ""))
	f.waitForRevision(3)
	// The two remaining voters may change leaders on a busy machine, and the token buckets of a new leader start
	// empty, so that calls may be refused for a short time. A refused call has not run.
	var result callResult
	f.eventually("a response", func() bool {
		result = c.send(f.daemons["d1"], "POST", "/kudos/1", "reader-key", "one")
		return result.header.Get("Buckthorn-Outcome") != "not-run"
	})
	assert.Equal(t, result.header.Get("Buckthorn-Replay"), "true", "status %d, header %v", result.status, result.header)
	assert.Equal(t, library.count("POST", "/kudos/1"), 1)
}

// Guards against two accepted rules texts with the same revision number, and against overwriting the file of the
// operator whose text was refused.
func TestTwoOperatorsOneNumber(t *testing.T) {
	f := newFleet(t, 3, 1, testRules(1, "Ana", ""))
	texts := map[string]string{
		"c1": testRules(2, "Ana", "# first\n"),
		"d1": testRules(2, "Lou", "# second\n"),
	}
	for name, text := range texts {
		f.daemons[name].writeRules(text)
	}
	f.eventually("both verdicts", func() bool {
		return strings.Contains(f.daemons["c1"].verdict(), "revision 2") && strings.Contains(f.daemons["d1"].verdict(), "revision 2")
	})
	accepted, refused := "c1", "d1"
	if !strings.HasPrefix(f.daemons["c1"].verdict(), "accepted") {
		accepted, refused = refused, accepted
	}
	assert.Assert(t, strings.HasPrefix(f.daemons[accepted].verdict(), "accepted: revision 2"), f.daemons[accepted].verdict())
	assert.Assert(t, strings.HasPrefix(f.daemons[refused].verdict(), "refused: revision 2"), f.daemons[refused].verdict())
	winner := map[string]string{"c1": "Ana", "d1": "Lou"}[accepted]
	assert.Assert(t, strings.Contains(f.daemons[refused].verdict(), "accepted from "+winner), f.daemons[refused].verdict())
	for name, text := range texts {
		kept, err := os.ReadFile(filepath.Join(f.daemons[name].folder, "rules"))
		assert.NilError(t, err)
		assert.Equal(t, string(kept), text)
	}
	f.waitForRevision(2)
	// A text of the refused operator with the next number is accepted; the accepted operator's old file is not.
	f.daemons[refused].writeRules(testRules(3, "Lou", "# second again\n"))
	f.waitForRevision(3)
	f.daemons[accepted].writeRules(texts[accepted] + "# put back\n")
	f.eventually("the refusal of the older file", func() bool {
		return strings.HasPrefix(f.daemons[accepted].verdict(), "refused: revision 2")
	})
	f.waitForRevision(3)
}

// Guards against a withdrawn key that is still accepted on an open connection.
func TestWithdrawnKeyOnOpenConnection(t *testing.T) {
	f := newFleet(t, 1, 1, testRules(1, "Ana", ""))
	library := newBackend(t, f.daemons["d1"], "library", echo)
	c := newCaller()
	f.eventually("a response", func() bool {
		return c.send(f.daemons["d1"], "POST", "/kudos/1", "reader-key", "").status == http.StatusOK
	})
	withdrawn := strings.Replace(testRules(2, "Lou", ""), rules.HashKey("reader-key").String(), rules.HashKey("reader-key").String()+" state=withdrawn", 1)
	f.daemons["c1"].writeRules(withdrawn)
	f.eventually("the refusal", func() bool {
		return c.send(f.daemons["d1"], "POST", "/kudos/2", "reader-key", "").reason() == "key-withdrawn"
	})
	before := library.count("POST", "/kudos/3")
	assert.Equal(t, c.send(f.daemons["d1"], "POST", "/kudos/3", "reader-key", "").status, http.StatusUnauthorized)
	assert.Equal(t, library.count("POST", "/kudos/3"), before)
}

// Guards against a shutdown that truncates a download in progress at the caller's daemon or at the backend
// server's local daemon.
func TestGracefulShutdownKeepsDownloads(t *testing.T) {
	f := newFleet(t, 1, 2, testRules(1, "Ana", ""))
	const size = 8 << 20
	proceed := make(chan struct{})
	newBackend(t, f.daemons["d2"], "library", func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/masters/") {
			echo(w, r)
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(size))
		half := make([]byte, size/2)
		_, _ = w.Write(half)
		<-proceed
		_, _ = w.Write(half)
	})
	f.eventually("a response", func() bool {
		return newCaller().send(f.daemons["d1"], "POST", "/kudos/1", "reader-key", "").status == http.StatusOK
	})
	request, err := http.NewRequest("GET", "http://"+f.daemons["d1"].ingress+"/masters/1", nil)
	assert.NilError(t, err)
	request.Header.Set("Buckthorn-Key", "reader-key")
	response, err := newCaller().client.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	head := make([]byte, size/4)
	_, err = io.ReadFull(response.Body, head)
	assert.NilError(t, err)
	f.daemons["d1"].signal(syscall.SIGTERM)
	f.daemons["d2"].signal(syscall.SIGTERM)
	f.eventually("d1 refuses new connections", func() bool {
		return newCaller().send(f.daemons["d1"], "GET", "/works/1", "", "").err != nil
	})
	close(proceed)
	rest, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(head)+len(rest), size)
	<-f.daemons["d1"].exited
	<-f.daemons["d2"].exited
	assert.Equal(t, f.daemons["d1"].command.ProcessState.ExitCode(), 0)
	assert.Equal(t, f.daemons["d2"].command.ProcessState.ExitCode(), 0)
}

// Guards against a restart that is slow or loses state after many revisions.
func TestRestartAfterManyChanges(t *testing.T) {
	f := newFleet(t, 1, 0, testRules(1, "Ana", ""))
	const changes = 100
	for n := uint64(2); n <= changes; n++ {
		f.daemons["c1"].writeRules(testRules(n, "Ana", fmt.Sprintf("# change %d\n", n)))
		f.waitForRevision(n)
	}
	before, err := os.ReadFile(filepath.Join(f.daemons["c1"].folder, "rules"))
	assert.NilError(t, err)
	f.daemons["c1"].kill()
	f.daemons["c1"].start()
	f.waitForRevision(changes)
	client := f.daemons["c1"].client()
	current, err := client.Rules(t.Context())
	assert.NilError(t, err)
	hash := sha256.Sum256(before)
	assert.Equal(t, current.Hash, "sha256:"+hex.EncodeToString(hash[:]))
	history, err := client.History(t.Context(), 1000)
	assert.NilError(t, err)
	assert.Equal(t, len(history.Revisions), changes)
}

// Guards against a client that reports a revision as accepted when another text with its number was accepted.
func TestOperatorsClientAgainstRunningDaemon(t *testing.T) {
	f := newFleet(t, 1, 1, testRules(1, "Ana", ""))
	wait := func(file string) (int, string) {
		var out strings.Builder
		client := opctl.Env{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &out, Clock: clock.Real{}}
		status := opctl.Run(t.Context(), client, []string{"--admin", f.daemons["d1"].admin, "wait", "--file", file})
		return status, out.String()
	}
	accepted := filepath.Join(f.daemons["c1"].folder, "rules")
	status, text := wait(accepted)
	assert.Equal(t, status, 0, text)
	other := filepath.Join(t.TempDir(), "rules")
	assert.NilError(t, os.WriteFile(other, []byte(testRules(1, "Lou", "")), 0o644))
	status, text = wait(other)
	assert.Equal(t, status, 1, text)
	assert.Assert(t, strings.Contains(text, "revision 1 by Ana"), text)
}

// Guards against a status report that omits running calls, connections, backend servers or peer sessions.
func TestStatusCountsWhatIsInProgress(t *testing.T) {
	f := newFleet(t, 1, 2, testRules(1, "Ana", ""))
	entered, release := make(chan struct{}, 1), make(chan struct{})
	newBackend(t, f.daemons["d2"], "library", blockGets(entered, release))
	c := newCaller()
	f.eventually("a response", func() bool {
		return c.send(f.daemons["d1"], "POST", "/kudos/1", "reader-key", "").status == http.StatusOK
	})
	results := make(chan callResult, 1)
	go func() { results <- c.send(f.daemons["d1"], "GET", "/works/1", "", "") }()
	<-entered
	first, second := f.daemons["d1"].status(), f.daemons["d2"].status()
	close(release)
	assert.Equal(t, (<-results).status, http.StatusOK)
	assert.Assert(t, first != nil && second != nil)
	assert.Assert(t, first.Counts.Connections >= 1) // a client may open a second one before the first is idle
	assert.Equal(t, first.Counts.Backends, uint64(1))
	assert.Assert(t, first.Counts.Sessions >= 2, "control and calls: %d", first.Counts.Sessions)
	assert.Equal(t, second.Counts.Running, uint64(1))
}
