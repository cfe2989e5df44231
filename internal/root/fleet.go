package root

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/config"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/admin"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/disk"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/internal/root/relay"
	"github.com/buckthornpitch/buckthornpitch/internal/super"
	pkgadmin "github.com/buckthornpitch/buckthornpitch/pkg/admin"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
	"github.com/buckthornpitch/buckthornpitch/platform"
)

const (
	// settingsEvery is how often the settings file is looked at; it may change without a signal.
	settingsEvery = time.Second

	// peerProbe finds a silently cut connection between daemons within twice this time.
	peerProbe = 5 * time.Second

	// memoryShare is the part of the allowed memory at which the garbage collector works harder.
	memoryShare = 0.7

	// leaseShare is the part of the time to revoke a key for which a daemon serves keys without hearing from
	// the control instances; the rest covers what is on its way.
	leaseShare = 0.72

	// gcPercent lets the heap grow further between collections, because processor time is scarce.
	gcPercent = 150
)

// idle stands for the traffic part of a daemon without traffic.
type idle struct{}

// Gauges returns zero values.
func (idle) Gauges() pkgadmin.Counts { return pkgadmin.Counts{} }

// Sections returns no tables.
func (idle) Sections(time.Time) []pkgadmin.Section { return nil }

// fleetParts are what the daemons on the users' platform are wired from.
type fleetParts struct {
	settings *config.Settings
	path     string // of the settings file
	clock    clock.Clock
	log      zerolog.Logger
	loop     *ctrl.Loop
	dialer   *link.Dialer // for lanes
	control  *link.Dialer
	peers    *link.Server
	numbers  *meter.Meter
	boot     uint64
}

// NewFleet wires a daemon on the users' platform: beside a backend server it serves traffic, with a data
// folder it is a control instance. The lines about single requests go to requests, which may be bounded.
func NewFleet(settings *config.Settings, path string, clk clock.Clock, log, requests zerolog.Logger) (*Daemon, error) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.Fleet.Memory)))
	parts, err := newFleetParts(settings, path, clk, log)
	if err != nil {
		return nil, err
	}
	var children []super.Child
	var traffic admin.Traffic = idle{}
	if settings.IngressAddress.IsValid() {
		relayed, err := parts.relay(requests)
		if err != nil {
			return nil, err
		}
		traffic = relayed
		children = append(children, relayed.Group().AsChild())
	} else {
		calls, err := parts.calls()
		if err != nil {
			return nil, err
		}
		children = append(children, calls.AsChild())
	}
	operators, err := parts.operators(traffic)
	if err != nil {
		return nil, err
	}
	links := &super.Group{Name: "link", Log: log, Children: []super.Child{{Name: "peers", Run: parts.peers.Run}}}
	watch := &super.Group{Name: "settings", Log: log, Children: []super.Child{{Name: "settings-watch", Run: parts.watchSettings}}}
	children = append(children, links.AsChild(), operators.Group().AsChild(), watch.AsChild(), parts.loop.Group().AsChild())
	return &Daemon{
		dialers: []*link.Dialer{parts.dialer, parts.control}, log: log, done: make(chan error, 1),
		group: &super.Group{Name: "root", Log: log, Children: children},
	}, nil
}

func newFleetParts(settings *config.Settings, path string, clk clock.Clock, log zerolog.Logger) (*fleetParts, error) {
	boot, err := newBoot()
	if err != nil {
		return nil, err
	}
	var storage disk.Storage
	open := func() (disk.Storage, error) { return disk.Open(settings.DataFolder, disk.Options{}) }
	if settings.DataFolder != "" {
		if storage, err = open(); err != nil {
			return nil, fmt.Errorf("open data folder: %w", err)
		}
	}
	secret := []byte(settings.Secret)
	timeout := settings.Limits.ConnectTimeout
	p := &fleetParts{
		settings: settings, path: path, clock: clk, log: log, boot: boot, numbers: meter.New(),
		dialer:  &link.Dialer{Name: settings.Name, Secret: secret, Timeout: timeout, KeepAlive: peerProbe},
		control: &link.Dialer{Name: settings.Name, Secret: secret, Timeout: timeout, KeepAlive: controlProbe},
	}
	p.loop, err = ctrl.New(ctrl.Options{
		Name: settings.Name, Zone: settings.AvailabilityZone, PeerAddress: settings.PeerAdvertise.String(),
		ControlAddresses: seedPeers(settings), Boot: boot, DynamicMembership: true, Bootstrap: bool(settings.Fleet.Found),
		ServesTraffic: settings.IngressAddress.IsValid(), Lease: leaseOf(settings.Fleet.RevokeWithin), Parse: platform.Parse, Reopen: open,
	}, clk, p.control, storage, log)
	if err != nil {
		return nil, err
	}
	listener, err := bind("peer-address", settings.PeerAddress)
	if err != nil {
		return nil, err
	}
	p.peers = &link.Server{
		Listener: listener, Name: settings.Name, Secret: secret, Log: log, MaxConnections: maxPeers,
		Handlers: map[link.StreamType]link.Handler{},
	}
	if storage != nil {
		p.peers.Handlers[link.StreamControl] = p.loop.ServeControl
		p.peers.Handlers[link.StreamRaft] = p.loop.ServeRaft
	}
	return p, nil
}

