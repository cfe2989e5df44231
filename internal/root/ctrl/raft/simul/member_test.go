package simul

import (
	"errors"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
)

const (
	// snapshotEvery and keepEntries are small, so that a schedule of some seconds includes snapshots.
	snapshotEvery = 60
	keepEntries   = 20

	// normalWrite is the longest write of a disk that is not slow.
	normalWrite = 3 * time.Millisecond

	// reopenInterval and leaveTimeout equal those of the control loop.
	reopenInterval = 500 * time.Millisecond
	leaveTimeout   = 1500 * time.Millisecond

	stopPollInterval = 10 * time.Millisecond
)

var errFull = errors.New("no space left on the simulated disk")

type (
	// member is one member of the group.
	member struct {
		name        string
		number      int
		joinedAt    time.Duration
		disk        *memDisk
		diskSince   time.Duration // time at which the disk was empty
		process     *process      // nil while the member is down
		isFirst     bool          // the next start is the first one of the whole group
		clockOffset time.Duration
		steppedAt   time.Duration // time of the latest clock step
		frozenUntil time.Duration
		slowUntil   time.Duration
		slowWrite   time.Duration // longest write until slowUntil
		fullUntil   time.Duration
	}

	// process is one run of a member.
	process struct {
		member   *member
		node     *raft.Node
		deadline time.Time
		state    machineState
		writes   []raft.Action // submitted to the disk and not completed
		inputs   []raft.Event
		stepping bool
		failed   bool // the disk has failed
	}
)

// voter returns the identity of a member with its present disk.
func (m *member) voter() raft.Voter { return raft.Voter{Name: m.name, Disk: m.disk.id} }

// clock returns the time on the clock of a member.
func (g *group) clock(m *member) time.Time { return epoch.Add(g.now + m.clockOffset) }

// start starts a member that is down. A full disk cannot store the start, which is tried again later.
func (g *group) start(m *member) {
	if m.process != nil || m.disk == nil {
		return
	}
	if m.fullUntil > g.now {
		g.schedule(reopenInterval, start{member: m})
		return
	}
	cfg := g.config(m)
	m.isFirst = false
	p := &process{member: m, node: raft.New(cfg, m.disk.open(g.random.Uint64()|1), g.clock(m))}
	m.process = p
	g.step(m, raft.Tick{})
}

// config returns the settings of a member. An open group is named by three of its members; at the first start these
// bootstrap it and the others extend it.
func (g *group) config(m *member) raft.Config {
	cfg := raft.Config{Name: m.name, Open: g.open, SnapshotEvery: snapshotEvery, KeepEntries: keepEntries, Seed: g.random.Uint64()}
	named := g.members
	if g.open {
		named, cfg.BootstrapMembers = g.members[:min(3, len(g.members))], []string{}
	}
	isNamed := false
	for _, other := range named {
		cfg.Peers = append(cfg.Peers, other.name)
		isNamed = isNamed || other == m
	}
	switch {
	case !isNamed:
		cfg.Peers, cfg.Extends = append(cfg.Peers, m.name), m.isFirst
	case g.open && m.isFirst:
		cfg.BootstrapMembers = cfg.Peers
	}
	return cfg
}

// crash ends the process of a member at once. Any number of its pending writes may have reached the disk.
func (g *group) crash(m *member) {
	if m.process == nil {
		return
	}
	for _, action := range m.process.writes[:g.random.IntN(len(m.process.writes)+1)] {
		if m.process.failed || m.fullUntil > g.now {
			break
		}
		g.write(m, action)
	}
	m.process = nil
}

// step passes an event to a process and executes its actions in order. Events that result from an action are queued
// until all actions are executed.
func (g *group) step(m *member, ev raft.Event) {
	p := m.process
	p.inputs = append(p.inputs, ev)
	if p.stepping {
		return
	}
	p.stepping = true
	for len(p.inputs) > 0 {
		next := p.inputs[0]
		p.inputs = p.inputs[1:]
		for _, action := range p.node.Step(g.clock(m), next) {
			g.execute(p, action)
		}
	}
	p.stepping = false
	p.deadline = p.node.Deadline()
	g.checkStep(m)
}

