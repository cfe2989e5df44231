package root

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/accept"
	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/config"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/admin"
	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call"
	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/internal/super"
	pkgadmin "github.com/buckthornpitch/buckthornpitch/pkg/admin"
)

const (
	// maxPeerConnections bounds the connections accepted from other daemons. It is above the planned number
	// of daemons.
	maxPeerConnections = 16384

	// controlKeepAlive is the keep-alive interval of sessions that carry control and consensus streams. A
	// connection that fails without a reset is detected within twice this time.
	controlKeepAlive = 2 * time.Second

	// maxCalls bounds the calls in progress at one daemon's ingress address.
	maxCalls = 16384
)

// Daemon is one buckthornd process; it implements the server interface of kratos.
type Daemon struct {
	group   *super.Group
	dialers []*link.Dialer
	log     zerolog.Logger
	running context.Context // ends when the daemon is to stop, which may be before Start
	cancel  context.CancelFunc
	done    chan error
}

func newDaemon(group *super.Group, log zerolog.Logger, dialers ...*link.Dialer) *Daemon {
	running, cancel := context.WithCancel(context.Background())
	return &Daemon{group: group, dialers: dialers, log: log, running: running, cancel: cancel, done: make(chan error, 1)}
}

// New binds the addresses of the settings, opens the data folder and builds the parts of a daemon.
func New(settings *config.Settings, clk clock.Clock, log zerolog.Logger) (daemon *Daemon, err error) {
	var opened resources
	defer func() {
		if err != nil {
			opened.close()
		}
	}()
	listeners, err := listen(settings, &opened)
	if err != nil {
		return nil, err
	}
	boot, err := newBootNumber()
	if err != nil {
		return nil, err
	}
	storage, err := opened.dataFolder(settings.DataFolder)
	if err != nil {
		return nil, err
	}
	secret := []byte(settings.Secret)
	limits := &settings.Limits
	zone, zoneBytes := settings.AvailabilityZone, &cross.Bytes{}
	callDialer := &link.Dialer{Name: settings.Name, Zone: zone, Secret: secret, Timeout: limits.ConnectTimeout, Bytes: zoneBytes}
	// Control streams have separate connections, because their failure must be detected sooner than that of
	// connections that carry calls.
	controlDialer := &link.Dialer{Name: settings.Name, Zone: zone, Secret: secret, Timeout: limits.ConnectTimeout, KeepAlive: controlKeepAlive, Bytes: zoneBytes}
	loop, err := ctrl.New(controlOptions(settings, boot), clk, controlDialer, storage, log)
	if err != nil {
		return nil, err
	}
	metrics := meter.New()
	metrics.WatchZoneBytes(zoneBytes)
	metrics.WatchZones(func() int { return len(loop.Snapshot().Evacuated) })
	traffic := call.New(call.Options{
		Name: settings.Name, Zone: settings.AvailabilityZone, PeerAddress: settings.PeerAdvertise.String(),
		Ingress: listeners.ingress, Local: listeners.local,
		MaxBody: int64(limits.BodySize), MaxHeader: int(limits.HeaderSize),
		MaxCalls: maxCalls, MaxConnections: limits.Connections, Seed: boot,
		HeaderTimeout: limits.HeaderTimeout, BodyTimeout: limits.BodyTimeout, WriteTimeout: limits.WriteTimeout,
		IdleTimeout: limits.IdleTimeout, ConnectTimeout: limits.ConnectTimeout,
	}, clk, loop, callDialer, metrics, log)
	peerServer := &link.Server{
		Listener: listeners.peer, Name: settings.Name, Zone: zone, Secret: secret, Log: log, MaxConnections: maxPeerConnections,
		Handlers:   map[link.StreamType]link.Handler{link.StreamCall: traffic.ServeStream},
		Handshakes: accept.NewGuard(limits.Connections, clk, metrics, log),
	}
	if storage != nil {
		peerServer.Handlers[link.StreamControl] = loop.ServeControl
		peerServer.Handlers[link.StreamRaft] = loop.ServeRaft
	}
	guard := accept.NewGuard(budget.ServiceLimit(limits.Connections), clk, metrics, log)
	adminServer := &admin.Server{
		Name: settings.Name, Region: settings.Region, Listener: listeners.admin, Clock: clk, Reporter: loop, Orders: loop,
		Traffic:  traffic,
		Sessions: func() int { return peerServer.Sessions() + callDialer.Sessions() + controlDialer.Sessions() },
		Meter:    metrics, Guard: guard, MaxHeader: int(limits.HeaderSize), Settings: settingsSection(settings), Log: log,
	}
	linkGroup := &super.Group{Name: "link", Log: log, Children: []super.Child{{Name: "peers", Run: peerServer.Run}}}
	group := &super.Group{Name: "root", Log: log, Children: []super.Child{
		traffic.Group().AsChild(), linkGroup.AsChild(), adminServer.Group().AsChild(), loop.Group().AsChild(),
	}}
	return newDaemon(group, log, callDialer, controlDialer), nil
}

