package bench

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

const (
	// firstPort and lastPort lie below the ports that Linux gives to outgoing connections.
	firstPort = 12000
	lastPort  = 32000

	portsPerNode = 4
	benchSecret  = "measurement-secret"
	benchKey     = "measurement-key"
)

type (
	// ports hands out ports that were free when they were tried.
	ports struct{ next int }

	// Node is one daemon of a measurement.
	Node struct {
		Name   string
		Zone   string
		Port   int    // of the ingress address; the local, peer and admin addresses follow
		Folder string // data folder, empty for a daemon that is no voter
		Rules  string // rules file, empty where none is watched
	}

	// Scale is the size of generated rules.
	Scale struct {
		Services int
		Accounts int
		Routes   int // least number; there are always the routes that callers use
	}
)

func newPorts() ports { return ports{next: firstPort + os.Getpid()%1000*portsPerNode} }

// take returns the first of several free ports in a row.
func (p *ports) take(count int) int {
	for {
		if p.next+count > lastPort {
			p.next = firstPort
		}
		first := p.next
		p.next += count
		if free(first, count) {
			return first
		}
	}
}

func free(first, count int) bool {
	for port := first; port < first+count; port++ {
		listener, err := net.Listen("tcp", at(port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

func at(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// Ingress returns the address for callers.
func (n *Node) Ingress() string { return at(n.Port) }

// Local returns the address for the backend server beside the daemon.
func (n *Node) Local() string { return at(n.Port + 1) }

// Peer returns the address for other daemons.
func (n *Node) Peer() string { return at(n.Port + 2) }

// Admin returns the operators' address.
func (n *Node) Admin() string { return at(n.Port + 3) }

// nodes makes daemons named prefix-0 and on, spread over three availability zones.
func (b *bench) nodes(prefix string, count int) []*Node {
	made := make([]*Node, 0, count)
	for i := range count {
		made = append(made, &Node{
			Name: fmt.Sprintf("%s-%d", prefix, i), Zone: fmt.Sprintf("zone-%d", i%3), Port: b.ports.take(portsPerNode),
		})
	}
	return made
}

// voters makes control instances; the first one watches the rules file.
func (b *bench) voters(count int) []*Node {
	made := b.nodes(fmt.Sprintf("voter-%d", b.ports.next), count)
	for _, node := range made {
		node.Folder = filepath.Join(b.folder, node.Name)
	}
	made[0].Rules = made[0].Folder + ".rules"
	return made
}

// controls returns the table of control addresses.
func controls(voters []*Node) map[string]string {
	table := make(map[string]string, len(voters))
	for _, voter := range voters {
		table[voter.Name] = voter.Peer()
	}
	return table
}

// settings returns the settings of a daemon as TOML.
func (n *Node) settings(controls map[string]string) string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, `name = %q
availability-zone = %q
region = "local"
ingress-address = %q
local-address = %q
peer-address = %q
admin-address = %q
secret = %q
`, n.Name, n.Zone, n.Ingress(), n.Local(), n.Peer(), n.Admin(), benchSecret)
	if n.Folder != "" {
		_, _ = fmt.Fprintf(&text, "data-folder = %q\n", n.Folder)
	}
	if n.Rules != "" {
		_, _ = fmt.Fprintf(&text, "rules-file = %q\n", n.Rules)
	}
	text.WriteString("\n[control-addresses]\n")
	for name, address := range controls {
		_, _ = fmt.Fprintf(&text, "%s = %q\n", name, address)
	}
	return text.String()
}

// text returns rules of the given size. Each service has an open, a keyed and a run=once route; the
// account of number i has the key of number i.
func (s Scale) text(revision int) string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "revision %d # requested by Bench\n", revision)
	for i := range s.Services {
		_, _ = fmt.Fprintf(&text, "service %s slots=512 connections=1024 # requested by Bench\n", service(i))
	}
	for i := range s.Accounts {
		// The rate of the first account changes with each revision, so that a difference is one line.
		rate := 900000
		if i == 0 {
			rate += revision % 1000
		}
		_, _ = fmt.Fprintf(&text, "account account-%d rate=%d/s burst=900000 # requested by Bench\n", i, rate)
		_, _ = fmt.Fprintf(&text, "key account-%d %s # requested by Bench\n", i, rules.HashKey(key(i)))
	}
	for i := range s.Services {
		for _, kind := range []string{"GET /open/%s/{id} service=%s access=open run=idempotent", "GET /keyed/%s/{id} service=%s access=keyed run=idempotent", "POST /once/%s/{id} service=%s access=keyed run=once"} {
			_, _ = fmt.Fprintf(&text, "route "+kind+" importance=normal deadline=5s # requested by Bench\n", service(i), service(i))
		}
	}
	for i := 3 * s.Services; i < s.Routes; i++ {
		_, _ = fmt.Fprintf(&text, "route GET /more-%d/{id} service=%s access=keyed run=idempotent importance=normal deadline=2s # requested by Bench\n", i, service(i%s.Services))
	}
	return text.String()
}

func service(i int) string { return fmt.Sprintf("service-%d", i) }

func key(account int) string { return fmt.Sprintf("%s-%d", benchKey, account) }

// writeRules replaces a rules file in one step, so that the watcher never reads half of it.
func writeRules(path, text string) error {
	if err := os.WriteFile(path+".new", []byte(text), 0o644); err != nil {
		return fmt.Errorf("write rules: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("write rules: %w", err)
	}
	return nil
}
