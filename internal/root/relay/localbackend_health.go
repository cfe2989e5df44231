package relay

import (
	"context"
	"fmt"
	"net/http"

	"github.com/buckthornpitch/buckthornpitch/internal/head"
	"github.com/buckthornpitch/buckthornpitch/internal/root/warmup"
)

// CheckHealth sends a health check to the server at n.Address and registers the server if it accepts requests,
// unless the server has sent a notice meanwhile. A daemon that starts next to a running server thus need not
// wait for the server's next notice.
func (b *LocalBackend) CheckHealth(ctx context.Context, n Notice, path string) error {
	if b.registered() {
		return nil
	}
	health, err := b.askHealth(ctx, n.Address, path)
	if err != nil || b.registered() {
		return err
	}
	if !health.Ready {
		b.mu.Lock()
		b.unready = health.Instance
		b.mu.Unlock()
		return nil
	}
	n.Instance, n.State, n.ColdFor = health.Instance, StateReady, health.ColdFor
	if !health.ColdKnown {
		_, n.ColdFor = warmup.Limits(b.Control.Snapshot().Rules, n.Service)
	}
	return b.Notice(ctx, n)
}

func (b *LocalBackend) registered() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current != nil
}

// hasLeftBefore reports whether a notice is a late one of a server that has left. A daemon that has restarted knows
// nothing of the leave; but the server said at the start of the daemon that it accepts no requests, and says so again.
func (b *LocalBackend) hasLeftBefore(ctx context.Context, n Notice) bool {
	b.mu.Lock()
	suspected := b.current == nil && b.unready != "" && b.unready == n.Instance
	b.mu.Unlock()
	set := b.Control.Snapshot().Rules
	if !suspected || set == nil || set.Services[n.Service] == nil {
		return false
	}
	health, err := b.askHealth(ctx, n.Address, set.Services[n.Service].HealthPath)
	return err == nil && !health.Ready && health.Instance == n.Instance
}

// askHealth sends a health check to a server. A server that has not run the check has said nothing about itself.
func (b *LocalBackend) askHealth(ctx context.Context, address, path string) (Health, error) {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return Health{}, fmt.Errorf("check health of backend server: %w", err)
	}
	transport := head.Transport{Base: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxResponseHeader}}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Health{}, fmt.Errorf("check health of backend server: %w", err)
	}
	_ = response.Body.Close()
	health := b.Dialect.DecodeHealth(response.StatusCode, response.Header)
	b.Log.Info().Str("address", address).Str("instance", health.Instance).Int("status", response.StatusCode).Bool("ready", health.Ready).
		Bool("cold-known", health.ColdKnown).Dur("cold-for", health.ColdFor).Msg("backend-server-checked")
	if b.Dialect.DecodeResponseMetadata(response.StatusCode, response.Header).NotRun {
		health.Instance = ""
	}
	return health, nil
}
