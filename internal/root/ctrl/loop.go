package ctrl

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/logs"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/disk"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/limit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/internal/super"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

const (
	eventQueueSize  = 1024
	batchSize       = 256 // events handled before their writes are batched and a snapshot is published
	maxWakeInterval = time.Second
)

type (
	// Options configure the control plane of one daemon.
	Options struct {
		Name             string
		Zone             string
		Region           string
		PeerAddress      string            // at which other daemons reach this one
		ControlAddresses []string          // peer addresses of the control instances
		Voters           map[string]string // peer addresses of the control instances by name
		RulesFile        string            // empty where operators do not edit a rules file
		Boot             uint64            // differs for each start of the daemon

		// DynamicMembership is set where the settings do not fix the voters: control instances join the
		// consensus group under their peer address, and ControlAddresses only lists those to contact first.
		DynamicMembership bool
		// Bootstrap is set at the first start of the whole system, when the control instances in
		// ControlAddresses bootstrap the consensus group.
		Bootstrap bool
		// ServesTraffic is set on daemons that serve traffic and therefore need a control stream to the
		// leader.
		ServesTraffic bool
		// TokenWait is how long requests wait for a rate token; zero means limit.MaxWait.
		TokenWait time.Duration
		// Lease is how long the configuration of a daemon stays fresh after it sent a heartbeat that the
		// leader replied to; zero means defaultLease.
		Lease time.Duration
		// Reopen opens the storage after a failed write; nil where operators replace a failed disk.
		Reopen func() (disk.Storage, error)
		// Parse parses the text of a revision; nil means rules.Parse.
		Parse func(name string, text []byte) (*rules.Set, error)
	}

	// Loop owns the control state of a daemon. Only the goroutine of the loop uses it, except for the
	// channels, the atomic fields and the fields above them, which never change.
	Loop struct {
		cfg    Options
		boot   uint64
		clock  clock.Clock
		log    zerolog.Logger
		dialer *link.Dialer

		events           chan Event                    // queue of the loop
		stopped          chan struct{}                 // closed when the loop has ended
		configured       chan struct{}                 // closed after the first configuration and lease
		snapshot         atomic.Pointer[snap.Snapshot] // published by the loop
		invalidMessages  atomic.Uint64                 // received and ignored
		invalidLogged    logs.Repeat
		tokenPools       atomic.Pointer[map[string]*limit.TokenPool] // published by the loop
		controlAddresses atomic.Pointer[[]string]                    // peer addresses of control instances, the latest first
		lastWaiterID     atomic.Uint64                               // number of the latest token wait
		bytesReceived    atomic.Uint64                               // from the leader
		bytesSent        uint64                                      // to the leader
		parsed           parsedRules
		dirty            bool // the snapshot must be published again
		configuredClosed bool // configured is closed

		daemon *daemonState
		voter  *voterState // nil on daemons without a data folder
	}
)

// New returns the loop of a daemon; storage is nil on daemons without a data folder.
func New(cfg Options, clk clock.Clock, dialer *link.Dialer, storage disk.Storage, log zerolog.Logger) (*Loop, error) {
	l := &Loop{
		cfg: cfg, boot: cfg.Boot, clock: clk, log: log, dialer: dialer,
		events:     make(chan Event, eventQueueSize),
		stopped:    make(chan struct{}),
		configured: make(chan struct{}),
	}
	if l.cfg.Lease == 0 {
		l.cfg.Lease = defaultLease
	}
	if l.cfg.Parse == nil {
		l.cfg.Parse = rules.Parse
	}
	l.setControlAddresses(cfg.ControlAddresses)
	now := clk.Now()
	l.daemon = newDaemonState(cfg, now)
	l.tokenPools.Store(&l.daemon.tokenHolder.Pools)
	initial := &snap.Snapshot{}
	l.daemon.zones.publishTo(initial)
	l.snapshot.Store(initial)
	if storage != nil {
		voter, err := newVoterState(cfg, storage, l, now)
		if err != nil {
			return nil, err
		}
		l.voter = voter
	}
	return l, nil
}

// Group returns the supervised goroutines of the control plane; the loop stops last.
func (l *Loop) Group() *super.Group {
	var children []super.Child
	if !l.cfg.DynamicMembership || l.cfg.ServesTraffic {
		children = append(children, super.Child{Name: "uplink", Run: l.runUplink})
	}
	if l.cfg.RulesFile != "" {
		children = append(children, super.Child{Name: "watch", Run: l.runWatcher})
	}
	if l.voter != nil {
		children = append(children, l.voter.children(l)...)
	}
	children = append(children, super.Child{Name: "loop", Run: l.run})
	return &super.Group{Name: "ctrl", Log: l.log, Children: children}
}

// run handles events until ctx ends. A panic ends the process, because it may leave the control state
// inconsistent.
func (l *Loop) run(ctx context.Context) (err error) {
	defer close(l.stopped)
	defer func() {
		if r := recover(); r != nil {
			l.log.Error().Str("panic", fmt.Sprint(r)).Bytes("stack", debug.Stack()).Msg("control-loop-failed")
			err = super.ErrFatal
		}
	}()
	timer := l.clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C():
		case event := <-l.events:
			l.handle(l.clock.Now(), event)
			l.drainEvents()
		}
		now := l.clock.Now()
		next := l.runDue(now)
		timer.Reset(max(next.Sub(now), 0))
	}
}

// drainEvents handles events that are already queued, so that their writes share one batch.
func (l *Loop) drainEvents() {
	for range batchSize {
		select {
		case event := <-l.events:
			l.handle(l.clock.Now(), event)
		default:
			return
		}
	}
}

func (l *Loop) handle(now time.Time, event Event) {
	switch event := event.(type) {
	case tokenRequested, tokenWaitCanceled, endpointsRequested, backendAnnounced, backendLeft, connectionRefused, crashReported, drainRequested:
		l.handleTrafficEvent(now, event)
	case onceBeginRequested:
		l.beginOnce(now, event)
	case onceFinishRequested:
		l.finishOnce(now, event)
	case onceWaitCanceled:
		l.cancelOnce(now, event)
	case rulesFileRead:
		l.proposeRulesFile(now, event)
	case uplinkOpened:
		l.openUplink(now, event.session)
	case uplinkClosed:
		l.closeUplink(event.session)
	case leaderMessageReceived:
		if event.session == l.daemon.session {
			l.handleLeaderMessage(now, event.message)
		}
	case zoneOrderRequested:
		l.orderZone(now, event)
	case reportRequested:
		l.report(now, event)
	case controlAddressesAdded:
		l.addControlAddresses(now, event.addresses)
	case daemonConnected, daemonDisconnected, daemonMessageReceived, raftEvent, draftSubmitted, configReadRequested, stopRequested, storageReopened:
		if l.voter != nil {
			l.handleVoterEvent(now, event)
		}
	}
}

// runDue runs timers that are due, publishes the snapshot if it changed, and returns the time of the next
// timer.
func (l *Loop) runDue(now time.Time) time.Time {
	next := l.runDueDaemon(now)
	if l.voter != nil {
		next = earliest(next, l.runDueVoter(now))
	}
	if l.dirty {
		l.publish()
		l.dirty = false
	}
	return earliest(next, now.Add(maxWakeInterval))
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
