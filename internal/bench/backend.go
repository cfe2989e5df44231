package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
)

const (
	announceEvery = 3 * time.Second
	announceRetry = 50 * time.Millisecond
	answerSize    = 256
)

// standIn is a small backend server that answers every request at once.
type standIn struct {
	address string
	server  *http.Server
}

func startStandIn() (*standIn, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("bind stand-in backend server: %w", err)
	}
	answer := bytes.Repeat([]byte("a"), answerSize)
	s := &standIn{address: listener.Addr().String(), server: &http.Server{
		ReadHeaderTimeout: time.Second,
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) }),
	}}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// announce registers the backend server beside a daemon and renews the lease until ctx ends. It returns
// once the daemon has accepted the first announcement.
func (s *standIn) announce(ctx context.Context, beside *Node, service string) error {
	body, err := json.Marshal(member.Announcement{
		Service: service, Address: s.address, Slots: 512, Connections: 1024, Start: "measurement",
	})
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	send := func() error {
		response, err := http.Post("http://"+beside.Local()+"/buckthorn/announce", "application/json", bytes.NewReader(body))
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
		if !sleep(ctx, announceRetry) {
			return err
		}
	}
	go func() {
		for sleep(ctx, announceEvery) {
			_ = send()
		}
	}()
	return nil
}

// sleep reports false when ctx ended first.
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
