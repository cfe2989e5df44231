package ctrl

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

type (
	// fleet runs loops without goroutines: the test delivers the messages and advances the time.
	fleet struct {
		t     *testing.T
		clock *clock.Fake
		loops map[string]*Loop
		// streams are the control streams by daemon.
		streams map[string]*streamPair
		// isolated contains the loops that neither send nor receive.
		isolated map[string]bool
		// dropLeaderMessages contains the daemons that receive no messages of the leader.
		dropLeaderMessages map[string]bool
		// log is the log of the control instances that addDynamicControl starts.
		log zerolog.Logger
	}

	// streamPair is the two ends of a control stream.
	streamPair struct {
		leader               string
		daemonEnd, leaderEnd *session
	}

	// memoryStorage is a storage that discards all writes.
	memoryStorage struct{ disk string }
)

// Load returns the state of an empty disk.
func (m memoryStorage) Load() (raft.RecoveredState, error) {
	return raft.RecoveredState{Disk: m.disk, Boot: 1, Start: 7}, nil
}

// Save discards the batch.
func (memoryStorage) Save(raft.Batch) error { return nil }

// SaveSnapshot discards the snapshot.
func (memoryStorage) SaveSnapshot(raft.Snapshot) error { return nil }

// Close does nothing.
func (memoryStorage) Close() error { return nil }

func newTestFleet(t *testing.T, controls, plain int) *fleet {
	t.Helper()
	f := &fleet{
		t: t, clock: clock.NewFake(time.Unix(1_000_000, 0)), loops: map[string]*Loop{},
		streams: map[string]*streamPair{}, isolated: map[string]bool{}, dropLeaderMessages: map[string]bool{},
	}
	voters := map[string]string{}
	for i := range controls {
		voters[fmt.Sprintf("c%d", i+1)] = fmt.Sprintf("c%d", i+1)
	}
	for name := range voters {
		f.add(name, voters, true)
	}
	for i := range plain {
		f.add(fmt.Sprintf("d%d", i+1), voters, false)
	}
	f.waitUntil("a leader", func() bool { return f.leader() != "" })
	f.accept(rulesText(1, "Ana", ""))
	return f
}

func (f *fleet) add(name string, voters map[string]string, control bool) {
	options := Options{Name: name, Zone: "zone-a", PeerAddress: name, Voters: voters, Boot: uint64(1000 + len(f.loops))}
	var err error
	if control {
		f.loops[name], err = New(options, f.clock, &link.Dialer{}, memoryStorage{disk: "disk-" + name}, zerolog.Nop())
	} else {
		f.loops[name], err = New(options, f.clock, &link.Dialer{}, nil, zerolog.Nop())
	}
	assert.NilError(f.t, err)
}

func rulesText(revision uint64, author, extra string) string {
	return fmt.Sprintf(`revision %d # requested by %s
service library slots=32 connections=64 # requested by Ana
account reader rate=100/s burst=50 # requested by Ana
key reader %s # requested by Ana
route GET /works/{id} service=library access=open run=idempotent deadline=2s # requested by Ana
%s`, revision, author, rules.HashKey("reader-key"), extra)
}

// leader returns the member that leads and holds its lease, empty if there is none.
func (f *fleet) leader() string {
	for _, name := range f.names() {
		if l := f.loops[name]; l.voter != nil && l.voter.leader != nil && l.voter.node.LeaseHeld(f.clock.Now()) && !f.isolated[name] {
			return name
		}
	}
	return ""
}

func (f *fleet) names() []string { return slices.Sorted(maps.Keys(f.loops)) }

// step advances the time and delivers messages until none are left.
func (f *fleet) step(d time.Duration) {
	f.clock.Advance(d)
	for _, name := range f.names() {
		f.reconnect(name)
		f.loops[name].runDue(f.clock.Now())
	}
	for moved := true; moved; {
		moved = false
		for _, name := range f.names() {
			moved = f.deliver(name) || moved
		}
	}
}

// reconnect opens a control stream to the leader as the uplink does.
func (f *fleet) reconnect(name string) {
	leader := f.leader()
	current := f.streams[name]
	if f.isolated[name] || leader == "" || current != nil && !closed(current.daemonEnd) && !closed(current.leaderEnd) && current.leader == leader {
		return
	}
	if current != nil {
		f.loops[name].handle(f.clock.Now(), uplinkClosed{session: current.daemonEnd})
		f.loops[current.leader].handle(f.clock.Now(), daemonDisconnected{session: current.leaderEnd})
	}
	near, far := net.Pipe()
	next := &streamPair{
		leader:    leader,
		daemonEnd: newSession(&link.Stream{Conn: near, Peer: leader}, leader),
		leaderEnd: newSession(&link.Stream{Conn: far, Peer: name}, ""),
	}
	f.streams[name] = next
	f.loops[leader].handle(f.clock.Now(), daemonConnected{session: next.leaderEnd})
	f.loops[name].handle(f.clock.Now(), uplinkOpened{session: next.daemonEnd})
}

