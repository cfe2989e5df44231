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

	"github.com/buckthornpitch/buckthornpitch/internal/accept"
	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/config"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/admin"
	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
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
	// settingsPollInterval is the interval at which the settings file is checked for changes, because an
	// operator may edit it without sending a signal.
	settingsPollInterval = time.Second

	// peerKeepAlive is the keep-alive interval of sessions between daemons. A connection that fails without
	// a reset is detected within twice this time.
	peerKeepAlive = 5 * time.Second

	// memoryLimitRatio is the fraction of the memory setting that becomes the soft memory limit of the Go
	// runtime, above which the garbage collector runs more often.
	memoryLimitRatio = 0.7

	// programMemory is the memory in bytes that the resident part of the program file takes; the limit of the Go runtime
	// does not count it.
	programMemory = 16 << 20

	// leaseRatio is the fraction of the revoke-within setting for which a daemon without contact to the
	// control instances still serves requests with a key. The remainder covers messages and requests in
	// transit.
	leaseRatio = 0.72

	// gcPercent is above the default of 100: it trades memory for fewer collections, because processor time
	// is scarce.
	gcPercent = 150
)

// noTraffic implements admin.Traffic on a daemon that serves no traffic.
type noTraffic struct{}

// Counts returns zero values.
func (noTraffic) Counts() pkgadmin.Counts { return pkgadmin.Counts{} }

// Sections returns no tables.
func (noTraffic) Sections(time.Time) []pkgadmin.Section { return nil }

// ExplainRoute reports that this daemon sends no requests.
func (noTraffic) ExplainRoute(*pkgadmin.RouteQuery) (*pkgadmin.RouteExplain, error) {
	return nil, &pkgadmin.MissingPart{Part: "traffic", Detail: "this instance sends no requests; ask a daemon beside a backend server"}
}

// fleetBuilder builds the parts of a daemon on the users' platform.
type fleetBuilder struct {
	settings      *config.Settings
	settingsFile  string // path
	clock         clock.Clock
	log           zerolog.Logger
	loop          *ctrl.Loop
	relay         *relay.Relay // nil on a daemon that serves no traffic
	trafficDialer *link.Dialer // for peer streams that carry requests
	controlDialer *link.Dialer // for control and consensus streams
	peerServer    *link.Server
	meter         *meter.Meter
	guard         *accept.Guard // bounds the connections of listeners for others than callers and daemons
	boot          uint64
	opened        resources
}

// NewFleet builds a daemon for the users' platform. A daemon with an ingress address serves the traffic of
// its local backend server; a daemon with a data folder is a control instance. Log lines about single
// requests go to requestLog, which may be sampled.
func NewFleet(settings *config.Settings, settingsFile string, clk clock.Clock, log, requestLog zerolog.Logger) (daemon *Daemon, err error) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(settings.Fleet.Memory-programMemory)))
	builder := &fleetBuilder{settings: settings, settingsFile: settingsFile, clock: clk, log: log, meter: meter.New()}
	builder.guard = accept.NewGuard(budget.ServiceLimit(relay.CallerLimit(settings.Limits.Connections)), clk, builder.meter, log)
	defer func() {
		if err != nil {
			builder.opened.close()
		}
	}()
	if err := builder.buildCommon(); err != nil {
		return nil, err
	}
	var children []super.Child
	var traffic admin.Traffic = noTraffic{}
	if settings.IngressAddress.IsValid() {
		trafficRelay, err := builder.trafficRelay(requestLog)
		if err != nil {
			return nil, err
		}
		traffic, builder.relay = trafficRelay, trafficRelay
		children = append(children, trafficRelay.Group().AsChild())
	} else {
		platformCalls, err := builder.platformCalls()
		if err != nil {
			return nil, err
		}
		children = append(children, platformCalls.AsChild())
	}
	if settings.DataFolder != "" { // before the links and the control loop stop
		leaveGroup := &super.Group{Name: "leave", Log: log, Children: []super.Child{{Name: "leave-voters", Run: builder.loop.RunLeave}}}
		children = append(children, leaveGroup.AsChild())
	}
	adminServer, err := builder.adminServer(traffic)
	if err != nil {
		return nil, err
	}
	linkGroup := &super.Group{Name: "link", Log: log, Children: []super.Child{{Name: "peers", Run: builder.peerServer.Run}}}
	settingsGroup := &super.Group{Name: "settings", Log: log, Children: []super.Child{{Name: "settings-watch", Run: builder.watchSettings}}}
	children = append(children, linkGroup.AsChild(), adminServer.Group().AsChild(), settingsGroup.AsChild(), builder.loop.Group().AsChild())
	group := &super.Group{Name: "root", Log: log, Children: children}
	return newDaemon(group, log, builder.trafficDialer, builder.controlDialer), nil
}

