package ctrl

import (
	"bytes"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/disk"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	// acknowledgeWithin is the longest time of an order in steady state.
	acknowledgeWithin = time.Second
	// evacuateWithin is the longest time from the acknowledgement until the servers get no more requests.
	evacuateWithin = 5 * time.Second
	// evacuateUnstable applies while control instances are lost or replaced.
	evacuateUnstable = 10 * time.Second
)

// startOrder sends an order to a loop and returns the channel of its result.
func (f *fleet) startOrder(name, zone string, evacuate, forward bool) chan OrderResult {
	reply := make(chan OrderResult, 1)
	order := &state.OrderZone{Zone: zone, Requester: "Ana", Reason: "flood", Evacuate: evacuate}
	f.loops[name].handle(f.clock.Now(), zoneOrderRequested{order: order, forward: forward, reply: reply})
	return reply
}

// order repeats an order at the leader until it is acknowledged, as operators do, and returns the result.
func (f *fleet) order(zone string, evacuate bool) OrderAccepted {
	f.t.Helper()
	var accepted OrderAccepted
	reply := make(chan OrderResult, 1)
	reply <- OrderUnconfirmed{}
	f.waitUntil("an acknowledged order", func() bool {
		select {
		case result := <-reply:
			if done, ok := result.(OrderAccepted); ok {
				accepted = done
				return true
			}
			if leader := f.leader(); leader != "" {
				reply = f.startOrder(leader, zone, evacuate, false)
			} else {
				reply <- result
			}
		default:
		}
		return false
	})
	return accepted
}

// evacuatedOn returns the zones that traffic of a daemon sees under evacuation, nil if it does not know.
func (f *fleet) evacuatedOn(name string) []string {
	snapshot := f.loops[name].Snapshot()
	if snapshot.EvacuationsUnknown {
		return nil
	}
	return append([]string{}, slices.Sorted(maps.Keys(snapshot.Evacuated))...)
}

// requireEvacuated fails the test unless the daemons see exactly these zones under evacuation in time.
func (f *fleet) requireEvacuated(within time.Duration, daemons []string, zones ...string) {
	f.t.Helper()
	took := f.waitUntil(fmt.Sprintf("zones %v under evacuation", zones), func() bool {
		return !slices.ContainsFunc(daemons, func(name string) bool {
			seen := f.evacuatedOn(name)
			return seen == nil || !slices.Equal(seen, zones)
		})
	})
	assert.Assert(f.t, took <= within, "took %v", took)
}

var bothDaemons = []string{"d1", "d2"}

// Guards against an order that is acknowledged late, or reaches a daemon later than the requests to the zone must end,
// and against an end of an evacuation that does not show when it was received.
func TestOrderReachesEveryDaemon(t *testing.T) {
	f := newTestFleet(t, 3, 2)
	f.announce("d1", "127.0.0.1:9001", "1")
	f.runFor(time.Second)
	changed := f.loops["d1"].Snapshot().EvacuationsChanged
	reply := f.startOrder("d2", "zone-a", true, true) // a daemon passes it on to the leader
	took := f.waitUntil("an acknowledgement", func() bool { return len(reply) > 0 })
	assert.Assert(t, took <= acknowledgeWithin, "took %v", took)
	accepted, ok := (<-reply).(OrderAccepted)
	assert.Assert(t, ok && accepted.Index > 0)
	assert.Equal(t, accepted.Warning, "no zone with servers is left")
	f.requireEvacuated(evacuateWithin, f.names(), "zone-a")
	select {
	case <-changed:
	default:
		t.Fatal("traffic is not told that the list has changed")
	}
	assert.Equal(t, f.loops["d1"].Snapshot().Evacuated["zone-a"].Requester, "Ana")
	f.order("zone-a", false)
	f.requireEvacuated(evacuateWithin, f.names())
	at := f.loops["d1"].Snapshot().Restored["zone-a"]
	assert.Assert(t, !at.IsZero() && !at.After(f.clock.Now()))
}

