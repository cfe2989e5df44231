package simul

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Kinds of faults that the other schedules do not have; all but stallDisk are faults of all members.
const (
	stallDisk faultKind = "stall-disk"

	killAll faultKind = "kill-all"
	halves  faultKind = "halves"
	rolling faultKind = "rolling-restart"
)

// Kinds of victims of a final fault.
const (
	leaderAndAnother = "leader-and-another"
	longestLasting   = "longest-lasting-disks"
	atRandom         = "at-random"
)

const (
	// catchUp is the time for which a member counts as lost after it is back.
	catchUp = 4 * time.Second

	// rollingInterval is the time between two stops of a rolling restart.
	rollingInterval = 2500 * time.Millisecond

	// ackWait bounds the wait for the acknowledgement that a final fault follows, maxSinceProposal the time since a
	// proposal after which it comes otherwise.
	ackWait          = 3 * time.Second
	maxSinceProposal = 400 * time.Millisecond
)

var (
	toleranceShapes = []toleranceShape{{3, 1}, {6, 2}, {7, 2}, {8, 2}}

	toleratedFaults = []faultKind{
		freeze, crash, restart, clockStep, slowDisk, fullDisk, loseDisk, loseDisk, badNetwork, cutLink, isolate, joinSpare, leave,
		loseMember, stallDisk, killAll, halves, rolling,
	}
)

type (
	// toleranceShape is an open group that bears the loss of some of its members at the same time.
	toleranceShape struct{ size, tolerated int }

	// losses counts the members that are lost at the same time. A member is lost from the begin of a fault until catchUp
	// after its end, and a lost disk until its successor has been running for catchUp.
	losses struct {
		tolerated int
		// overlaps lets faults that lose no disk exceed the tolerated number.
		overlaps bool
		faulty   map[string]time.Duration // ends of the faults by member
		disks    map[string]time.Duration // ends of the faults by member whose disk is lost, also after its replacement
		heirs    map[string]string        // names of the successors of members that are gone
		armed    bool                     // the final fault follows the next acknowledgement
		due      bool                     // that acknowledgement was given
		struck   bool                     // the final fault has begun
	}
)

// Guards against an acknowledged change that is gone, or a group that never serves again, after as many members as a
// group bears have lost their disks and all others have lost power right after an acknowledgement.
func TestFinalFault(t *testing.T) {
	for _, shape := range toleranceShapes {
		t.Run(fmt.Sprintf("open-%d-bears-%d", shape.size, shape.tolerated), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) { runFinalFault(t, shape) })
		})
	}
}

// runFinalFault runs a group through faults within its tolerance, and through the final one.
func runFinalFault(t *rapid.T, shape toleranceShape) {
	g := newGroup(t, true, shape.size)
	g.losses = losses{
		tolerated: shape.tolerated, overlaps: rapid.Bool().Draw(t, "overlaps"),
		faulty: map[string]time.Duration{}, disks: map[string]time.Duration{}, heirs: map[string]string{},
	}
	g.network.holdsCut = rapid.Bool().Draw(t, "holds-cut")
	g.run(settleTime)
	g.requireService(0)
	hasBursts := rapid.Bool().Draw(t, "bursts")
	for range rapid.IntRange(0, maxFaults).Draw(t, "faults") {
		g.injectToleratedFault()
		gap := maxGap
		if hasBursts && rapid.IntRange(0, 3).Draw(t, "short") > 0 {
			gap = maxShortGap
		}
		g.run(g.now + g.draw("gap", gap))
	}
	if rapid.IntRange(0, 2).Draw(t, "after-ack") > 0 {
		g.losses.armed = true
		g.run(g.now + ackWait)
	} else {
		g.run(g.now + g.draw("since-proposal", maxSinceProposal))
	}
	g.strike(rapid.SampledFrom([]string{leaderAndAnother, longestLasting, atRandom}).Draw(t, "victims"))
	g.run(g.faults.end + settleTime)
	g.requireService(g.faults.end)
}

