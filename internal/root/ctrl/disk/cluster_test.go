package disk

import (
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft/codec"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
	"gotest.tools/v3/assert"
)

var (
	seedFlag  = flag.Uint64("seed", 0, "run the random schedule with this seed only")
	seedCount = flag.Uint64("seeds", 30, "number of random schedules")

	epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

type (
	// cluster simulates the members of a consensus group and their disks in steps of one millisecond, without
	// goroutines.
	cluster struct {
		t               testing.TB
		random          *rand.Rand
		now             time.Duration
		members         []*member
		packets         []packet
		cut             map[[2]string]bool // links without connectivity, as sender and receiver
		loss            int                // percent of the messages
		duplication     int                // percent of the messages
		delay           int                // largest delay of a message in milliseconds
		snapshotPadding int                // bytes added to each snapshot
		open            bool               // members may join under any name
		proposeEvery    time.Duration      // time between two proposals to each leader

		states        map[uint64]machineState // state after each applied index, equal on all members
		leaders       map[uint64]string       // member names by term
		ackedIndex    uint64                  // highest index of an acknowledged proposal
		proposalCount uint64
		ackedCount    int // number of acknowledged proposals
		events        []string
	}

	// packet is a message in transit on the simulated network.
	packet struct {
		at    time.Duration
		to    string
		frame wire.Frame
	}

	// member is one member of the group with its disk and its process, which may be down.
	member struct {
		name        string
		fs          *memFS
		disk        *Disk
		node        *raft.Node // nil while the process is down
		state       machineState
		writes      []pendingWrite
		clockOffset time.Duration // offset of the member's clock
		pausedUntil time.Duration // the process does not run before this time
		restartAt   time.Duration // time at which a stopped process is restarted, 0 for never
		writeDelay  int           // largest delay of a write in milliseconds
		fenceReason string
		stopErr     error
		first       bool // the next start is the first one of the whole group
	}

	// pendingWrite is a write action of the node that the disk executes at the given time.
	pendingWrite struct {
		at     time.Duration
		action raft.Action
	}

	// machineState is the state of the simulated state machine; hash depends on all entries up to index.
	machineState struct{ index, count, hash uint64 }
)

// newCluster starts one member per name, each with an empty disk.
func newCluster(t testing.TB, seed uint64, names ...string) *cluster {
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), delay: 2, cut: map[[2]string]bool{},
		states: map[uint64]machineState{}, leaders: map[uint64]string{}, proposeEvery: 5 * time.Millisecond,
	}
	for _, name := range names {
		c.members = append(c.members, &member{name: name, fs: newMemFS(c.random.Uint64()), writeDelay: 1})
	}
	for _, m := range c.members {
		c.start(m)
	}
	return c
}

// clock returns the time on the clock of a member.
func (c *cluster) clock(m *member) time.Time { return epoch.Add(c.now + m.clockOffset) }

