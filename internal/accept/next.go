package accept

import (
	"context"
	"errors"
	"net"
	"time"
)

// Pauses after a failed Accept: the first one, and the longest after further ones.
const (
	firstPause = 5 * time.Millisecond
	maxPause   = 500 * time.Millisecond
)

// Next returns the next connection of listener. A failed Accept is reported and tried again, because a lack of file
// descriptors or memory passes. The error wraps net.ErrClosed, or is that of ctx.
func Next(ctx context.Context, listener net.Listener, report func(error)) (net.Conn, error) {
	for pause := firstPause; ; pause = min(2*pause, maxPause) {
		conn, err := listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		report(err)
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, ctx.Err()
		}
	}
}