// injectToleratedFault draws a fault that begins now and exceeds no tolerance.
func (g *group) injectToleratedFault() {
	kind := rapid.SampledFrom(toleratedFaults).Draw(g.t, "fault")
	switch kind {
	case joinSpare:
		if len(g.members) < g.targetSize+maxSpares {
			g.join()
		}
	case leave:
		g.replaceAsPlanned()
	case badNetwork, killAll, halves, rolling:
		g.injectGroupFault(kind)
	default:
		g.injectLoss(kind, g.drawMember())
	}
	g.extendLostDisks()
}

// replaceAsPlanned lets a member stop for good if a spare has been running for catchUp. The successor may have taken the
// place of a silent member instead, so that a group without a vote to spare must have none.
func (g *group) replaceAsPlanned() {
	m := g.drawMember()
	if hasVoteToSpare := (g.targetSize-1)/2 > g.losses.tolerated; !hasVoteToSpare && g.lostMembers() > 0 {
		return
	}
	isSpare := func(other *member) bool {
		return other != m && other.number > g.targetSize && g.now >= other.joinedAt+catchUp && !g.isLost(other)
	}
	if m.process != nil && len(g.members) > g.targetSize && slices.ContainsFunc(g.members, isSpare) {
		g.t.Logf("%v: %s leaves", g.now, m.name)
		g.stop(m, -1)
	}
}

func (g *group) injectGroupFault(kind faultKind) {
	if !g.losses.overlaps {
		return
	}
	g.t.Logf("%v: %s", g.now, kind)
	switch kind {
	case badNetwork:
		g.degradeNetwork()
		for _, m := range g.members {
			g.losses.faulty[m.name] = max(g.losses.faulty[m.name], g.network.badUntil)
		}
	case killAll:
		for _, m := range g.members {
			d := g.draw("down", maxDown)
			g.crashFor(m, d)
			g.losses.faulty[m.name] = max(g.losses.faulty[m.name], g.now+d)
		}
	case halves:
		until := g.faultUntil(g.draw("cut", maxFault))
		side := map[*member]bool{}
		for _, m := range g.members {
			side[m] = rapid.Bool().Draw(g.t, "side")
			g.losses.faulty[m.name] = max(g.losses.faulty[m.name], until)
		}
		for _, m := range g.members {
			for _, other := range g.members {
				if side[m] != side[other] {
					g.cut(m, other, until)
				}
			}
		}
	case rolling:
		for i, m := range g.members {
			g.schedule(time.Duration(i)*rollingInterval, stopRequest{member: m, restart: g.draw("down", maxDown)})
		}
		g.faultUntil(time.Duration(len(g.members)) * rollingInterval)
	}
}

// stopInTurn executes one stop of a rolling restart.
func (g *group) stopInTurn(s stopRequest) {
	if g.losses.struck {
		return
	}
	g.stop(s.member, s.restart)
	g.losses.faulty[s.member.name] = max(g.losses.faulty[s.member.name], g.now+leaveTimeout+s.restart)
	g.extendLostDisks()
}