// Guards against warnings that are missing or wrong: an order for a zone without servers is accepted, because they may
// be out of reach.
func TestOrderWarnings(t *testing.T) {
	f := newTestFleet(t, 1, 2)
	f.loops["d2"].cfg.Zone = "zone-b"
	f.loops["d2"].daemon.localInstances = member.NewLocalInstances("d2", "zone-b", "", 9)
	f.announce("d1", "127.0.0.1:9001", "1")
	f.announce("d2", "127.0.0.1:9002", "1")
	f.runFor(time.Second)
	assert.Equal(t, f.order("zone-a", true).Warning, "")
	assert.Equal(t, f.order("elsewhere", true).Warning, `no server of zone "elsewhere" is known at present`)
	assert.Equal(t, f.order("zone-b", true).Warning, "no zone with servers is left")
	assert.Equal(t, f.order("zone-b", false).Warning, "")
}

// Guards against an invalid order that is proposed, and against an order beyond the limit that is taken for one that
// the group has not confirmed.
func TestRefusedOrders(t *testing.T) {
	f := newTestFleet(t, 1, 1)
	for _, zone := range []string{"", strings.Repeat("z", state.MaxZone+1)} {
		refused, ok := received(t, f.startOrder("d1", zone, true, true)).(OrderRefused)
		assert.Assert(t, ok && refused.Invalid)
		assert.ErrorContains(t, fmt.Errorf("%s", refused.Detail), "zone of")
	}
	for i := range state.MaxEvacuations {
		f.order(fmt.Sprintf("zone-%02d", i), true)
	}
	reply := f.startOrder("d1", "one-more", true, true)
	f.runFor(100 * time.Millisecond)
	refused, ok := received(t, reply).(OrderRefused)
	assert.Assert(t, ok && !refused.Invalid, "%+v", refused)
}

// Guards against a list in which the order of two operators' commands differs between daemons, or in which the last
// one is not in effect: both race, and each begins and ends evacuations in quick succession.
func TestOrdersThatRace(t *testing.T) {
	f := newTestFleet(t, 3, 2)
	var replies []chan OrderResult
	for range 5 {
		for by, zone := range map[string]string{"d1": "zone-a", "d2": "zone-b"} {
			replies = append(replies, f.startOrder(by, zone, true, true), f.startOrder(by, zone, false, true))
		}
		replies = append(replies, f.startOrder("d1", "zone-c", false, true), f.startOrder("d2", "zone-c", true, true))
	}
	f.runFor(evacuateWithin)
	for _, reply := range replies {
		_, ok := received(t, reply).(OrderAccepted)
		assert.Assert(t, ok)
	}
	committed := f.loops[f.leader()].voter.machine.Evacuations
	for _, evacuation := range committed {
		assert.Equal(t, evacuation.Zone, "zone-c")
	}
	for _, name := range f.names() {
		assert.Equal(t, len(f.evacuatedOn(name)), len(committed), name)
	}
	f.order("zone-c", false)
	f.order("zone-c", true)
	f.requireEvacuated(evacuateWithin, f.names(), "zone-c")
}

// Guards against a follower that proposes an order or drops it instead of naming the leader, and against an
// acknowledgement without a majority.
func TestOrdersNeedTheLeader(t *testing.T) {
	f := newDynamicFleet(t, 3)
	f.waitUntil("all of them vote", func() bool { return len(f.voters()) == 3 })
	leader := f.leader()
	follower := f.other(leader)
	assert.DeepEqual(t, received(t, f.startOrder(follower, "zone-a", true, false)), OrderResult(OrderNotLeader{Leader: leader}))
	f.isolated[leader] = true
	reply := f.startOrder(leader, "zone-a", true, false)
	f.runFor(2 * time.Second)
	assert.DeepEqual(t, received(t, reply), OrderResult(OrderUnconfirmed{}))
}

