package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
)

const (
	announceInterval   = 3 * time.Second
	announceRetryDelay = 50 * time.Millisecond
	responseSize       = 256
)

// stubBackend is a backend server that responds to every request immediately.
type stubBackend struct {
	address string
	server  *http.Server
	// returnsAttempt is announced; without it the daemon opens a connection for each request.
	returnsAttempt bool
}

func startStubBackend() (*stubBackend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("bind stub backend server: %w", err)
	}
	response := bytes.Repeat([]byte("a"), responseSize)
	s := &stubBackend{address: listener.Addr().String(), returnsAttempt: true, server: &http.Server{
		ReadHeaderTimeout: time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(call.HeaderAttempt, r.Header.Get(call.HeaderAttempt))
			_, _ = w.Write(response)
		}),
	}}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// announce announces the backend server to its local daemon and renews the lease until ctx ends. It returns
// when the daemon has accepted the first announcement.
func (s *stubBackend) announce(ctx context.Context, node *Node, service string) error {
	body, err := json.Marshal(member.Announcement{
		Service: service, Address: s.address, Slots: 512, Connections: 1024, Start: "measurement", ReturnsAttempt: s.returnsAttempt,
	})
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	send := func() error {
		response, err := http.Post("http://"+node.LocalAddress()+"/buckthorn/announce", "application/json", bytes.NewReader(body))
		if err != nil {
			return fmt.Errorf("announce: %w", err)
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("announce: status %d", response.StatusCode)
		}
		return nil
	}
	for first := true; ; first = false {
		err := send()
		if err == nil {
			break
		}
		if !first && ctx.Err() != nil {
			return err
		}
		if !sleep(ctx, announceRetryDelay) {
			return err
		}
	}
	go func() {
		for sleep(ctx, announceInterval) {
			_ = send()
		}
	}()
	return nil
}

// sleep waits for d and reports whether it did so before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
