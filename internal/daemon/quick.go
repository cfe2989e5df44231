package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/cmds"
	"github.com/buckthornpitch/buckthornpitch/internal/config"
	"github.com/buckthornpitch/buckthornpitch/internal/logs"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

const (
	quickKey           = "quick-start-key"
	announceInterval   = 3 * time.Second
	announceRetryDelay = 100 * time.Millisecond
)

type quickStartCommand struct {
	Folder string `arg:"--folder" placeholder:"DIR" help:"folder for the rules file and the state; a temporary one by default"`
	Port   int    `arg:"--port" default:"7400" help:"first of five ports on 127.0.0.1"`
}

// quickRules is the format of the rules of the quick start; its argument is the hash of the key.
const quickRules = `revision 1 # requested by Quick Start: first rules
service library slots=16 connections=64 # requested by Quick Start
account reader rate=5/s burst=10 # requested by Quick Start
key reader %s # requested by Quick Start
route GET /works/{id} service=library access=open run=idempotent importance=normal deadline=2s # requested by Quick Start
route POST /works/{id}/kudos service=library access=keyed run=once importance=critical deadline=2s # requested by Quick Start
`

func quickStart(command *quickStartCommand, stdout, stderr io.Writer) int {
	ignoreHangup()
	folder := command.Folder
	if folder == "" {
		tempFolder, err := os.MkdirTemp("", "buckthorn-quick-start-")
		if err != nil {
			return fail(stderr, cmds.Failed, fmt.Errorf("create folder: %w", err))
		}
		defer func() { _ = os.RemoveAll(tempFolder) }()
		folder = tempFolder
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fail(stderr, cmds.Failed, fmt.Errorf("create folder: %w", err))
	}
	settings, err := quickSettings(folder, command.Port)
	if err != nil {
		return fail(stderr, cmds.Failed, err)
	}
	if err := writeQuickRules(settings.RulesFile); err != nil {
		return fail(stderr, cmds.Failed, err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", command.Port+4)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fail(stderr, cmds.Failed, fmt.Errorf("bind stand-in backend server: %w", err))
	}
	server := &http.Server{Handler: http.HandlerFunc(serveStandIn), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go announce(ctx, settings.LocalAddress.String(), address)
	_, _ = io.WriteString(stdout, quickHelp(settings))
	return serve(settings, logs.New(stderr, zerolog.InfoLevel), stderr)
}

func quickSettings(folder string, port int) (*config.Settings, error) {
	text := fmt.Sprintf(`name = "quick"
availability-zone = "local"
region = "local"
ingress-address = "127.0.0.1:%d"
local-address = "127.0.0.1:%d"
peer-address = "127.0.0.1:%d"
admin-address = "127.0.0.1:%d"
data-folder = %q
rules-file = %q
secret = "quick-start-secret"

[control-addresses]
quick = "127.0.0.1:%d"
`, port, port+1, port+2, port+3, filepath.Join(folder, "data"), filepath.Join(folder, "rules.txt"), port+2)
	return config.Parse("quick-start", []byte(text), nil)
}

// writeQuickRules writes the rules file unless it exists, because an operator may have edited it.
func writeQuickRules(path string) error {
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	text := fmt.Sprintf(quickRules, rules.HashKey(quickKey))
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return fmt.Errorf("write rules file: %w", err)
	}
	return nil
}

// serveStandIn handles requests as the stand-in backend server; the response names the client account.
func serveStandIn(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(call.HeaderAttempt, r.Header.Get(call.HeaderAttempt))
	_ = json.NewEncoder(w).Encode(map[string]string{
		"method": r.Method, "path": r.URL.Path, "account": r.Header.Get("Buckthorn-Account"),
	})
}

// announce registers the stand-in backend server and renews its lease until ctx ends.
func announce(ctx context.Context, local, address string) {
	body := fmt.Sprintf(`{"service":"library","address":%q,"slots":16,"connections":64,"start":"%d-%d","returns-attempt":true}`,
		address, os.Getpid(), time.Now().UnixNano())
	for ctx.Err() == nil {
		delay := announceInterval
		response, err := http.Post("http://"+local+"/buckthorn/announce", "application/json", strings.NewReader(body))
		if err != nil {
			delay = announceRetryDelay
		} else {
			_ = response.Body.Close()
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
}

func quickHelp(settings *config.Settings) string {
	ingressURL := func(path string) string { return httpURL(settings.IngressAddress, path) }
	return fmt.Sprintf(`A daemon with embedded state and a stand-in backend server is running. Try:

  curl -i %s
  curl -i -X POST -H 'Buckthorn-Key: %s' -H 'Idempotency-Key: first' %s
  curl -i -X POST -H 'Buckthorn-Key: unknown' %s
  go run ./cmd/buckthornctl status --admin %s

The rules are in %s. Edit them, raise the revision number, and look at %s.verdict.
End with Ctrl-C.

`, ingressURL("/works/1"), quickKey, ingressURL("/works/1/kudos"), ingressURL("/works/1/kudos"),
		settings.AdminAddress, settings.RulesFile, settings.RulesFile)
}

func httpURL(address netip.AddrPort, path string) string { return "http://" + address.String() + path }