// Guards against an acknowledged order that is lost with the disk of the leader right after the acknowledgement.
func TestOrderSurvivesALostDisk(t *testing.T) {
	f := newDynamicFleet(t, 3)
	f.waitUntil("all of them vote", func() bool { return len(f.voters()) == 3 })
	f.order("zone-a", true)
	f.loseDisk(f.leader())
	f.requireEvacuated(evacuateUnstable, bothDaemons, "zone-a")
	f.waitUntil("three voters with the order", func() bool {
		return len(f.voters()) == 3 && !slices.ContainsFunc([]string{"c1", "c2", "c3"}, func(name string) bool {
			return len(f.loops[name].voter.machine.Evacuations) != 1
		})
	})
}

// Guards against orders that are lost, or brought back, when control instances are replaced one after another while
// orders are given.
func TestOrdersDuringReplacements(t *testing.T) {
	f := newDynamicFleet(t, 3)
	f.waitUntil("all of them vote", func() bool { return len(f.voters()) == 3 })
	f.order("zone-a", true)
	for i, successor := range []string{"c7", "c8", "c9"} {
		old := fmt.Sprintf("c%d", i+1)
		f.addDynamicControl(successor, "", false)
		f.runFor(300 * time.Millisecond) // the successor does not vote yet
		f.order("zone-b", i%2 == 0)
		f.waitUntil("the successor votes", func() bool { return slices.Contains(f.voters(), successor) })
		f.isolated[old] = true
		f.waitUntil("the old one does not", func() bool { return !slices.Contains(f.voters(), old) && len(f.voters()) == 3 })
	}
	f.requireEvacuated(evacuateUnstable, bothDaemons, "zone-a", "zone-b")
	assert.Equal(t, len(f.loops[f.leader()].voter.machine.Evacuations), 2)
}

// Guards against orders that do not survive the restart of all control instances, with and without a snapshot.
func TestOrdersSurviveARestart(t *testing.T) {
	for _, snapshots := range []bool{false, true} {
		f := &fleet{
			t: t, clock: clock.NewFake(time.Unix(1_000_000, 0)), loops: map[string]*Loop{},
			streams: map[string]*streamPair{}, isolated: map[string]bool{}, dropLeaderMessages: map[string]bool{},
		}
		folders := map[string]string{}
		voters := map[string]string{"c1": "c1", "c2": "c2", "c3": "c3"}
		start := func(name string) {
			storage, err := disk.Open(folders[name], disk.Options{})
			assert.NilError(t, err)
			options := Options{Name: name, Zone: "zone-a", PeerAddress: name, Voters: voters, Boot: uint64(1000 + f.clock.Now().Unix())}
			f.loops[name], err = New(options, f.clock, &link.Dialer{}, storage, zerolog.Nop())
			assert.NilError(t, err)
		}
		for name := range voters {
			folders[name] = t.TempDir()
			start(name)
		}
		f.add("d1", voters, false)
		f.waitUntil("a leader", func() bool { return f.leader() != "" })
		f.order("zone-a", true)
		f.order("zone-b", true)
		f.order("zone-a", false)
		if snapshots {
			f.saveSnapshots([]string{"c1", "c2", "c3"})
		}
		for name := range voters {
			assert.NilError(t, f.loops[name].voter.writer.storage.Close())
			start(name)
			delete(f.streams, name)
		}
		delete(f.streams, "d1")
		f.add("d1", voters, false) // it has lost what it knew
		assert.Equal(t, len(f.evacuatedOn("d1")), 0)
		f.requireEvacuated(evacuateUnstable, []string{"d1", "c1", "c2", "c3"}, "zone-b")
		for name := range voters {
			assert.NilError(t, f.loops[name].voter.writer.storage.Close())
		}
	}
}

// saveSnapshots commits entries until each control instance is due to store a snapshot of its state.
func (f *fleet) saveSnapshots(names []string) {
	f.t.Helper()
	const entriesPerStep = 64
	snapshot := func(name string) uint64 { return f.loops[name].voter.node.Status().Snapshot }
	f.waitUntil("stored snapshots", func() bool {
		l := f.loops[f.leader()]
		for range entriesPerStep {
			l.propose(f.clock.Now(), &state.Tick{At: l.voter.machine.CommandTime(f.clock.Now())}, leaderProposer{})
		}
		for _, name := range names {
			select {
			case job := <-f.loops[name].voter.encodeJobs:
				data, err := job.frozen.Encode()
				assert.NilError(f.t, err)
				f.loops[name].handle(f.clock.Now(), raftEvent{input: raft.SnapshotTaken{Index: job.index, Data: data}})
			default:
			}
		}
		return !slices.ContainsFunc(names, func(name string) bool { return snapshot(name) == 0 })
	})
}

