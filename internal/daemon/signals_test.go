package daemon

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/cmds"
	"github.com/buckthornpitch/buckthornpitch/internal/config"
	"github.com/buckthornpitch/buckthornpitch/internal/root"
)

// Guards against a daemon that ends because its settings change while it starts.
func TestHangupDuringTheStartIsIgnored(t *testing.T) {
	f := &fleet{t: t, folder: t.TempDir(), daemons: map[string]*process{}}
	p := f.add("c1", true)
	settings := filepath.Join(p.folder, "settings.toml")
	assert.NilError(t, syscall.Mkfifo(settings, 0o600)) // the daemon waits while it reads its settings
	p.start()
	defer p.kill()
	var pipe *os.File
	f.eventually("the daemon reads its settings", func() bool {
		opened, err := os.OpenFile(settings, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		pipe = opened
		return !errors.Is(err, syscall.ENXIO)
	})
	p.signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond) // the default action ends a process at once
	_, err := pipe.WriteString("no settings")
	assert.NilError(t, err)
	assert.NilError(t, pipe.Close())
	<-p.exited
	assert.Equal(t, p.command.ProcessState.ExitCode(), cmds.Usage, "%v", p.command.ProcessState)
}

// Guards against a daemon that goes on serving until it is killed: the signal to stop arrived before the application
// listened for it.
func TestStopDuringTheStartIsObeyed(t *testing.T) {
	f := &fleet{t: t, folder: t.TempDir(), daemons: map[string]*process{}}
	p := f.add("c1", true)
	p.writeSettings("zone-a", fmt.Sprintf("c1 = %q\n", p.peer))
	p.writeRules(testRules(1, "Ana", ""))
	settings, err := config.Load(filepath.Join(p.folder, "settings.toml"))
	assert.NilError(t, err)
	daemon, err := root.New(settings, clock.Real{}, zerolog.Nop())
	assert.NilError(t, err)
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGTERM
	done := make(chan int, 1)
	go func() { done <- serveUntil(signals, daemon, zerolog.Nop(), os.Stderr) }()
	select {
	case status := <-done:
		assert.Equal(t, status, cmds.OK)
	case <-time.After(conditionTimeout):
		t.Fatal("the daemon still runs")
	}
}
