package main

import (
	"bytes"
	"errors"
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

const (
	daemonProgram = "target/buckthornd" // built by the line of the deploy file

	controlInstances = 3
	callTimeout      = time.Second // of the platform's calls
	startTimeout     = 20 * time.Second
)

type (
	// record writes record.txt and the verdict of a case.
	record struct {
		mu      sync.Mutex
		file    *os.File
		started time.Time
	}

	// ports are the same on all machines of a fleet.
	ports struct{ peer, admin, calls, outbound, ready, server int }

	// machine is one machine of the platform, at a loopback address of its own.
	machine struct {
		name, ip, service, zone string
		control                 bool
		settings, data, log     string

		mu      sync.Mutex
		process *exec.Cmd
		exited  chan struct{}
	}

	// fleet is a small deployment: control instances and daemons, each a process of its own.
	fleet struct {
		rec      *record
		folder   string
		network  string
		ports    ports
		controls []*machine
		daemons  []*machine
		memory   string // value of the memory setting
	}
)

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// newFleet chooses free ports and loopback addresses, and writes the settings files. services holds the service of
// the server beside each daemon.
func newFleet(rec *record, memory string, services ...string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, folder: folder, memory: memory}
	f.network = fmt.Sprintf("127.%d.%d.", 30+rand.IntN(200), 1+rand.IntN(250))
	for _, target := range []*int{&f.ports.peer, &f.ports.admin, &f.ports.calls, &f.ports.outbound, &f.ports.ready, &f.ports.server} {
		listener, err := net.Listen("tcp", f.network+"250:0")
		if err != nil {
			return nil, err
		}
		*target = listener.Addr().(*net.TCPAddr).Port
		defer func() { _ = listener.Close() }()
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range controlInstances {
		f.controls = append(f.controls, f.newMachine(fmt.Sprintf("core-%d", i+1), 10+i, zones[i%len(zones)], "", true))
	}
	for i, service := range services {
		f.daemons = append(f.daemons, f.newMachine(fmt.Sprintf("sidecar-%d", i+1), 50+i, zones[i%len(zones)], service, false))
	}
	for _, m := range f.all() {
		if err := f.writeSettings(m, true); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) newMachine(name string, host int, zone, service string, control bool) *machine {
	m := &machine{name: name, ip: fmt.Sprint(f.network, host), zone: zone, service: service, control: control}
	m.settings, m.log = filepath.Join(f.folder, name+".toml"), filepath.Join(f.folder, name+".log")
	if control {
		m.data = filepath.Join(f.folder, name)
	}
	return m
}

func (f *fleet) all() []*machine { return append(append([]*machine{}, f.controls...), f.daemons...) }

func (f *fleet) address(m *machine, port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// writeSettings writes what the template of the deploy file renders for a machine.
func (f *fleet) writeSettings(m *machine, firstStart bool) error {
	var seeds []string
	for _, c := range f.controls {
		seeds = append(seeds, f.address(c, f.ports.calls))
	}
	var text strings.Builder
	set := func(name, value string) { fmt.Fprintf(&text, "%s = %q\n", name, value) }
	set("name", m.name)
	set("availability-zone", m.zone)
	set("region", "region")
	if !m.control {
		set("ingress-address", f.address(m, f.ports.outbound))
	}
	set("peer-address", f.address(m, f.ports.peer))
	set("admin-address", f.address(m, f.ports.admin))
	if m.control {
		set("data-folder", m.data)
	}
	set("log-level", "debug")
	set("secret", "buckthornpitch-fleet-secret")
	text.WriteString("\n[limits]\n")
	set("connect-timeout", "500ms")
	set("body-size", "16MiB")
	text.WriteString("\n[fleet]\n")
	set("call-address", f.address(m, f.ports.calls))
	if !m.control {
		set("ready-address", f.address(m, f.ports.ready))
		set("service", m.service)
		set("backend-address", f.address(m, f.ports.server))
	}
	set("seeds", strings.Join(seeds, ","))
	if firstStart {
		set("found", "true")
	}
	set("revoke-within", "5s")
	set("stop-within", "6s")
	set("retry-ratio", "0.2")
	set("retry-window", "10s")
	set("memory", f.memory)
	return os.WriteFile(m.settings, []byte(text.String()), 0o600)
}

// start starts the process of a machine with the command of the deploy file.
func (f *fleet) start(m *machine) error {
	log, err := os.OpenFile(m.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(daemonProgram, "run")
	command.Env = append(os.Environ(), "BUCKTHORNPITCH_SETTINGS="+m.settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	m.mu.Lock()
	m.process, m.exited = command, exited
	m.mu.Unlock()
	f.rec.logf("%s: process started", m.name)
	return nil
}

func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process.Process.Pid
}

// signal sends a signal to the process of a machine and returns a channel that is closed at its end.
func (f *fleet) signal(m *machine, sig syscall.Signal) chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	f.rec.logf("%s: signal %v", m.name, sig)
	_ = m.process.Process.Signal(sig)
	return m.exited
}

// startAll starts all processes; the settings of later starts say that it is not the first one.
func (f *fleet) startAll() error {
	for _, m := range f.all() {
		if err := f.start(m); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes and removes the temporary folder, unless KEEP is set.
func (f *fleet) stop() {
	for _, m := range f.all() {
		if m.process == nil {
			continue
		}
		_ = m.process.Process.Signal(syscall.SIGCONT)
		_ = m.process.Process.Kill()
		<-m.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// putConfig acts as the operator: it sends a configuration to the control instances until one acknowledges it.
func (f *fleet) putConfig(config string) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		for _, c := range f.controls {
			status, _ := f.call(f.address(c, f.ports.calls), "config.put", "", config)
			if status == http.StatusOK {
				f.rec.logf("operator: configuration acknowledged by way of %s", c.name)
				return nil
			}
			if status >= 400 && status < 500 {
				return fmt.Errorf("the configuration is refused with %d", status)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the configuration is not acknowledged")
}

// call makes one of the platform's calls and follows redirects; status 0 means no response.
func (f *fleet) call(address, name, of, body string) (status int, response string) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	url := "http://" + address + "/rpc?call=" + name
	if of != "" {
		url += "&of=" + of
	}
	answer, err := client.Post(url, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, ""
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(answer.Body, 1<<20))
	if err != nil {
		return 0, ""
	}
	return answer.StatusCode, string(text)
}

// ready reports whether the daemon of a machine says that it is ready.
func (f *fleet) ready(m *machine) bool {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + f.address(m, f.ports.ready) + "/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, m := range f.daemons {
		for !f.ready(m) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.rec.logf("all daemons are ready")
	return nil
}