// buildCommon builds the parts that all daemons have: data folder, control loop, dialers and peer server.
func (b *fleetBuilder) buildCommon() error {
	settings := b.settings
	storage, err := b.opened.dataFolder(settings.DataFolder)
	if err != nil {
		return err
	}
	if b.boot, err = newBootNumber(); err != nil {
		return err
	}
	secret := []byte(settings.Secret)
	timeout := settings.Limits.ConnectTimeout
	zone, zoneBytes := settings.AvailabilityZone, &cross.Bytes{}
	b.meter.WatchZoneBytes(zoneBytes)
	b.trafficDialer = &link.Dialer{Name: settings.Name, Zone: zone, Secret: secret, Timeout: timeout, KeepAlive: peerKeepAlive, Bytes: zoneBytes}
	b.controlDialer = &link.Dialer{Name: settings.Name, Zone: zone, Secret: secret, Timeout: timeout, KeepAlive: controlKeepAlive, Bytes: zoneBytes}
	b.loop, err = ctrl.New(ctrl.Options{
		Name: settings.Name, Zone: settings.AvailabilityZone, Region: settings.Region, PeerAddress: settings.PeerAdvertise.String(),
		ControlAddresses: seedPeerAddresses(settings), Boot: b.boot, DynamicMembership: true, Bootstrap: bool(settings.Fleet.Bootstrap),
		ServesTraffic: settings.IngressAddress.IsValid(), Lease: leaseDuration(settings.Fleet.RevokeWithin), TokenWait: relay.TokenWait,
		Parse: platform.Parse, Reopen: func() (disk.Storage, error) { return disk.Open(settings.DataFolder, disk.Options{}) },
	}, b.clock, b.controlDialer, storage, b.log)
	if err != nil {
		return err
	}
	listener, err := b.opened.bind("peer-address", settings.PeerAddress)
	if err != nil {
		return err
	}
	b.peerServer = &link.Server{
		Listener: listener, Name: settings.Name, Zone: zone, Secret: secret, Log: b.log, MaxConnections: maxPeerConnections,
		Handlers:   map[link.StreamType]link.Handler{},
		Handshakes: accept.NewGuard(relay.CallerLimit(settings.Limits.Connections), b.clock, b.meter, b.log),
	}
	if storage != nil {
		b.peerServer.Handlers[link.StreamControl] = b.loop.ServeControl
		b.peerServer.Handlers[link.StreamRaft] = b.loop.ServeRaft
	}
	return nil
}

// trafficRelay builds the relay for the traffic of the local backend server.
func (b *fleetBuilder) trafficRelay(requestLog zerolog.Logger) (*relay.Relay, error) {
	s := b.settings
	options := relay.Options{
		PeerAddress: s.PeerAdvertise.String(), Zone: s.AvailabilityZone, Service: s.Fleet.Service, Seed: b.boot,
		BackendAddress: addressText(s.Fleet.Backend), BodyStall: s.Limits.BodyTimeout, WriteStall: s.Limits.WriteTimeout, StopWithin: s.Fleet.StopWithin, MemoryLimit: int64(s.Fleet.Memory),
		MaxConnections: s.Limits.Connections, Guard: b.guard,
		RetryRatio: float64(s.Fleet.RetryRatio), RetryWindow: s.Fleet.RetryWindow,
		Limits: rules.Limits{
			HeaderSize: int64(s.Limits.HeaderSize), BodySize: int64(s.Limits.BodySize),
			HeaderTimeout: s.Limits.HeaderTimeout, IdleTimeout: s.Limits.IdleTimeout,
		},
	}
	for _, binding := range []struct {
		name    string
		address netip.AddrPort
		target  *net.Listener
	}{
		{"ingress-address", s.IngressAddress, &options.Ingress},
		{"fleet.ready-address", s.Fleet.ReadyAddress, &options.Ready},
		{"fleet.call-address", s.Fleet.CallAddress, &options.Calls},
	} {
		listener, err := b.opened.bind(binding.name, binding.address)
		if err != nil {
			return nil, err
		}
		*binding.target = listener
	}
	b.meter.WatchZones(func() int { return len(b.loop.Snapshot().Evacuated) })
	trafficRelay := relay.New(options, platform.Dialect{}, b.clock, b.loop, b.trafficDialer, b.meter, b.log, requestLog)
	trafficRelay.SetHandlers(
		&platform.RPCHandler{Registrar: trafficRelay.LocalBackend, Address: s.Fleet.CallAddress, Log: b.log},
		platform.ReadinessHandler{Accepting: trafficRelay.AcceptsRequests},
	)
	b.peerServer.Handlers[link.StreamRelay] = trafficRelay.Server.ServeStream
	return trafficRelay, nil
}

