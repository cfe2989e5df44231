package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports that each machine uses on its own loopback address.
const (
	portPeer    = 7000
	portAdmin   = 8540 // calls of the platform: heartbeats, the operator
	portIngress = 8548
	portReady   = 8546
	portServer  = 8547
	portMetrics = 9464
)

// startLimit bounds the wait for a fleet to serve.
const startLimit = 30 * time.Second

type (
	// fleet is a small deployment: control instances and machines with a daemon.
	fleet struct {
		record *record
		dir    string
		prefix string // of the addresses of the machines
		nodes  []*node
	}

	// node is one machine with its process.
	node struct {
		fleet   *fleet
		name    string
		ip      string
		zone    string
		service string // empty on control instances
		control bool

		mu      sync.Mutex
		process *exec.Cmd
		exited  chan struct{}
		log     string
	}

	// record is the file in which a case notes what was sent, answered and run.
	record struct {
		mu    sync.Mutex
		file  *os.File
		start time.Time
	}
)

// errSetup ends a case that could not run.
type errSetup struct{ text string }

func (e errSetup) Error() string { return e.text }

func setupFailed(format string, args ...any) { panic(errSetup{fmt.Sprintf(format, args...)}) }

func newRecord(folder string) *record {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		setupFailed("record: %v", err)
	}
	return &record{file: file, start: time.Now()}
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// newFleet starts three control instances and one daemon for each service.
func newFleet(r *record, services ...string) *fleet {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		setupFailed("temporary folder: %v", err)
	}
	f := &fleet{record: r, dir: dir, prefix: freePrefix(3 + len(services))}
	for i := range 3 {
		f.nodes = append(f.nodes, &node{fleet: f, name: fmt.Sprintf("core-%d", i), ip: f.address(i), zone: zoneOf(i), control: true})
	}
	for i, service := range services {
		f.nodes = append(f.nodes, &node{fleet: f, name: fmt.Sprintf("sidecar-%d", i), ip: f.address(3 + i), zone: zoneOf(i), service: service})
	}
	for _, n := range f.nodes {
		n.writeSettings(true)
		n.start()
	}
	return f
}

func zoneOf(i int) string { return []string{"zone-a", "zone-b", "zone-c"}[i%3] }

func (f *fleet) address(i int) string { return fmt.Sprintf("%s%d", f.prefix, 10+i) }

// freePrefix returns a block of loopback addresses on which the ports are free.
func freePrefix(count int) string {
	for range 200 {
		prefix := fmt.Sprintf("127.%d.%d.", 30+rand.IntN(200), 1+rand.IntN(250))
		if prefixIsFree(prefix, count) {
			return prefix
		}
	}
	setupFailed("no free addresses")
	return ""
}

func prefixIsFree(prefix string, count int) bool {
	for i := range count {
		for _, port := range []int{portPeer, portAdmin, portIngress, portReady, portServer, portMetrics} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, 10+i, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (f *fleet) controls() []*node { return f.nodes[:3] }

func (f *fleet) daemons() []*node { return f.nodes[3:] }

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		n.awaitExit(5 * time.Second)
	}
	_ = os.RemoveAll(f.dir)
}

