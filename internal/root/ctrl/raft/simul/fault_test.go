package simul

import (
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"pgregory.net/rapid"
)

// Kinds of faults.
const (
	freeze     faultKind = "freeze"
	crash      faultKind = "crash"
	restart    faultKind = "restart" // planned, with the same disk
	clockStep  faultKind = "clock-step"
	slowDisk   faultKind = "slow-disk"
	fullDisk   faultKind = "full-disk"
	loseDisk   faultKind = "lose-disk"
	badNetwork faultKind = "bad-network"
	cutLink    faultKind = "cut-link" // in one direction
	isolate    faultKind = "isolate"
	joinSpare  faultKind = "join-spare"
	leave      faultKind = "leave"       // planned, for good
	loseMember faultKind = "lose-member" // for good; a new member takes its place
)

// Limits of the faults.
const (
	maxSpares = 2
	maxFault  = 8 * time.Second
	maxDown   = 2 * time.Second
	maxWrite  = 2 * time.Second
	maxDelay  = 300 * time.Millisecond

	// maxClockStep is the largest step of a clock in either direction. The lease tolerates one step of a clock during its
	// time, so that the next one follows after minClockStepInterval.
	maxClockStep         = 5 * time.Second
	minClockStepInterval = time.Second
)

var (
	fixedFaults = []faultKind{freeze, crash, clockStep, slowDisk, fullDisk, loseDisk, badNetwork, cutLink, isolate}
	openFaults  = append(slices.Clone(fixedFaults), restart, joinSpare, leave, loseMember)
)

type (
	// faultKind names a kind of fault in the log of a schedule.
	faultKind string

	// faults records the faults in effect.
	faults struct {
		end  time.Duration // time at which the latest fault ends
		lost int           // number of disks lost since the group was last quiet
	}
)

// injectFault draws a fault that begins now.
func (g *group) injectFault() {
	kinds := fixedFaults
	if g.open {
		kinds = openFaults
	}
	kind := rapid.SampledFrom(kinds).Draw(g.t, "fault")
	switch kind {
	case badNetwork:
		g.degradeNetwork()
	case joinSpare:
		if len(g.members) < g.targetSize+maxSpares {
			g.join()
			g.faultUntil(0)
		}
	default:
		g.injectMemberFault(kind, g.drawMember())
	}
}

func (g *group) injectMemberFault(kind faultKind, m *member) {
	switch kind {
	case freeze:
		m.frozenUntil = g.faultUntil(g.draw("freeze", maxFault))
	case crash:
		g.crashFor(m, g.draw("down", maxDown))
	case restart:
		g.stop(m, g.draw("down", maxDown))
	case leave:
		if m.process != nil && len(g.members) > g.targetSize && g.mayLoseDisk() {
			g.stop(m, -1)
		}
	case clockStep:
		g.stepClock(m)
	case slowDisk:
		m.slowWrite = g.draw("write", maxWrite)
		m.slowUntil = g.faultUntil(g.draw("slow", maxFault) + m.slowWrite)
	case fullDisk:
		m.fullUntil = g.faultUntil(g.draw("full", maxFault))
		g.faultUntil(m.fullUntil - g.now + reopenInterval)
	case loseDisk:
		if g.mayLoseDisk() {
			g.crashFor(m, g.draw("down", maxDown))
			m.disk, m.fullUntil = g.newDisk(), 0
		}
	case loseMember:
		if g.mayLoseDisk() {
			g.remove(m)
			g.schedule(g.faultUntil(g.draw("replaced", maxDown))-g.now, arrival{})
		}
	case cutLink:
		g.cut(m, g.drawMember(), g.faultUntil(g.draw("cut", maxFault)))
	case isolate:
		until := g.faultUntil(g.draw("cut", maxFault))
		for _, other := range g.members {
			g.cut(m, other, until)
			g.cut(other, m, until)
		}
	case badNetwork, joinSpare:
	}
}

// draw draws a duration up to limit.
func (g *group) draw(label string, limit time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(0, int(limit/time.Millisecond)).Draw(g.t, label)) * time.Millisecond
}

// drawMember draws a member, often the leader.
func (g *group) drawMember() *member {
	m := g.members[rapid.IntRange(0, len(g.members)-1).Draw(g.t, "member")]
	if leader := g.leader(); rapid.IntRange(0, 2).Draw(g.t, "or-leader") == 2 && leader != nil {
		return leader
	}
	return m
}

// faultUntil records that a fault ends after d and returns the time of its end.
func (g *group) faultUntil(d time.Duration) time.Duration {
	g.faults.end = max(g.faults.end, g.now+d)
	return g.now + d
}

// mayLoseDisk counts one more lost disk, or reports false if the group need not tolerate it: fewer than half of the voters
// may lose their disks at the same time.
func (g *group) mayLoseDisk() bool {
	if 2*(g.faults.lost+1) >= g.targetSize {
		return false
	}
	g.faults.lost++
	return true
}

func (g *group) crashFor(m *member, d time.Duration) {
	g.crash(m)
	g.schedule(g.faultUntil(d)-g.now, start{member: m})
}

// stop lets a member stop as at SIGTERM; it starts again after the given time, or never if that is negative.
func (g *group) stop(m *member, after time.Duration) {
	g.faultUntil(leaveTimeout + max(after, 0))
	if m.process == nil {
		return
	}
	g.step(m, raft.StopRequested{})
	g.schedule(0, stopPoll{process: m.process, until: g.now + leaveTimeout, restart: after})
}

// stepClock steps the clock of a running member. The control loop runs before and after the step, because a monotonic
// clock does not step while the loop waits.
func (g *group) stepClock(m *member) {
	step := g.draw("step", 2*maxClockStep) - maxClockStep
	if m.process == nil || m.frozenUntil > g.now || g.now < m.steppedAt+minClockStepInterval {
		return
	}
	g.step(m, raft.Tick{})
	m.clockOffset += step
	m.steppedAt = g.now
	g.step(m, raft.Tick{})
	g.faultUntil(0)
}

func (g *group) cut(from, to *member, until time.Duration) {
	g.network.cutUntil[link{from.name, to.name}] = until
}

func (g *group) degradeNetwork() {
	n := &g.network
	n.loss = rapid.IntRange(0, 40).Draw(g.t, "loss")
	n.duplication = rapid.IntRange(0, 20).Draw(g.t, "duplication")
	n.delay = g.draw("delay", maxDelay)
	n.badUntil = g.faultUntil(g.draw("bad", maxFault) + n.delay)
}