// platformCalls builds the server for calls of the platform on a control instance without an ingress.
func (b *fleetBuilder) platformCalls() (*super.Group, error) {
	listener, err := b.opened.bind("fleet.call-address", b.settings.Fleet.CallAddress)
	if err != nil {
		return nil, err
	}
	peerStreams := &relay.PeerStreams{Clock: b.clock, Dialer: b.trafficDialer, Log: b.log, Meter: b.meter}
	handler := &platform.RPCHandler{
		Registrar: &relay.NoticeForwarder{PeerStreams: peerStreams, Port: b.settings.PeerAdvertise.Port()},
		Configs:   b.loop, Orders: b.loop, Bodies: budget.NewBytes(budget.ConfigLimit(int64(b.settings.Fleet.Memory), rules.MaxFile), nil),
		Meter: b.meter, Address: b.settings.Fleet.CallAddress, Log: b.log,
	}
	server := relay.HTTPServer{
		Name: "calls", Listener: listener, Handler: handler, Guard: b.guard, MaxHeader: int64(b.settings.Limits.HeaderSize), Log: b.log,
	}
	return &super.Group{Name: "calls", Log: b.log, Children: []super.Child{
		{Name: "calls-server", Run: server.Runner()},
		{Name: "peer-streams", Run: peerStreams.Run},
	}}, nil
}

// adminServer binds the admin address and builds the operators' endpoint.
func (b *fleetBuilder) adminServer(traffic admin.Traffic) (*admin.Server, error) {
	listener, err := b.opened.bind("admin-address", b.settings.AdminAddress)
	if err != nil {
		return nil, err
	}
	return &admin.Server{
		Name: b.settings.Name, Region: b.settings.Region, Listener: listener, Clock: b.clock, Reporter: b.loop, Orders: b.loop, Traffic: traffic,
		Sessions: func() int { return b.peerServer.Sessions() + b.trafficDialer.Sessions() + b.controlDialer.Sessions() },
		Meter:    b.meter, Guard: b.guard, MaxHeader: int(b.settings.Limits.HeaderSize), Settings: settingsSection(b.settings), Log: b.log,
	}, nil
}

// watchSettings reloads the settings file after each change. Changed seeds and another backend server take effect at
// once, all other settings at the next start of the daemon.
func (b *fleetBuilder) watchSettings(ctx context.Context) error {
	version := fileVersion(b.settingsFile)
	seeds := b.settings.Fleet.Seeds.String()
	for {
		timer := b.clock.NewTimer(settingsPollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C():
		}
		latest := fileVersion(b.settingsFile)
		if latest == version {
			continue
		}
		version = latest
		settings, err := config.Load(b.settingsFile)
		if err != nil {
			b.log.Error().Str("file", b.settingsFile).Err(err).Msg("settings-not-reloaded")
			continue
		}
		seedsChanged := settings.Fleet.Seeds.String() != seeds
		seeds = settings.Fleet.Seeds.String()
		b.log.Info().Str("file", b.settingsFile).Bool("seeds-changed", seedsChanged).Str("seeds", seeds).Msg("settings-reloaded")
		if b.relay != nil {
			b.relay.LocalBackend.SetExpected(relay.Expected{Service: settings.Fleet.Service, Address: addressText(settings.Fleet.Backend)})
		}
		if seedsChanged {
			b.loop.AddControlAddresses(ctx, seedPeerAddresses(settings))
		}
	}
}

// leaseDuration returns how long a daemon may use its configuration after its last contact with the
// control instances.
func leaseDuration(revokeWithin time.Duration) time.Duration {
	return time.Duration(leaseRatio * float64(revokeWithin))
}

// fileVersion returns a text that changes when the file is modified, from its modification time and size;
// it is empty if the file cannot be read.
func fileVersion(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return fmt.Sprintf("%s/%d", info.ModTime(), info.Size())
}

// seedPeerAddresses returns the peer addresses of the seeds. The settings list their call addresses; the
// peer port is the same on all instances.
func seedPeerAddresses(settings *config.Settings) []string {
	peers := make([]string, 0, len(settings.Fleet.Seeds))
	for _, seed := range settings.Fleet.Seeds {
		peers = append(peers, netip.AddrPortFrom(seed.Addr(), settings.PeerAdvertise.Port()).String())
	}
	return peers
}

// addressText returns the address as text, or an empty string if it is not set.
func addressText(address netip.AddrPort) string {
	if !address.IsValid() {
		return ""
	}
	return address.String()
}