func (c *cluster) member(name string) *member {
	for _, m := range c.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

// config returns a configuration with short snapshot intervals, so that a schedule of a few seconds includes
// snapshots and compaction.
func (c *cluster) config(m *member) raft.Config {
	cfg := raft.Config{Name: m.name, SnapshotEvery: 100, KeepEntries: 50, Seed: c.random.Uint64()}
	if c.open {
		c.configureOpen(m, &cfg)
		return cfg
	}
	for _, peer := range c.members {
		cfg.Peers = append(cfg.Peers, peer.name)
	}
	return cfg
}

// start opens the disk of a member and starts its node. A running process is crashed first. After an injected error
// the start is retried 100 ms later.
func (c *cluster) start(m *member) {
	if m.node != nil {
		c.crash(m, 0)
	}
	m.restartAt, m.stopErr, m.fenceReason, m.writes, m.state = 0, nil, "", nil, machineState{}
	opts := testOpts(m.fs)
	opts.KeepEntries, opts.Random = 50, rand.NewChaCha8([32]byte{byte(c.random.Uint64()), byte(c.random.Uint64()), byte(c.random.Uint64())})
	opts.SegmentSize = 4096
	disk, err := Open(testDir, opts)
	var restored raft.RecoveredState
	if err == nil {
		restored, err = disk.Load()
	}
	if err != nil {
		if !errors.Is(err, errCrash) && !errors.Is(err, errInjected) && !errors.Is(err, errFull) {
			c.fatalf("%s cannot open its disk: %v", m.name, err)
		}
		c.crash(m, 100)
		return
	}
	m.disk, m.node = disk, raft.New(c.config(m), restored, c.clock(m))
	m.first = false
	c.handle(m, raft.Tick{})
}

// crash simulates a power failure for downFor milliseconds. Synced data remains on the disk, unsynced data may
// be lost.
func (c *cluster) crash(m *member, downFor int) {
	m.node, m.disk, m.fs = nil, nil, m.fs.crash()
	m.restartAt = c.now + time.Duration(downFor)*time.Millisecond
}

// handle passes an event to the node of a member, executes the resulting actions, and fails the test if two members
// lead the same term.
func (c *cluster) handle(m *member, ev raft.Event) {
	if m.node == nil {
		return
	}
	for _, action := range m.node.Step(c.clock(m), ev) {
		switch a := action.(type) {
		case raft.Persist, raft.PersistSnapshot:
			at := c.now + time.Duration(c.random.IntN(m.writeDelay+1))*time.Millisecond
			if count := len(m.writes); count > 0 {
				at = max(at, m.writes[count-1].at)
			}
			if m.writes = append(m.writes, pendingWrite{at: at, action: a}); len(m.writes) > raft.MaxPendingWrites {
				c.fatalf("%s has %d writes in progress", m.name, len(m.writes))
			}
		case raft.Send:
			c.send(m, a)
		case raft.Apply:
			c.apply(m, a)
		case raft.Restore:
			m.state = decodeState(a.Snapshot.Data)
			if want, ok := c.states[m.state.index]; !ok || want != m.state {
				c.fatalf("%s restored %+v, expected %+v", m.name, m.state, want)
			}
		case raft.TakeSnapshot:
			data := append(encodeState(m.state), make([]byte, c.snapshotPadding)...)
			c.handle(m, raft.SnapshotTaken{Index: m.state.index, Data: data})
		case raft.BecameLeader, raft.SteppedDown, raft.Dropped:
		case raft.Fenced:
			m.fenceReason = a.Reason
		case raft.Stopped:
			m.stopErr = a.Err
		}
	}
	if m.node == nil {
		return
	}
	if s := m.node.Status(); s.Role == raft.Leader {
		if other, ok := c.leaders[s.Term]; ok && other != m.name {
			c.fatalf("%s and %s lead term %d", other, m.name, s.Term)
		}
		c.leaders[s.Term] = m.name
	}
}

// send puts a message on the simulated network, which may lose, duplicate or delay it.
func (c *cluster) send(m *member, a raft.Send) {
	frame, err := codec.Encode(a.Message)
	if err != nil {
		c.fatalf("%s: %v", m.name, err)
	}
	copies := 1
	if c.random.IntN(100) < c.duplication {
		copies = 2
	}
	for range copies {
		if c.cut[[2]string{m.name, a.To}] || c.random.IntN(100) < c.loss {
			continue
		}
		at := c.now + time.Duration(c.random.IntN(c.delay+1))*time.Millisecond
		c.packets = append(c.packets, packet{at: at, to: a.To, frame: frame})
	}
}

// apply applies entries to the state machine of a member and fails the test if its state differs from that of
// another member at the same index.
func (c *cluster) apply(m *member, a raft.Apply) {
	for _, e := range a.Entries {
		if e.Index <= m.state.index {
			c.fatalf("%s applied entry %d after %d", m.name, e.Index, m.state.index)
		}
		hash := fnv.New64a()
		_, _ = hash.Write(encodeState(m.state))
		_, _ = hash.Write(e.Data)
		m.state = machineState{index: e.Index, count: m.state.count + 1, hash: hash.Sum64()}
		if want, ok := c.states[e.Index]; ok && want != m.state {
			c.fatalf("%s has %+v, another member has %+v", m.name, m.state, want)
		}
		c.states[e.Index] = m.state
		if e.Proposal != 0 {
			c.ackedIndex = max(c.ackedIndex, e.Index)
			if c.ackedCount++; c.ackedCount%8 == 0 {
				// The control loop may submit a proposal while it executes an action.
				c.proposalCount++
				c.handle(m, raft.Propose{ID: c.proposalCount, Data: fmt.Appendf(nil, "follow-up %d", c.proposalCount)})
			}
		}
	}
}

// run simulates the group for d. Each member in the leader role gets a proposal each proposeEvery.
func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += time.Millisecond {
		packets := c.packets
		c.packets = nil
		for _, p := range packets {
			m := c.member(p.to)
			switch {
			case m == nil: // gone for good
			case p.at > c.now || m.pausedUntil > c.now:
				c.packets = append(c.packets, p)
			case m.node != nil:
				message, err := codec.Decode(p.frame)
				if err != nil {
					c.fatalf("%s: %v", m.name, err)
				}
				c.handle(m, raft.MessageReceived{Message: message})
			}
		}
		leaseHolder := ""
		for _, m := range c.members {
			if m.restartAt != 0 && m.restartAt <= c.now {
				c.start(m)
			}
			if m.node == nil {
				continue
			}
			if m.pausedUntil <= c.now {
				c.runDueWrites(m)
				if m.node != nil && !c.clock(m).Before(m.node.Deadline()) {
					c.handle(m, raft.Tick{})
				}
				if m.node != nil && c.now%c.proposeEvery == 0 && m.node.Status().Role == raft.Leader {
					c.proposalCount++
					c.handle(m, raft.Propose{ID: c.proposalCount, Data: fmt.Appendf(nil, "change %d", c.proposalCount)})
				}
			}
			if m.node != nil && m.node.LeaseHeld(c.clock(m)) {
				if leaseHolder != "" {
					c.fatalf("%s and %s hold the lease", leaseHolder, m.name)
				}
				leaseHolder = m.name
			}
		}
	}
}

