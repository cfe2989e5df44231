package config

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

const (
	maxNameBytes        = 64
	minSecretBytes      = 16
	maxSecretBytes      = 256
	maxControlInstances = 17 // instances dedicated to control, see section 1 of the design
)

// check reports missing settings and problems that concern more than one setting.
func (l *loader) check(secret func(path string) (string, error)) {
	for _, f := range l.fields {
		required := f.tag.Get("required")
		if _, found := l.positions[f.name]; !found && (required == "true" || required == "alone" && !l.settings.Fleet.InUse()) {
			l.addProblem(l.endOfFile, f.name, "the setting is missing")
		}
	}
	for _, name := range []string{"name", "availability-zone", "region"} {
		if pos, found := l.positions[name]; found && !l.settings.Fleet.InUse() {
			l.checkName(pos, name, l.fieldText(name))
		} else if text := l.fieldText(name); found && (text == "" || len(text) > maxNameBytes) { // the platform chooses the names, so only their length is checked
			l.addProblem(pos, name, fmt.Sprintf("the name has %d bytes, the bounds are 1 to %d", len(text), maxNameBytes))
		}
	}
	for _, name := range []string{"data-folder", "secret-file", "rules-file"} {
		if pos, found := l.positions[name]; found && l.fieldText(name) == "" {
			l.addProblem(pos, name, "the value is empty; name a path or remove the line")
		}
	}
	l.checkAddresses()
	l.checkAdvertised()
	if l.settings.Fleet.InUse() {
		l.checkFleet()
	} else {
		l.checkControlInstances()
	}
	l.checkSecret(secret)
}

// checkAddresses reports listening addresses that cannot be bound at the same time.
func (l *loader) checkAddresses() {
	s := l.settings
	listeners := []struct {
		name    string
		address netip.AddrPort
	}{
		{"ingress-address", s.IngressAddress},
		{"local-address", s.LocalAddress},
		{"peer-address", s.PeerAddress},
		{"admin-address", s.AdminAddress},
		{"fleet.call-address", s.Fleet.CallAddress},
		{"fleet.ready-address", s.Fleet.ReadyAddress},
	}
	for i, a := range listeners {
		for _, b := range listeners[:i] {
			if a.address.IsValid() && b.address.IsValid() && conflict(a.address, b.address) {
				l.addProblem(l.positions[a.name], a.name, fmt.Sprintf("the address %s clashes with %s %s", a.address, b.name, b.address))
			}
		}
	}
}

func conflict(a, b netip.AddrPort) bool {
	return a.Port() == b.Port() &&
		(a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified())
}

// checkAdvertised sets peer-advertise when it is not given, and reports an address to which no daemon can
// connect.
func (l *loader) checkAdvertised() {
	s, name := l.settings, "peer-advertise"
	if _, found := l.positions[name]; !found {
		s.PeerAdvertise, name = s.PeerAddress, "peer-address"
	}
	if s.PeerAdvertise.IsValid() && s.PeerAdvertise.Addr().IsUnspecified() {
		l.addProblem(l.positions[name], name, fmt.Sprintf("other daemons cannot connect to %s; set peer-advertise to one IP address", s.PeerAdvertise))
	}
}

// checkFleet reports missing settings on the users' platform. An instance with a data folder is a control
// instance; any other instance serves callers.
func (l *loader) checkFleet() {
	s := l.settings
	if _, found := l.positions["control-addresses"]; found {
		l.addProblem(l.positions["control-addresses"], "control-addresses", "control instances find each other by fleet.seeds; remove the table")
	}
	if len(s.Fleet.Seeds) == 0 {
		l.addProblem(l.endOfFile, "fleet.seeds", "the setting is missing")
	}
	if s.DataFolder != "" {
		return
	}
	const missing = "the setting is missing on an instance without a data folder"
	if !s.IngressAddress.IsValid() {
		l.addProblem(l.endOfFile, "ingress-address", missing)
	}
	if !s.Fleet.ReadyAddress.IsValid() {
		l.addProblem(l.endOfFile, "fleet.ready-address", missing)
	}
}

func (l *loader) checkControlInstances() {
	s := l.settings
	slices.SortFunc(s.ControlAddresses, func(a, b ControlInstance) int { return cmp.Compare(a.Name, b.Name) })
	if len(l.controlPositions) > maxControlInstances {
		l.addProblem(l.positions["control-addresses"], "control-addresses", fmt.Sprintf("%d control instances are listed, the limit is %d", len(l.controlPositions), maxControlInstances))
	}
	listed := false
	for i, control := range s.ControlAddresses {
		pos, setting := l.controlPositions[control.Name], "control-addresses."+control.Name
		l.checkName(pos, setting, control.Name)
		if control.Address.Addr().IsUnspecified() {
			l.addProblem(pos, setting, fmt.Sprintf("other daemons cannot connect to %s; name one IP address", control.Address))
		}
		for _, other := range s.ControlAddresses[:i] {
			if other.Address == control.Address {
				l.addProblem(pos, setting, fmt.Sprintf("the address %s is also that of %s", control.Address, other.Name))
			}
		}
		if control.Name != s.Name {
			continue
		}
		listed = true
		if s.PeerAdvertise.IsValid() && control.Address != s.PeerAdvertise {
			l.addProblem(pos, setting, fmt.Sprintf("the address %s differs from this instance's peer address %s", control.Address, s.PeerAdvertise))
		}
		if _, found := l.positions["data-folder"]; !found {
			l.addProblem(pos, setting, "this instance is listed as a control instance but has no data-folder")
		}
	}
	if pos, found := l.positions["data-folder"]; found && !listed && len(l.controlPositions) > 0 && s.Name != "" {
		if _, present := l.controlPositions[s.Name]; !present {
			l.addProblem(pos, "data-folder", fmt.Sprintf("control-addresses does not list %q; only control instances have a data folder", s.Name))
		}
	}
}

func (l *loader) checkSecret(read func(path string) (string, error)) {
	s, setting := l.settings, "secret"
	pos, given := l.positions["secret"]
	filePos, fileGiven := l.positions["secret-file"]
	switch {
	case given && fileGiven:
		l.addProblem(filePos, "secret-file", "secret is also given; remove one of the two")
		return
	case !given && !fileGiven:
		l.addProblem(l.endOfFile, "secret", "either secret or secret-file is required")
		return
	case fileGiven:
		if s.SecretFile == "" {
			return // reported as an empty path
		}
		pos, setting = filePos, "secret-file"
		text, err := read(s.SecretFile)
		if err != nil {
			l.addProblem(pos, setting, fmt.Sprintf("cannot read the secret: %v", err))
			return
		}
		s.Secret = Secret(strings.TrimSpace(text))
	}
	if len(s.Secret) < minSecretBytes || len(s.Secret) > maxSecretBytes {
		l.addProblem(pos, setting, fmt.Sprintf("the secret has %d bytes, the bounds are %d to %d", len(s.Secret), minSecretBytes, maxSecretBytes))
	}
}

func (l *loader) checkName(pos position, setting, name string) {
	valid := name != "" && len(name) <= maxNameBytes
	for i := 0; valid && i < len(name); i++ {
		c := name[i]
		valid = 'a' <= c && c <= 'z' || '0' <= c && c <= '9' || c == '-'
	}
	if !valid {
		l.addProblem(pos, setting, fmt.Sprintf("%q is not a name; use 1 to %d lower-case letters, digits and hyphens", name, maxNameBytes))
	}
}

func (l *loader) fieldText(name string) string {
	for _, f := range l.fields {
		if f.name == name {
			return f.value.String()
		}
	}
	return ""
}

func (p Problems) sort() {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