// Start runs the daemon until Stop.
func (d *Daemon) Start(context.Context) error {
	d.log.Info().Msg("daemon-started")
	err := d.group.Serve(d.running)
	for _, dialer := range d.dialers {
		dialer.Close()
	}
	d.done <- err
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Stop shuts the daemon down gracefully: it waits for running requests and returns when Start has ended. The application
// may call it before Start, when a signal arrives at once.
func (d *Daemon) Stop(context.Context) error {
	d.log.Info().Msg("daemon-stopping")
	d.cancel()
	<-d.done
	d.log.Info().Msg("daemon-stopped")
	return nil
}

// listeners holds the bound addresses of a daemon.
type listeners struct{ ingress, local, peer, admin net.Listener }

// listen binds all addresses, so that an address in use is reported before any part of the daemon runs.
func listen(settings *config.Settings, opened *resources) (*listeners, error) {
	var bound listeners
	for _, binding := range []struct {
		name    string
		address netip.AddrPort
		target  *net.Listener
	}{
		{"ingress-address", settings.IngressAddress, &bound.ingress},
		{"local-address", settings.LocalAddress, &bound.local},
		{"peer-address", settings.PeerAddress, &bound.peer},
		{"admin-address", settings.AdminAddress, &bound.admin},
	} {
		listener, err := opened.bind(binding.name, binding.address)
		if err != nil {
			return nil, err
		}
		*binding.target = listener
	}
	return &bound, nil
}

// controlOptions returns the options of a control loop whose voters are the control instances of the settings.
func controlOptions(settings *config.Settings, boot uint64) ctrl.Options {
	options := ctrl.Options{
		Name: settings.Name, Zone: settings.AvailabilityZone, Region: settings.Region, PeerAddress: settings.PeerAdvertise.String(),
		Voters: map[string]string{}, RulesFile: settings.RulesFile, Boot: boot,
	}
	for _, instance := range settings.ControlAddresses {
		options.Voters[instance.Name] = instance.Address.String()
		options.ControlAddresses = append(options.ControlAddresses, instance.Address.String())
	}
	return options
}

// settingsSection returns the settings, without the secret, as a section of a state dump.
func settingsSection(settings *config.Settings) pkgadmin.Section {
	section := pkgadmin.Section{Name: "settings", Columns: []string{"line"}}
	for line := range strings.Lines(settings.Text()) {
		section.Rows = append(section.Rows, []string{strings.TrimSuffix(line, "\n")})
	}
	return section
}

// newBootNumber returns a random number other than zero that distinguishes this start of the daemon from
// earlier ones.
func newBootNumber() (uint64, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return 0, fmt.Errorf("read random boot number: %w", err)
	}
	return binary.BigEndian.Uint64(raw[:]) | 1, nil
}