// runDueWrites executes the writes whose delay has ended, in order, like the disk goroutine of a daemon.
func (c *cluster) runDueWrites(m *member) {
	for m.node != nil && len(m.writes) > 0 && m.writes[0].at <= c.now {
		action := m.writes[0].action
		m.writes = m.writes[1:]
		var err error
		var done raft.Event
		switch a := action.(type) {
		case raft.Persist:
			err, done = m.disk.Save(a.Batch), raft.Persisted{Seq: a.Batch.Seq}
		case raft.PersistSnapshot:
			err, done = m.disk.SaveSnapshot(a.Snapshot), raft.SnapshotPersisted{Index: a.Snapshot.Index}
		}
		switch {
		case errors.Is(err, errCrash):
			c.crash(m, 50+c.random.IntN(800))
		case err != nil:
			c.handle(m, raft.PersistFailed{Err: err})
			m.restartAt = c.now + time.Second // restart after the disk error has been resolved
		default:
			c.handle(m, done)
		}
	}
}

// leader returns a running member that holds the lease, or nil.
func (c *cluster) leader() *member {
	for _, m := range c.members {
		if m.node != nil && m.node.LeaseHeld(c.clock(m)) {
			return m
		}
	}
	return nil
}

// requireRecovery restores the network and fails the test unless the group recovers within limit.
func (c *cluster) requireRecovery(limit time.Duration) {
	c.cut, c.loss, c.duplication, c.delay = map[[2]string]bool{}, 0, 0, 2
	for end := c.now + limit; c.now < end; {
		c.run(100 * time.Millisecond)
		if c.isHealthy() {
			return
		}
	}
	for _, m := range c.members {
		if m.node != nil {
			c.t.Logf("%s: %+v fenced=%q failed=%v", m.name, m.node.Status(), m.fenceReason, m.stopErr)
		}
	}
	c.fatalf("no recovery within %v", limit)
}

// isHealthy reports whether there is a leader with lease and every member is an admitted voter that has applied
// all but the latest 100 acknowledged indexes.
func (c *cluster) isHealthy() bool {
	leader := c.leader()
	if leader == nil || leader.node.Status().Replacing || len(leader.node.Status().Voters) != len(c.members) {
		return false
	}
	for _, m := range c.members {
		if m.node == nil || m.stopErr != nil || m.state.index+100 < c.ackedIndex || !m.node.Status().Admitted {
			return false
		}
		voter := false
		for _, v := range leader.node.Status().Voters {
			voter = voter || v == raft.Voter{Name: m.name, Disk: m.disk.identity.Disk}
		}
		if !voter {
			return false
		}
	}
	return true
}

// replaceDisk replaces the disk of a member and restarts the member.
func (c *cluster) replaceDisk(m *member, fs *memFS) {
	m.node, m.disk, m.fs = nil, nil, fs
	c.start(m)
}

// wipeDisk replaces the disk of a member by an empty one.
func (c *cluster) wipeDisk(m *member) { c.replaceDisk(m, newMemFS(c.random.Uint64())) }

// isolate cuts all links to a member, and with both also the links from it.
func (c *cluster) isolate(name string, both bool) {
	for _, m := range c.members {
		c.cut[[2]string{name, m.name}] = true
		if both {
			c.cut[[2]string{m.name, name}] = true
		}
	}
}

// logEvent records an event, which is logged if the test fails.
func (c *cluster) logEvent(format string, args ...any) {
	c.events = append(c.events, fmt.Sprintf("%v ", c.now)+fmt.Sprintf(format, args...))
}

// fatalf fails the test and logs all recorded events.
func (c *cluster) fatalf(format string, args ...any) {
	c.t.Helper()
	for _, event := range c.events {
		c.t.Log(event)
	}
	c.t.Fatalf("at %v: "+format, append([]any{c.now}, args...)...)
}

func encodeState(s machineState) []byte {
	buf := binary.LittleEndian.AppendUint64(nil, s.index)
	buf = binary.LittleEndian.AppendUint64(buf, s.count)
	return binary.LittleEndian.AppendUint64(buf, s.hash)
}