// relay wires the traffic of a daemon beside a backend server.
func (p *fleetParts) relay(requests zerolog.Logger) (*relay.Relay, error) {
	s := p.settings
	options := relay.Options{
		Own: s.PeerAdvertise.String(), Zone: s.AvailabilityZone, Service: s.Fleet.Service, Seed: p.boot,
		Backend: addressText(s.Fleet.Backend), BodyStall: s.Limits.BodyTimeout, StopWithin: s.Fleet.StopWithin, Memory: int64(s.Fleet.Memory),
		RetryRatio: float64(s.Fleet.RetryRatio), RetryWindow: s.Fleet.RetryWindow,
		Limits: rules.Limits{
			HeaderSize: int64(s.Limits.HeaderSize), BodySize: int64(s.Limits.BodySize),
			HeaderTimeout: s.Limits.HeaderTimeout, IdleTimeout: s.Limits.IdleTimeout,
		},
	}
	for _, each := range []struct {
		name    string
		address netip.AddrPort
		target  *net.Listener
	}{
		{"ingress-address", s.IngressAddress, &options.Ingress},
		{"fleet.ready-address", s.Fleet.ReadyAddress, &options.Ready},
		{"fleet.call-address", s.Fleet.CallAddress, &options.Calls},
	} {
		listener, err := bind(each.name, each.address)
		if err != nil {
			return nil, err
		}
		*each.target = listener
	}
	relayed := relay.New(options, platform.Dialect{}, p.clock, p.loop, p.dialer, p.numbers, p.log, requests)
	relayed.Handle(
		&platform.Calls{Registrar: relayed.Beside, Own: s.Fleet.CallAddress, Log: p.log},
		platform.Ready{Taking: relayed.Taking},
	)
	p.peers.Handlers[link.StreamRelay] = relayed.Server.ServeStream
	return relayed, nil
}

// calls wires the platform's calls of a control instance.
func (p *fleetParts) calls() (*super.Group, error) {
	listener, err := bind("fleet.call-address", p.settings.Fleet.CallAddress)
	if err != nil {
		return nil, err
	}
	lanes := &relay.Lanes{Clock: p.clock, Dialer: p.dialer, Log: p.log}
	handler := &platform.Calls{
		Registrar: &relay.Remote{Lanes: lanes, Port: p.settings.PeerAdvertise.Port()},
		Configs:   p.loop, Own: p.settings.Fleet.CallAddress, Log: p.log,
	}
	return &super.Group{Name: "calls", Log: p.log, Children: []super.Child{
		{Name: "calls-server", Run: relay.ServeHTTP("calls", listener, handler, p.log)},
		{Name: "lanes", Run: lanes.Run},
	}}, nil
}

func (p *fleetParts) operators(traffic admin.Traffic) (*admin.Server, error) {
	listener, err := bind("admin-address", p.settings.AdminAddress)
	if err != nil {
		return nil, err
	}
	return &admin.Server{
		Name: p.settings.Name, Region: p.settings.Region, Listener: listener, Clock: p.clock, Reporter: p.loop, Traffic: traffic,
		Sessions: func() int { return p.peers.Sessions() + p.dialer.Sessions() + p.control.Sessions() },
		Meter:    p.numbers, Settings: settingsSection(p.settings), Log: p.log,
	}, nil
}

// watchSettings reads the settings file again when it has changed. Only the seeds can change while the
// daemon runs; anything else is in force from the next start.
func (p *fleetParts) watchSettings(ctx context.Context) error {
	known := stampOf(p.path)
	seeds := p.settings.Fleet.Seeds.String()
	for {
		timer := p.clock.NewTimer(settingsEvery)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C():
		}
		stamp := stampOf(p.path)
		if stamp == known {
			continue
		}
		known = stamp
		settings, err := config.Load(p.path)
		if err != nil {
			p.log.Error().Str("file", p.path).Err(err).Msg("settings-not-reloaded")
			continue
		}
		changed := settings.Fleet.Seeds.String() != seeds
		seeds = settings.Fleet.Seeds.String()
		p.log.Info().Str("file", p.path).Bool("seeds-changed", changed).Str("seeds", seeds).Msg("settings-reloaded")
		if changed {
			p.loop.AddControlAddresses(ctx, seedPeers(settings))
		}
	}
}

// leaseOf returns how long a daemon may go by what the control instances told it last.
func leaseOf(revokeWithin time.Duration) time.Duration {
	return time.Duration(leaseShare * float64(revokeWithin))
}

// stampOf tells versions of a file apart.
func stampOf(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return fmt.Sprintf("%s/%d", info.ModTime(), info.Size())
}

// seedPeers returns the peer addresses of the seeds: peers have the same port on all instances.
func seedPeers(settings *config.Settings) []string {
	peers := make([]string, 0, len(settings.Fleet.Seeds))
	for _, seed := range settings.Fleet.Seeds {
		peers = append(peers, netip.AddrPortFrom(seed.Addr(), settings.PeerAdvertise.Port()).String())
	}
	return peers
}

// addressText returns the address, or an empty text where none is set.
func addressText(address netip.AddrPort) string {
	if !address.IsValid() {
		return ""
	}
	return address.String()
}

func bind(name string, address netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("bind %s: %w", name, err)
	}
	return listener, nil
}
