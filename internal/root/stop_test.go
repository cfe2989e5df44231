package root

import (
	"bytes"
	"context"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/super"
)

// lineWatcher closes seen when a log line contains text.
type lineWatcher struct {
	text []byte
	seen chan struct{}
}

func (w *lineWatcher) Write(line []byte) (int, error) {
	if bytes.Contains(line, w.text) {
		close(w.seen)
	}
	return len(line), nil
}

// Guards against a process that ends by a panic, with the connections that it has accepted, because a signal arrives
// while the daemon starts: the application may call Stop before Start.
func TestStopBeforeStart(t *testing.T) {
	child := super.Child{Name: "traffic", Run: func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	}}
	stopping := &lineWatcher{text: []byte("daemon-stopping"), seen: make(chan struct{})}
	daemon := newDaemon(&super.Group{Name: "root", Log: zerolog.Nop(), Children: []super.Child{child}}, zerolog.New(stopping))
	stopped := make(chan error, 1)
	go func() { stopped <- daemon.Stop(context.Background()) }()
	<-stopping.seen
	assert.NilError(t, daemon.Start(context.Background()))
	assert.NilError(t, <-stopped)
}
