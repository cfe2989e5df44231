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

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/config"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/admin"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/disk"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/internal/super"
	pkgadmin "github.com/buckthornpitch/buckthornpitch/pkg/admin"
)

const (
	// maxPeers bounds the connections of other daemons; it is above the planned number of daemons.
	maxPeers = 16384

	// controlProbe finds a silently cut connection between control instances within twice this time.
	controlProbe = 2 * time.Second

	// maxCalls bounds the calls in progress at one daemon's ingress address.
	maxCalls = 16384
)

// Daemon is one buckthornd process; it implements the server interface of kratos.
type Daemon struct {
	group   *super.Group
	dialers []*link.Dialer
	log     zerolog.Logger
	cancel  context.CancelFunc
	done    chan error
}

// New binds the addresses of the settings, opens the data folder, and wires the parts.
func New(settings *config.Settings, clk clock.Clock, log zerolog.Logger) (*Daemon, error) {
	listeners, err := listen(settings)
	if err != nil {
		return nil, err
	}
	boot, err := newBoot()
	if err != nil {
		return nil, err
	}
	var storage disk.Storage
	if settings.DataFolder != "" {
		if storage, err = disk.Open(settings.DataFolder, disk.Options{}); err != nil {
			return nil, fmt.Errorf("open data folder: %w", err)
		}
	}
	secret := []byte(settings.Secret)
	limits := &settings.Limits
	dialer := &link.Dialer{Name: settings.Name, Secret: secret, Timeout: limits.ConnectTimeout}
	// Control has connections of its own, which are given up sooner than those that carry calls.
	control := &link.Dialer{Name: settings.Name, Secret: secret, Timeout: limits.ConnectTimeout, KeepAlive: controlProbe}
	loop, err := ctrl.New(controlOptions(settings, boot), clk, control, storage, log)
	if err != nil {
		return nil, err
	}
	numbers := meter.New()
	traffic := call.New(call.Options{
		Name: settings.Name, Zone: settings.AvailabilityZone, PeerAddress: settings.PeerAdvertise.String(),
		Ingress: listeners.ingress, Local: listeners.local,
		MaxBody: int64(limits.BodySize), MaxHeader: int(limits.HeaderSize),
		MaxCalls: maxCalls, MaxConnections: limits.Connections, Seed: boot,
		HeaderTimeout: limits.HeaderTimeout, BodyTimeout: limits.BodyTimeout, WriteTimeout: limits.WriteTimeout,
		IdleTimeout: limits.IdleTimeout, ConnectTimeout: limits.ConnectTimeout,
	}, clk, loop, dialer, numbers, log)
	peers := &link.Server{
		Listener: listeners.peer, Name: settings.Name, Secret: secret, Log: log, MaxConnections: maxPeers,
		Handlers: map[link.StreamType]link.Handler{link.StreamCall: traffic.ServeStream},
	}
	if storage != nil {
		peers.Handlers[link.StreamControl] = loop.ServeControl
		peers.Handlers[link.StreamRaft] = loop.ServeRaft
	}
	operators := &admin.Server{
		Name: settings.Name, Region: settings.Region, Listener: listeners.admin, Clock: clk, Reporter: loop,
		Traffic: traffic, Sessions: func() int { return peers.Sessions() + dialer.Sessions() + control.Sessions() }, Meter: numbers, Settings: settingsSection(settings), Log: log,
	}
	links := &super.Group{Name: "link", Log: log, Children: []super.Child{{Name: "peers", Run: peers.Run}}}
	return &Daemon{
		dialers: []*link.Dialer{dialer, control}, log: log, done: make(chan error, 1),
		group: &super.Group{Name: "root", Log: log, Children: []super.Child{
			traffic.Group().AsChild(), links.AsChild(), operators.Group().AsChild(), loop.Group().AsChild(),
		}},
	}, nil
}

// Start runs the daemon until Stop.
func (d *Daemon) Start(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d.cancel = cancel
	d.log.Info().Msg("daemon-started")
	err := d.group.Serve(running)
	for _, dialer := range d.dialers {
		dialer.Close()
	}
	d.done <- err
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Stop drains the daemon: running requests end first, and nothing is cut.
func (d *Daemon) Stop(context.Context) error {
	d.log.Info().Msg("daemon-stopping")
	d.cancel()
	<-d.done
	d.log.Info().Msg("daemon-stopped")
	return nil
}

type listeners struct{ ingress, local, peer, admin net.Listener }

// listen binds all addresses, so that an address in use is reported before anything runs.
func listen(settings *config.Settings) (*listeners, error) {
	var out listeners
	for _, bind := range []struct {
		name    string
		address netip.AddrPort
		target  *net.Listener
	}{
		{"ingress-address", settings.IngressAddress, &out.ingress},
		{"local-address", settings.LocalAddress, &out.local},
		{"peer-address", settings.PeerAddress, &out.peer},
		{"admin-address", settings.AdminAddress, &out.admin},
	} {
		listener, err := net.Listen("tcp", bind.address.String())
		if err != nil {
			return nil, fmt.Errorf("bind %s: %w", bind.name, err)
		}
		*bind.target = listener
	}
	return &out, nil
}

func controlOptions(settings *config.Settings, boot uint64) ctrl.Options {
	options := ctrl.Options{
		Name: settings.Name, Zone: settings.AvailabilityZone, PeerAddress: settings.PeerAdvertise.String(),
		Voters: map[string]string{}, RulesFile: settings.RulesFile, Boot: boot,
	}
	for _, control := range settings.ControlAddresses {
		options.Voters[control.Name] = control.Address.String()
		options.ControlAddresses = append(options.ControlAddresses, control.Address.String())
	}
	return options
}

// settingsSection shows the settings in a dump, without the secret.
func settingsSection(settings *config.Settings) pkgadmin.Section {
	section := pkgadmin.Section{Name: "settings", Columns: []string{"line"}}
	for line := range strings.Lines(settings.Text()) {
		section.Rows = append(section.Rows, []string{strings.TrimSuffix(line, "\n")})
	}
	return section
}

// newBoot returns a random number that is not zero; it tells the starts of a daemon apart.
func newBoot() (uint64, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return 0, fmt.Errorf("read random boot number: %w", err)
	}
	return binary.BigEndian.Uint64(raw[:]) | 1, nil
}