// Guards against a daemon that was cut off while an order was given and does not learn of it when it comes back, or
// that takes an older list for the present one.
func TestDaemonThatWasCutOff(t *testing.T) {
	f := newTestFleet(t, 3, 2)
	f.order("zone-a", true)
	f.requireEvacuated(evacuateWithin, f.names(), "zone-a")
	f.isolated["d1"] = true
	f.runFor(2 * time.Second)
	f.order("zone-b", true)
	f.order("zone-a", false)
	f.runFor(time.Second)
	assert.DeepEqual(t, f.evacuatedOn("d1"), []string{"zone-a"})
	f.isolated["d1"] = false
	f.requireEvacuated(evacuateWithin, f.names(), "zone-b")
	l := f.loops["d1"]
	older := &EvacuationList{Version: l.daemon.zones.version - 1}
	l.handle(f.clock.Now(), leaderMessageReceived{session: l.daemon.session, message: older})
	f.step(0)
	assert.DeepEqual(t, f.evacuatedOn("d1"), []string{"zone-b"})
}

// Guards against a daemon that serves its server after a restart before it knows which zones are under evacuation.
func TestRestartedDaemonWaitsForTheList(t *testing.T) {
	f := newTestFleet(t, 3, 1)
	f.order("zone-a", true)
	f.isolated["d1"] = true
	f.add("d1", f.loops["d1"].cfg.Voters, false)
	delete(f.streams, "d1")
	f.runFor(time.Second)
	assert.Assert(t, f.loops["d1"].Snapshot().EvacuationsUnknown)
	f.isolated["d1"] = false
	f.requireEvacuated(evacuateWithin, []string{"d1"}, "zone-a")
}

// Guards against a configuration that a daemon applies before it knows the zones under evacuation.
func TestListComesBeforeTheConfiguration(t *testing.T) {
	f := newTestFleet(t, 1, 1)
	f.order("zone-a", true)
	f.add("d1", f.loops["d1"].cfg.Voters, false)
	delete(f.streams, "d1")
	f.reconnect("d1")
	pair := f.streams["d1"]
	for _, frame := range pair.daemonEnd.takeQueue(nil) {
		message, err := decodeDaemonMessage(frame)
		assert.NilError(t, err)
		f.loops[pair.leader].handle(f.clock.Now(), daemonMessageReceived{session: pair.leaderEnd, message: message})
	}
	kinds := []wire.Kind{}
	for _, frame := range pair.leaderEnd.takeQueue(nil) {
		decompressed, err := wire.Decompress(frame, wire.MaxFrame)
		assert.NilError(t, err)
		kinds = append(kinds, decompressed.Kind)
	}
	assert.Assert(t, slices.Index(kinds, kindEvacuations) >= 0)
	assert.Assert(t, slices.Index(kinds, kindEvacuations) < slices.Index(kinds, kindConfig), "%v", kinds)
}

// Guards against a rolling update in which a leader of the earlier version, which sends no list, keeps daemons from
// serving, and in which a list ends the control stream of a daemon of the earlier version.
func TestMixedVersions(t *testing.T) {
	f := newTestFleet(t, 1, 2)
	f.order("zone-a", true)
	l := f.loops["d1"]
	l.daemon.zones = newLocalZones()
	l.handle(f.clock.Now(), leaderMessageReceived{session: l.daemon.session, message: leaseMessage{leaseOf(1, 1)}})
	f.step(0)
	assert.DeepEqual(t, f.evacuatedOn("d1"), []string{})
	leader := f.loops["c1"]
	old := f.streams["d2"].leaderEnd
	old.join.Evacuations = false
	old.takeQueue(nil)
	leader.voter.leader.sendEvacuationsToAll(leader)
	assert.Equal(t, len(old.takeQueue(nil)), 0)
	_, err := decodeLeaderMessage(wire.Frame{Kind: kindOrderReply + 100})
	assert.ErrorIs(t, err, errUnknownKind)
	_, err = decodeDaemonMessage(wire.Frame{Kind: kindOrderReply + 100})
	assert.ErrorIs(t, err, errUnknownKind)
}