// tick reports to a member that its deadline has passed.
func (g *group) tick(m *member) {
	g.step(m, raft.Tick{})
	if !m.process.deadline.After(g.clock(m)) {
		g.t.Fatalf("the control loop of %s spins: its deadline has passed after a tick", m.name)
	}
}

func (g *group) execute(p *process, action raft.Action) {
	switch a := action.(type) {
	case raft.Persist, raft.PersistSnapshot:
		p.writes = append(p.writes, a)
		if len(p.writes) > raft.MaxPendingWrites {
			g.t.Fatalf("%s has %d pending writes", p.member.name, len(p.writes))
		}
		if len(p.writes) == 1 {
			g.schedule(g.writeTime(p.member), writeDone{process: p})
		}
	case raft.Send:
		g.send(p.member, a)
	case raft.Apply:
		g.apply(p, a)
	case raft.Restore:
		p.state = decodeState(a.Snapshot.Data)
		g.checkState(p)
	case raft.TakeSnapshot:
		taken := raft.SnapshotTaken{Index: p.node.Status().Applied, Data: encodeState(p.state)}
		g.schedule(g.randomDelay(normalWrite), snapshotEncoded{process: p, taken: taken})
	case raft.BecameLeader:
		g.t.Logf("%v: %s leads term %d", g.now, p.member.name, a.Term)
		g.checkLeader(p)
	case raft.Fenced:
		g.t.Fatalf("the disk of %s is refused by %s: %s", p.member.name, a.By, a.Reason)
	case raft.Stopped:
		if !errors.Is(a.Err, errFull) {
			g.t.Fatalf("%s stops: %v", p.member.name, a.Err)
		}
	case raft.ChangedVoters:
		g.t.Logf("%v: %s appends the membership %d: %s", g.now, p.member.name, a.Index, a.Reason)
	case raft.SteppedDown, raft.Dropped, raft.RefusedPeer:
	}
}

func (g *group) writeTime(m *member) time.Duration {
	if m.slowUntil > g.now {
		return g.randomDelay(m.slowWrite)
	}
	return g.randomDelay(normalWrite)
}

// finishWrite ends the first pending write of a process and begins the next one. After an error the process ends, and
// the member starts again once the disk can be opened.
func (g *group) finishWrite(p *process) {
	m := p.member
	if m.process != p {
		return
	}
	if m.fullUntil > g.now {
		p.failed = true
		g.step(m, raft.PersistFailed{Err: errFull})
		m.process = nil
		g.schedule(reopenInterval, start{member: m})
		return
	}
	action := p.writes[0]
	p.writes = p.writes[1:]
	g.write(m, action)
	if len(p.writes) > 0 {
		g.schedule(g.writeTime(m), writeDone{process: p})
	}
	switch a := action.(type) {
	case raft.Persist:
		g.step(m, raft.Persisted{Seq: a.Batch.Seq})
	case raft.PersistSnapshot:
		g.step(m, raft.SnapshotPersisted{Index: a.Snapshot.Index})
	}
}

func (g *group) write(m *member, action raft.Action) {
	if err := m.disk.write(action); err != nil {
		g.t.Fatalf("%s: %v", m.name, err)
	}
}

// pollStop ends a process once it may stop, as at SIGTERM.
func (g *group) pollStop(s stopPoll) {
	m := s.process.member
	if m.process != s.process {
		return
	}
	if m.process.node.AwaitsRemoval() && g.now < s.until {
		g.schedule(stopPollInterval, s)
		return
	}
	if s.restart < 0 {
		g.faultUntil(0)
		g.remove(m)
		return
	}
	g.crashFor(m, s.restart)
}