func closed(s *session) bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// deliver executes the queued writes of one loop and delivers its messages; it reports whether there were any.
func (f *fleet) deliver(name string) bool {
	now := f.clock.Now()
	l := f.loops[name]
	moved := false
	if v := l.voter; v != nil {
		for len(v.writer.jobs) > 0 {
			l.handle(now, raftEvent{input: v.writer.write((<-v.writer.jobs).job)})
			moved = true
		}
		for peer, out := range v.links {
			for len(out.queue) > 0 {
				message := <-out.queue
				if !f.isolated[name] && !f.isolated[peer] && f.loops[peer] != nil {
					f.loops[peer].handle(now, raftEvent{input: raft.MessageReceived{Message: message}})
				}
				moved = true
			}
		}
	}
	if p := f.streams[name]; p != nil {
		for _, frame := range p.daemonEnd.takeQueue(nil) {
			message, err := decodeDaemonMessage(frame)
			assert.NilError(f.t, err)
			if !f.isolated[name] && !f.isolated[p.leader] {
				f.loops[p.leader].handle(now, daemonMessageReceived{session: p.leaderEnd, message: message})
			}
			moved = true
		}
		for _, frame := range p.leaderEnd.takeQueue(nil) {
			frame, err := wire.Decompress(frame, wire.MaxFrame)
			assert.NilError(f.t, err)
			message, err := decodeLeaderMessage(frame)
			assert.NilError(f.t, err)
			if !f.isolated[name] && !f.isolated[p.leader] && !f.dropLeaderMessages[name] {
				l.handle(now, leaderMessageReceived{session: p.daemonEnd, message: message})
			}
			moved = true
		}
	}
	l.runDue(now)
	return moved
}

// waitUntil advances the time in steps of 10 ms until condition holds, and returns the time that passed.
func (f *fleet) waitUntil(what string, condition func() bool) time.Duration {
	f.t.Helper()
	const limit = 30 * time.Second
	for passed := time.Duration(0); passed < limit; passed += 10 * time.Millisecond {
		if condition() {
			return passed
		}
		f.step(10 * time.Millisecond)
	}
	f.t.Fatalf("not reached within %s: %s", limit, what)
	return 0
}

func (f *fleet) runFor(d time.Duration) {
	for passed := time.Duration(0); passed < d; passed += 10 * time.Millisecond {
		f.step(10 * time.Millisecond)
	}
}

// propose proposes a text through the daemon named by.
func (f *fleet) propose(by, text string) {
	l := f.loops[by]
	l.proposeRulesFile(f.clock.Now(), rulesFileRead{file: rulesFileOf(text, f.t.TempDir())})
}

// accept proposes a text and waits until it is in effect on every loop that is not isolated.
func (f *fleet) accept(text string) {
	f.t.Helper()
	set, err := rules.Parse("rules", []byte(text))
	assert.NilError(f.t, err)
	f.propose(f.leader(), text)
	f.waitUntil(fmt.Sprintf("revision %d in force", set.Revision), func() bool { return f.inForce(set.Revision) })
}

func (f *fleet) inForce(revision uint64) bool {
	for name, l := range f.loops {
		if !f.isolated[name] && (l.daemon.rules.revision() != revision || !l.Snapshot().LeaseValid(f.clock.Now())) {
			return false
		}
	}
	return true
}

func (f *fleet) announce(name, address, start string) {
	reply := make(chan announceResult, 1)
	f.loops[name].handle(f.clock.Now(), backendAnnounced{
		announcement: member.Announcement{Service: "library", Address: address, Slots: 32, Connections: 64, Start: start},
		reply:        reply,
	})
	assert.NilError(f.t, (<-reply).err)
}

// begin requests an idempotency record from a daemon and returns the channel of its verdict.
func (f *fleet) begin(name, key string) chan onceResult {
	reply := make(chan onceResult, 1)
	f.loops[name].handle(f.clock.Now(), onceBeginRequested{
		scope: state.OnceScope{Account: "reader", Route: "POST/kudos", Key: key}, hash: make([]byte, 32), reply: reply,
	})
	return reply
}

func received[T any](t *testing.T, reply <-chan T) T {
	t.Helper()
	select {
	case value := <-reply:
		return value
	default:
		t.Fatal("no reply")
	}
	panic("unreachable")
}

// takeToken requests a token as traffic does; the verdict may arrive later on the channel.
func (f *fleet) takeToken(name string) chan call.TokenVerdict {
	l, now := f.loops[name], f.clock.Now()
	reply := make(chan call.TokenVerdict, 1)
	pool := (*l.tokenPools.Load())["reader"]
	switch {
	case pool.Take(now):
		reply <- call.TokenTaken{}
	case pool.RetryAfter(now) > 0:
		reply <- call.TokenRefused{}
	default:
		l.handle(now, tokenRequested{account: "reader", waiter: l.lastWaiterID.Add(1), reply: reply})
	}
	return reply
}

func instances(l *Loop) int {
	list := l.Snapshot().Endpoints["library"]
	if list == nil {
		return -1
	}
	return len(list.Instances)
}

func leaseOf(seq, revision uint64) *member.Lease { return &member.Lease{Seq: seq, Revision: revision} }