// injectLoss lets a member be lost if it already is, or if the group tolerates one more lost member.
func (g *group) injectLoss(kind faultKind, m *member) {
	l := &g.losses
	if !g.isLost(m) && !l.overlaps && g.lostMembers() >= l.tolerated {
		return
	}
	if (kind == loseDisk || kind == loseMember) && !g.mayLoseDiskOf(m) {
		return
	}
	before := g.faults.end
	g.faults.end = g.now
	switch kind {
	case loseDisk:
		d := g.draw("down", maxDown)
		g.wipe(m, d)
	case loseMember:
		g.remove(m)
		heir := g.addMember()
		heir.joinedAt = g.faultUntil(g.draw("replaced", maxDown))
		l.disks[m.name], l.heirs[m.name] = heir.joinedAt, heir.name
		g.schedule(heir.joinedAt-g.now, start{member: heir})
		m = heir
	case stallDisk:
		m.slowWrite = maxFault
		m.slowUntil = g.now + g.draw("stall", maxFault)
		g.faultUntil(m.slowUntil - g.now + m.slowWrite)
	default:
		g.injectMemberFault(kind, m)
	}
	g.t.Logf("%v: %s of %s until %v, lost disks %v", g.now, kind, m.name, g.faults.end, l.disks)
	l.faulty[m.name] = max(l.faulty[m.name], g.faults.end)
	for name, end := range l.disks {
		if name == m.name || l.heirs[name] == m.name {
			l.disks[name] = max(end, l.faulty[m.name])
		}
	}
	g.faults.end = max(g.faults.end, before)
}

// wipe restarts a member with an empty disk.
func (g *group) wipe(m *member, down time.Duration) {
	g.crashFor(m, down)
	m.disk, m.fullUntil, m.diskSince = g.newDisk(), 0, g.now
	g.losses.disks[m.name] = g.now + down
}

func (g *group) isLost(m *member) bool { return g.now < g.losses.faulty[m.name]+catchUp }

func (g *group) lostMembers() int {
	count := 0
	for _, m := range g.members {
		if g.isLost(m) {
			count++
		}
	}
	return count
}

// lostDisks returns the number of members other than m that count as lost with their disks.
func (g *group) lostDisks(m *member) int {
	count := 0
	for name, end := range g.losses.disks {
		if name != m.name && g.now < end+catchUp {
			count++
		}
	}
	return count
}

func (g *group) mayLoseDiskOf(m *member) bool { return g.lostDisks(m) < g.losses.tolerated }

// extendLostDisks lets the time to catch up begin anew while more members than tolerated are lost: a lost disk cannot be
// replaced without a leader.
func (g *group) extendLostDisks() {
	l := &g.losses
	lost := map[string]bool{} // members without a disk or their successors
	for name, end := range l.disks {
		if g.now < end+catchUp {
			lost[cmp.Or(l.heirs[name], name)] = true
		}
	}
	lostDisks := len(lost)
	var ends []time.Duration // of the faults of the other members
	for _, m := range g.members {
		if end := l.faulty[m.name]; end > g.now && !lost[m.name] {
			ends = append(ends, end)
		}
	}
	excess := lostDisks + len(ends) - l.tolerated
	if excess <= 0 || excess > len(ends) {
		return
	}
	slices.Sort(ends)
	for name, end := range l.disks {
		if g.now < end+catchUp {
			l.disks[name] = max(end, ends[excess-1])
		}
	}
}

// strike is the final fault: all members lose power, and as many as tolerated lose their disks as well.
func (g *group) strike(victims string) {
	g.losses.struck = true
	g.t.Logf("%v: final fault, lost disks %v", g.now, g.losses.disks)
	ordered := slices.Clone(g.members)
	switch victims {
	case leaderAndAnother, atRandom:
		ordered = rapid.Permutation(ordered).Draw(g.t, "order")
	case longestLasting:
		slices.SortStableFunc(ordered, func(a, b *member) int { return cmp.Compare(a.diskSince, b.diskSince) })
	}
	if leader := g.leader(); victims == leaderAndAnother && leader != nil {
		ordered = slices.Insert(slices.DeleteFunc(ordered, func(m *member) bool { return m == leader }), 0, leader)
	}
	g.network.badUntil = 0
	clear(g.network.cutUntil)
	g.faults.end = g.now
	for _, m := range ordered {
		m.frozenUntil, m.slowUntil, m.fullUntil = 0, 0, 0
		d := g.draw("down", maxDown)
		if g.mayLoseDiskOf(m) {
			g.wipe(m, d)
		} else {
			g.crashFor(m, d)
		}
	}
}
