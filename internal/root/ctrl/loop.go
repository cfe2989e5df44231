package ctrl

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/disk"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/limit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/internal/super"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

const (
	eventQueue = 1024
	batchSize  = 256 // events handled before their writes are batched and a snapshot is published
	idleWake   = time.Second
)

type (
	// Options are what the control plane of one daemon needs to know.
	Options struct {
		Name             string
		Zone             string
		PeerAddress      string            // as other daemons know it
		ControlAddresses []string          // peer addresses of the control instances
		Voters           map[string]string // peer addresses of the control instances by name
		RulesFile        string            // empty where operators do not edit rules
		Boot             uint64            // differs for each start

		// Open is set where control instances find each other: ControlAddresses are those known at the start,
		// and the peer address of a control instance is its name in the consensus group.
		Open bool
		// Found is set at the first start of the whole system, when the known control instances found the group.
		Found bool
		// Traffic is set on daemons that serve traffic and follow the leader for it.
		Traffic bool
		// Lease is how long a daemon stays fresh after it sent a beat that was answered; zero for leaseLife.
		Lease time.Duration
		// Reopen opens the storage again after a failed write; nil where a failed disk is replaced by hand.
		Reopen func() (disk.Storage, error)
		// Parse reads the text of a revision; rules.Parse where it is nil.
		Parse func(name string, text []byte) (*rules.Set, error)
	}

	// Loop owns the control state of a daemon. Only its own goroutine touches the fields without a note.
	Loop struct {
		cfg    Options
		boot   uint64
		clock  clock.Clock
		log    zerolog.Logger
		dialer *link.Dialer

		events   chan Event                                  // to the loop
		stopped  chan struct{}                               // closed when the loop has ended
		live     chan struct{}                               // closed once a configuration is known to be in force
		snapshot atomic.Pointer[snap.Snapshot]               // published by the loop
		cells    atomic.Pointer[map[string]*limit.TokenPool] // published by the loop
		controls atomic.Pointer[[]string]                    // peer addresses of control instances, the best first
		waiters  atomic.Uint64                               // numbers waiting requests
		received atomic.Uint64                               // bytes from the leader
		sent     uint64                                      // bytes to the leader
		parsed   parsedRules
		dirty    bool // the snapshot has to be published again
		started  bool // live is closed

		daemon *daemonState
		voter  *voterState // nil on daemons without a data folder
	}
)

// New returns the loop of a daemon; storage is nil where there is no data folder.
func New(cfg Options, clk clock.Clock, dialer *link.Dialer, storage disk.Storage, log zerolog.Logger) (*Loop, error) {
	l := &Loop{
		cfg: cfg, boot: cfg.Boot, clock: clk, log: log, dialer: dialer,
		events:  make(chan Event, eventQueue),
		stopped: make(chan struct{}),
		live:    make(chan struct{}),
	}
	if l.cfg.Lease == 0 {
		l.cfg.Lease = leaseLife
	}
	if l.cfg.Parse == nil {
		l.cfg.Parse = rules.Parse
	}
	l.setControls(cfg.ControlAddresses)
	now := clk.Now()
	l.daemon = newDaemonState(cfg, now)
	l.cells.Store(&l.daemon.holder.Pools)
	l.snapshot.Store(&snap.Snapshot{})
	if storage != nil {
		voter, err := newVoterState(cfg, storage, l, now)
		if err != nil {
			return nil, err
		}
		l.voter = voter
	}
	return l, nil
}

// Group returns the run group of the control plane; the loop stops last.
func (l *Loop) Group() *super.Group {
	var children []super.Child
	if !l.cfg.Open || l.cfg.Traffic {
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

// run handles events until ctx ends. A panic ends the process, because the state it left behind can no
// longer be trusted.
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
		next := l.settle(now)
		timer.Reset(max(next.Sub(now), 0))
	}
}

// drainEvents handles what is already queued, so that its writes share one batch.
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
	case tokenNeeded, tokenAbandoned, serviceWanted, announced, left, connectionRefused, crashSeen, drainStarted:
		l.handleTraffic(now, event)
	case onceStarted:
		l.startOnce(now, event)
	case onceEnded:
		l.endOnce(now, event)
	case onceAbandoned:
		l.abandonOnce(now, event)
	case rulesRead:
		l.readRules(now, event)
	case uplinkOpened:
		l.openUplink(now, event.session)
	case uplinkClosed:
		l.closeUplink(event.session)
	case leaderSent:
		if event.session == l.daemon.session {
			l.handleDown(now, event.message)
		}
	case reportWanted:
		l.report(now, event)
	case controlsKnown:
		l.learnControls(now, event.addresses)
	case daemonOpened, daemonClosed, daemonSent, consensus, draftSubmitted, configRead, storageReopened:
		if l.voter != nil {
			l.handleVoter(now, event)
		}
	}
}

// settle does what has become due, publishes the snapshot if it changed, and returns when to wake.
func (l *Loop) settle(now time.Time) time.Time {
	next := l.settleDaemon(now)
	if l.voter != nil {
		next = earliest(next, l.settleVoter(now))
	}
	if l.dirty {
		l.publish()
		l.dirty = false
	}
	return earliest(next, now.Add(idleWake))
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
