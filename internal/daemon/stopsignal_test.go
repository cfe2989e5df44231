package daemon

import (
	"context"
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/cmds"
)

// runningServer runs until it is stopped.
type runningServer struct{ stopped chan struct{} }

func (s *runningServer) Start(context.Context) error {
	<-s.stopped
	return nil
}

func (s *runningServer) Stop(context.Context) error {
	close(s.stopped)
	return nil
}

// Guards against a daemon that goes on accepting requests until it is killed, because the signal to stop arrived while
// it started.
func TestSignalDuringTheStartIsNotLost(t *testing.T) {
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGTERM // before the application handles signals
	status := make(chan int, 1)
	go func() {
		status <- serveUntil(signals, &runningServer{stopped: make(chan struct{})}, zerolog.Nop(), io.Discard)
	}()
	select {
	case got := <-status:
		assert.Equal(t, got, cmds.OK)
	case <-time.After(60 * time.Second):
		t.Fatal("the daemon goes on after the signal")
	}
}