func decodeState(data []byte) machineState {
	return machineState{binary.LittleEndian.Uint64(data), binary.LittleEndian.Uint64(data[8:]), binary.LittleEndian.Uint64(data[16:])}
}

// injectFault causes one random fault in addition to those in effect. It never wipes a disk or restores an older
// state of it: TestRandomFaults does so for one disk at a time, because a majority of the disks must survive.
func (c *cluster) injectFault() {
	m := c.members[c.random.IntN(len(c.members))]
	other := c.members[c.random.IntN(len(c.members))]
	ms := func(n int) time.Duration { return time.Duration(1+c.random.IntN(n)) * time.Millisecond }
	switch kind := c.random.IntN(12); kind {
	case 0:
		c.loss, c.duplication, c.delay = c.random.IntN(40), c.random.IntN(20), 1+c.random.IntN(150)
		c.logEvent("network loses %d%%, duplicates %d%%, delays up to %d ms", c.loss, c.duplication, c.delay)
	case 1:
		c.cut[[2]string{m.name, other.name}] = true
		c.logEvent("cut from %s to %s", m.name, other.name)
	case 2:
		both := c.random.IntN(2) == 0
		c.isolate(m.name, both)
		c.logEvent("isolate %s, both directions %v", m.name, both)
	case 3, 4:
		c.cut, c.loss, c.duplication, c.delay = map[[2]string]bool{}, 0, 0, 2
		c.logEvent("heal")
	case 5:
		d := ms(1500)
		m.pausedUntil = c.now + d
		c.logEvent("pause %s for %v", m.name, d)
	case 6:
		if m.node != nil {
			c.logEvent("crash %s", m.name)
			c.crash(m, 1+c.random.IntN(1500))
		}
	case 7:
		m.fs.crashAt = m.fs.ops + 1 + c.random.IntN(40)
		c.logEvent("crash %s at operation %d", m.name, m.fs.crashAt)
	case 8:
		m.fs.failAt = m.fs.ops + 1 + c.random.IntN(40)
		c.logEvent("fail operation %d of %s", m.fs.failAt, m.name)
	case 9:
		m.fs.freeSpace = c.random.IntN(2000)
		c.logEvent("%s has %d bytes left", m.name, m.fs.freeSpace)
	case 10:
		// The control loop runs before and after the clock step, because a monotonic clock does not step
		// while the loop sleeps.
		if m.node != nil && m.pausedUntil <= c.now {
			d := ms(2000) - time.Second
			c.handle(m, raft.Tick{})
			m.clockOffset += d
			c.logEvent("clock of %s steps by %v", m.name, d)
			c.handle(m, raft.Tick{})
		}
	case 11:
		m.writeDelay = 1 + c.random.IntN(300)*(1+9*c.random.IntN(2))
		c.logEvent("disk of %s takes up to %d ms", m.name, m.writeDelay)
	}
}

// Guards against lost acknowledged entries, diverging members, two leaders in a term, two holders of the
// lease, and a group that does not recover after random combinations of faults.
func TestRandomFaults(t *testing.T) {
	seeds := []uint64{*seedFlag}
	if *seedFlag == 0 {
		seeds = nil
		for seed := range *seedCount {
			seeds = append(seeds, seed+1)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			names := []string{"a", "b", "c", "d", "e"}[:3+2*(seed%2)]
			c := newCluster(t, seed, names...)
			c.requireRecovery(5 * time.Second)
			for range 3 {
				m := c.members[c.random.IntN(len(c.members))]
				oldDisk := m.fs.clone()
				c.crash(m, 1)
				for range 12 {
					c.run(time.Duration(c.random.IntN(700)) * time.Millisecond)
					c.injectFault()
				}
				for _, m := range c.members {
					m.writeDelay, m.pausedUntil = 1, 0
					m.fs.freeSpace, m.fs.failAt, m.fs.crashAt = -1, 0, 0
				}
				c.requireRecovery(15 * time.Second)
				// One disk is wiped or restored to an older state before the next faults.
				switch c.random.IntN(3) {
				case 0:
					c.logEvent("wipe %s", m.name)
					c.wipeDisk(m)
				case 1:
					c.logEvent("restore the older disk of %s", m.name)
					c.replaceDisk(m, oldDisk)
					c.run(time.Second)
					if m.fenceReason == "" {
						c.fatalf("%s runs on an older disk", m.name)
					}
					c.wipeDisk(m)
				}
			}
			c.requireRecovery(15 * time.Second)
			assert.Assert(t, c.ackedCount > 200, "%d proposals acknowledged", c.ackedCount)
		})
	}
}