func (n *node) at(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

func (n *node) dataFolder() string { return filepath.Join(n.fleet.dir, n.name+"-data") }

// writeSettings writes what deploy/settings.toml.tmpl gives for this machine.
func (n *node) writeSettings(bootstrap bool) {
	var seeds []string
	for _, c := range n.fleet.controls() {
		seeds = append(seeds, c.at(portAdmin))
	}
	var b bytes.Buffer
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("name = %q", n.name)
	line("availability-zone = %q", n.zone)
	line("region = %q", "region")
	if !n.control {
		line("ingress-address = %q", n.at(portIngress))
	}
	line("peer-address = %q", n.at(portPeer))
	line("admin-address = %q", n.at(portMetrics))
	if n.control {
		line("data-folder = %q", n.dataFolder())
	}
	line("log-level = %q", "debug")
	line("secret = %q", "buckthornpitch-fleet-secret")
	line("[limits]\nconnect-timeout = \"500ms\"\nbody-size = \"64MiB\"\nwrite-timeout = \"10s\"")
	line("[fleet]\ncall-address = %q", n.at(portAdmin))
	if !n.control {
		line("ready-address = %q", n.at(portReady))
		line("service = %q", n.service)
		line("backend-address = %q", n.at(portServer))
	}
	line("seeds = %q", strings.Join(seeds, ","))
	if bootstrap {
		line("found = \"yes\"")
	}
	memory := "284MiB"
	if n.control {
		memory = "280MiB"
	}
	line("revoke-within = \"5s\"\nstop-within = \"6s\"\nretry-ratio = \"0.2\"\nretry-window = \"10s\"\nmemory = %q", memory)
	if err := os.WriteFile(n.settingsFile(), b.Bytes(), 0o600); err != nil {
		setupFailed("settings: %v", err)
	}
}

func (n *node) settingsFile() string { return filepath.Join(n.fleet.dir, n.name+".toml") }

// start starts the process with the command of deploy/system.toml.
func (n *node) start() {
	n.log = filepath.Join(n.fleet.dir, n.name+".log")
	log, err := os.OpenFile(n.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		setupFailed("log: %v", err)
	}
	command := exec.Command("target/buckthornd", "run")
	command.Env = append(os.Environ(), "BUCKTHORNPITCH_SETTINGS="+n.settingsFile())
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		setupFailed("start %s: %v", n.name, err)
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process, n.exited = command, exited
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.process.Process.Signal(s)
}

func (n *node) awaitExit(limit time.Duration) bool {
	select {
	case <-n.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// running reports whether the process still runs.
func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// putConfig sends a configuration until it is acknowledged, as the operator does.
func (f *fleet) putConfig(text string) {
	deadline := time.Now().Add(startLimit)
	for i := 0; time.Now().Before(deadline); i++ {
		status, body := f.call(f.controls()[i%3], "config.put", text, 4*time.Second)
		f.record.printf("operator: config.put at %s: %d %s", f.controls()[i%3].name, status, strings.TrimSpace(body))
		if status == http.StatusOK {
			for _, n := range f.nodes {
				n.writeSettings(false) // later starts are not the first of the system
			}
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	setupFailed("the configuration was not acknowledged")
}

// call sends one call of the operator; status 0 means no answer. The client follows redirects with its body.
func (f *fleet) call(n *node, name, body string, limit time.Duration) (status int, text string) {
	client := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+n.at(portAdmin)+"/rpc?call="+name, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(content)
}

// route is a route of a configuration.
type route struct {
	Name, Kind, Prefix, Service string
	Timeout                     float64
	Public                      bool
}

// configText returns a configuration in the form of PROTOCOL.md.
func configText(version, base int, tenants []map[string]any, routes []route, services []string) string {
	var rules, clusters []map[string]any
	for _, r := range routes {
		rules = append(rules, map[string]any{
			"name": r.Name, "route_type": r.Kind, "target_latency_s": 1.5, "priority": 2, "public": r.Public,
			"match":  map[string]any{"path_prefix": r.Prefix},
			"action": map[string]any{"service": r.Service, "timeout_s": r.Timeout, "max_attempts": 2},
		})
	}
	for _, s := range services {
		clusters = append(clusters, map[string]any{"name": s, "health_path": "/health", "max_connections": 748, "protocol": "h1", "tls": false})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "base_version": base,
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"tenants":   tenants,
		"listeners": []map[string]any{{"host": "shop.example", "route_rules": rules}},
		"clusters":  clusters,
	})
	if err != nil {
		setupFailed("configuration: %v", err)
	}
	return string(text)
}

// awaitReady waits until the daemons answer their readiness check with 200.
func (f *fleet) awaitReady(nodes ...*node) {
	deadline := time.Now().Add(startLimit)
	for _, n := range nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				setupFailed("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (n *node) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.at(portReady) + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