// Guards against orders that cannot be followed in the log.
func TestOrdersAreLogged(t *testing.T) {
	f := newTestFleet(t, 1, 1)
	var text bytes.Buffer
	f.loops["c1"].log, f.loops["d1"].log = zerolog.New(&text), zerolog.New(&text)
	accepted := f.order("zone-a", true)
	f.requireEvacuated(evacuateWithin, f.names(), "zone-a")
	for _, want := range []string{
		`"zone":"zone-a","requester":"Ana","reason":"flood","index":` + fmt.Sprint(accepted.Index) + `,"changed":true,"warning":"no server of zone`,
		`"message":"zone-evacuated"`, `"zones":["zone-a"],"version":`, `"message":"evacuations-received"`,
	} {
		assert.Assert(t, strings.Contains(text.String(), want), "%s\n%s", want, text.String())
	}
}

// Guards against an operator who waits for the reply to an order that was sent on a control stream that another one has
// replaced.
func TestOrderOnAReplacedStreamIsAnswered(t *testing.T) {
	f := newTestFleet(t, 1, 1)
	reply := f.startOrder("d1", "zone-a", true, true)
	near, _ := net.Pipe()
	f.loops["d1"].handle(f.clock.Now(), uplinkOpened{session: newSession(&link.Stream{Conn: near}, "c1")})
	assert.DeepEqual(t, received(t, reply), OrderResult(OrderUnconfirmed{}))
}

// Guards against a list of a group that was founded anew after the loss of all disks and that daemons ignore because
// the clock of the lost group was ahead, and against an evacuation that ends because the new group has no orders yet.
func TestOrdersOfAGroupFoundedAnew(t *testing.T) {
	f := newDynamicFleet(t, 3)
	lost := f.loops[f.leader()]
	ahead := lost.voter.machine.CommandTime(f.clock.Now().Add(time.Hour))
	lost.propose(f.clock.Now(), &state.Tick{At: ahead}, leaderProposer{})
	f.order("zone-a", true)
	f.requireEvacuated(evacuateWithin, bothDaemons, "zone-a")
	for _, name := range []string{"c1", "c2", "c3"} {
		f.addDynamicControl(name, "-new", true)
	}
	f.waitUntil("a leader of the new group", func() bool { return f.leader() != "" })
	f.runFor(evacuateUnstable)
	for _, name := range bothDaemons {
		assert.DeepEqual(t, f.evacuatedOn(name), []string{"zone-a"})
	}
	f.order("zone-b", true)
	f.requireEvacuated(evacuateWithin, bothDaemons, "zone-b")
	f.order("zone-b", false)
	f.requireEvacuated(evacuateWithin, bothDaemons)
}

// Guards against an order that a leader of an earlier version ignores, or for which it closes the control stream,
// instead of a refusal that names the reason.
func TestOrderToALeaderOfAnEarlierVersion(t *testing.T) {
	f := newTestFleet(t, 1, 1)
	l := f.loops["d1"]
	near, _ := net.Pipe()
	s := newSession(&link.Stream{Conn: near}, "c1")
	l.handle(f.clock.Now(), uplinkOpened{session: s})
	early := f.startOrder("d1", "zone-a", true, true)
	l.handle(f.clock.Now(), leaderMessageReceived{session: s, message: leaseMessage{leaseOf(l.daemon.heartbeatSeq, 1)}})
	for _, reply := range []chan OrderResult{early, f.startOrder("d1", "zone-a", true, true)} {
		refused, ok := received(t, reply).(OrderRefused)
		assert.Assert(t, ok && !refused.Invalid && strings.Contains(refused.Detail, "earlier version"))
	}
	for _, frame := range s.takeQueue(nil) {
		assert.Assert(t, frame.Kind != kindOrderCall)
	}
}
