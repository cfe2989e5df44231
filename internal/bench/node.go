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
	// firstPort and lastPort are below the range of ephemeral ports of Linux.
	firstPort = 12000
	lastPort  = 32000

	portsPerNode = 4
	benchSecret  = "measurement-secret"
	benchKey     = "measurement-key"
)

type (
	// ports assigns ports that are free at the time of the assignment.
	ports struct{ next int }

	// Node is the configuration of one daemon of a measurement.
	Node struct {
		Name       string
		Zone       string
		Port       int    // of the ingress address; the local, peer and admin addresses have the next three ports
		DataFolder string // empty for a daemon that is no voter
		RulesFile  string // empty for a daemon that watches no rules file
	}

	// RulesSize is the size of generated rules.
	RulesSize struct {
		Services  int
		Accounts  int
		MinRoutes int // minimum; the routes that the measurements call always exist
	}
)

func newPorts() ports { return ports{next: firstPort + os.Getpid()%1000*portsPerNode} }

// reserve returns the first of count consecutive free ports.
func (p *ports) reserve(count int) int {
	for {
		if p.next+count > lastPort {
			p.next = firstPort
		}
		first := p.next
		p.next += count
		if portsFree(first, count) {
			return first
		}
	}
}

func portsFree(first, count int) bool {
	for port := first; port < first+count; port++ {
		listener, err := net.Listen("tcp", loopbackAddress(port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// IngressAddress returns the address for callers.
func (n *Node) IngressAddress() string { return loopbackAddress(n.Port) }

// LocalAddress returns the address for the local backend server.
func (n *Node) LocalAddress() string { return loopbackAddress(n.Port + 1) }

// PeerAddress returns the address for other daemons.
func (n *Node) PeerAddress() string { return loopbackAddress(n.Port + 2) }

// AdminAddress returns the address for operators.
func (n *Node) AdminAddress() string { return loopbackAddress(n.Port + 3) }

// newNodes returns daemons named prefix-0, prefix-1 and so on, spread over three availability zones.
func (b *bench) newNodes(prefix string, count int) []*Node {
	nodes := make([]*Node, 0, count)
	for i := range count {
		nodes = append(nodes, &Node{
			Name: fmt.Sprintf("%s-%d", prefix, i), Zone: fmt.Sprintf("zone-%d", i%3), Port: b.ports.reserve(portsPerNode),
		})
	}
	return nodes
}

// newVoters returns control instances, of which the first one watches a rules file.
func (b *bench) newVoters(count int) []*Node {
	voters := b.newNodes(fmt.Sprintf("voter-%d", b.ports.next), count)
	for _, node := range voters {
		node.DataFolder = filepath.Join(b.folder, node.Name)
	}
	voters[0].RulesFile = voters[0].DataFolder + ".rules"
	return voters
}

// controlAddresses returns the control addresses of the voters by name.
func controlAddresses(voters []*Node) map[string]string {
	addresses := make(map[string]string, len(voters))
	for _, voter := range voters {
		addresses[voter.Name] = voter.PeerAddress()
	}
	return addresses
}

// settings returns the settings of the daemon as TOML.
func (n *Node) settings(addresses map[string]string) string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, `name = %q
availability-zone = %q
region = "local"
ingress-address = %q
local-address = %q
peer-address = %q
admin-address = %q
secret = %q
`, n.Name, n.Zone, n.IngressAddress(), n.LocalAddress(), n.PeerAddress(), n.AdminAddress(), benchSecret)
	if n.DataFolder != "" {
		_, _ = fmt.Fprintf(&text, "data-folder = %q\n", n.DataFolder)
	}
	if n.RulesFile != "" {
		_, _ = fmt.Fprintf(&text, "rules-file = %q\n", n.RulesFile)
	}
	text.WriteString("\n[control-addresses]\n")
	for name, address := range addresses {
		_, _ = fmt.Fprintf(&text, "%s = %q\n", name, address)
	}
	return text.String()
}

// rulesText returns rules of this size. Each service has an open, a keyed and a run=once route; account i has
// the key accountKey(i).
func (s RulesSize) rulesText(revision int) string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "revision %d # requested by Bench\n", revision)
	for i := range s.Services {
		_, _ = fmt.Fprintf(&text, "service %s slots=512 connections=1024 # requested by Bench\n", serviceName(i))
	}
	for i := range s.Accounts {
		// The rate of the first account is different in each revision, so that consecutive revisions differ in
		// one line.
		rate := 900000
		if i == 0 {
			rate += revision % 1000
		}
		_, _ = fmt.Fprintf(&text, "account account-%d rate=%d/s burst=900000 # requested by Bench\n", i, rate)
		_, _ = fmt.Fprintf(&text, "key account-%d %s # requested by Bench\n", i, rules.HashKey(accountKey(i)))
	}
	for i := range s.Services {
		for _, kind := range []string{"GET /open/%s/{id} service=%s access=open run=idempotent", "GET /keyed/%s/{id} service=%s access=keyed run=idempotent", "POST /once/%s/{id} service=%s access=keyed run=once"} {
			_, _ = fmt.Fprintf(&text, "route "+kind+" importance=normal deadline=5s # requested by Bench\n", serviceName(i), serviceName(i))
		}
	}
	for i := 3 * s.Services; i < s.MinRoutes; i++ {
		_, _ = fmt.Fprintf(&text, "route GET /more-%d/{id} service=%s access=keyed run=idempotent importance=normal deadline=2s # requested by Bench\n", i, serviceName(i%s.Services))
	}
	return text.String()
}

func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }

func accountKey(account int) string { return fmt.Sprintf("%s-%d", benchKey, account) }

// writeRules replaces a rules file by a rename, so that its watcher never reads an incomplete file.
func writeRules(path, text string) error {
	if err := os.WriteFile(path+".new", []byte(text), 0o644); err != nil {
		return fmt.Errorf("write rules: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("write rules: %w", err)
	}
	return nil
}
