package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/buckthornpitch/buckthornpitch/internal/head"
	"github.com/buckthornpitch/buckthornpitch/internal/root/warmup"
)

// errNoHealth reports that a server has said nothing about itself: it refused the health check, or named no instance.
var errNoHealth = errors.New("health check of backend server was not answered")

// CheckHealth sends a health check to the server at n.Address and registers the server if it accepts requests,
// unless a notice of the server has been confirmed meanwhile. A daemon that starts next to a running server thus need
// not wait for the server's next notice. The error wraps errNoHealth if the server has said nothing about itself.
func (b *LocalBackend) CheckHealth(ctx context.Context, n Notice, path string) error {
	if b.registered() {
		return nil
	}
	pending, leaves := b.unconfirmed()
	health, err := b.askHealth(ctx, n.Address, path)
	switch {
	case err != nil || b.registered():
		return err
	case health.Instance == "":
		return errNoHealth
	case !health.Ready:
		return nil
	case pending.Instance == health.Instance:
		return b.register(ctx, pending, leaves)
	}
	n.Instance, n.State, n.ColdFor = health.Instance, StateReady, health.ColdFor
	if !health.ColdKnown {
		_, n.ColdFor = warmup.Limits(b.Control.Snapshot().Rules, n.Service)
	}
	if use, err := b.accept(n); err != nil || !use {
		return err
	}
	return b.register(ctx, n, leaves)
}

func (b *LocalBackend) registered() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current != nil
}

// unconfirmed returns the latest notice that no health check has confirmed, and the number of servers that have left.
func (b *LocalBackend) unconfirmed() (pending Notice, leaves int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pending, b.leaves
}

// confirmNotice reports whether a notice is one of the server as it is now. A daemon that has just started knows nothing of
// the server: the notice may have been delayed, and the server may have left meanwhile, which an earlier process of the
// daemon has acknowledged. The first notice is therefore used only if the server itself says that it accepts requests.
// Later notices are compared with those before. The number of servers that had left before the server was asked is
// returned for register.
func (b *LocalBackend) confirmNotice(ctx context.Context, n Notice) (leaves int, confirmed bool) {
	if b.registered() {
		return 0, true
	}
	b.mu.Lock()
	if b.pending.Instance == "" || !isOutdated(n, b.pending) {
		b.pending = n
	}
	leaves = b.leaves
	b.mu.Unlock()
	set := b.Control.Snapshot().Rules
	if set == nil || set.Services[n.Service] == nil {
		return leaves, false // there is no health path yet, and no route leads to the service
	}
	health, err := b.askHealth(ctx, n.Address, set.Services[n.Service].HealthPath)
	return leaves, err == nil && health.Ready && health.Instance == n.Instance
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
