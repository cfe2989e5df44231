package ctrl

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/watch"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

func rulesFileOf(text, folder string) watch.File {
	return watch.File{Path: filepath.Join(folder, "rules"), Text: []byte(text)}
}

// Guards R5 and R12: an isolated daemon must stop serving within 3 s, because a key may have been withdrawn
// meanwhile.
func TestIsolatedDaemonStopsServing(t *testing.T) {
	f := newTestFleet(t, 3, 2)
	f.runFor(time.Second)
	f.isolated["d1"] = true
	since := f.clock.Now()
	withdrawn := strings.Replace(rulesText(2, "Lou", ""), rules.HashKey("reader-key").String(), rules.HashKey("reader-key").String()+" state=withdrawn", 1)
	f.accept(withdrawn)
	for f.clock.Now().Sub(since) < defaultLease {
		f.step(10 * time.Millisecond)
	}
	assert.Assert(t, !f.loops["d1"].Snapshot().LeaseValid(f.clock.Now()), "the daemon serves on old rules after %s", defaultLease)
	assert.Equal(t, f.loops["d1"].daemon.rules.revision(), uint64(1))
	f.isolated["d1"] = false
	f.waitUntil("revision 2 on the daemon", func() bool { return f.inForce(2) })
	_, active := f.loops["d1"].Snapshot().Rules.KeyFor("reader-key")
	assert.Assert(t, !active)
}

// Guards against a lease under an older configuration: the reply to a heartbeat for revision 2 must not keep a
// daemon serving revision 1.
func TestLeaseCountsOnlyForTheRevisionInForce(t *testing.T) {
	f := newTestFleet(t, 1, 1)
	l := f.loops["d1"]
	before := l.daemon.freshUntil
	l.sendHeartbeat(f.clock.Now())
	lease := leaseMessage{leaseOf(l.daemon.heartbeatSeq, 2)}
	f.clock.Advance(time.Millisecond)
	l.handle(f.clock.Now(), leaderMessageReceived{session: l.daemon.session, message: lease})
	assert.Equal(t, l.daemon.freshUntil, before)
}

// Guards R12: a suspended or isolated leader must not reply to heartbeats after its lease has ended, and no
// revision reverts when it reconnects.
func TestIsolatedLeaderIsReplacedAndNothingReverts(t *testing.T) {
	f := newTestFleet(t, 3, 2)
	old := f.leader()
	f.isolated[old] = true
	took := f.waitUntil("another leader", func() bool { return f.leader() != "" && f.leader() != old })
	assert.Assert(t, took < defaultLease, "failover took %s, longer than the lease of a daemon", took)
	f.accept(rulesText(2, "Lou", ""))
	f.runFor(time.Second)
	assert.Assert(t, !f.loops[old].voter.node.LeaseHeld(f.clock.Now()))
	f.isolated[old] = false
	f.waitUntil("the old leader follows", func() bool { return f.inForce(2) && f.loops[old].voter.leader == nil })
	f.runFor(2 * time.Second)
	assert.Assert(t, f.inForce(2))
}

// Guards against a late message that replaces a configuration by an older one.
func TestOlderConfigIsIgnored(t *testing.T) {
	f := newTestFleet(t, 1, 1)
	f.accept(rulesText(2, "Lou", ""))
	l := f.loops["d1"]
	text := []byte(rulesText(1, "Ana", ""))
	hash := sha256.Sum256(text)
	l.handle(f.clock.Now(), leaderMessageReceived{session: l.daemon.session, message: &Config{Number: 1, Hash: hash[:], Text: text}})
	assert.Equal(t, l.daemon.rules.revision(), uint64(2))
}

// Guards against a daemon that keeps a wrong text when a difference does not apply to its own text.
func TestDifferenceForAnotherTextLeadsToFullCopy(t *testing.T) {
	f := newTestFleet(t, 1, 1)
	l := f.loops["d1"]
	l.daemon.rules.text = []byte(rulesText(1, "Ana", "# not what the leader has\n"))
	f.accept(rulesText(2, "Lou", ""))
	assert.Equal(t, string(l.daemon.rules.text), rulesText(2, "Lou", ""))
}

// Guards against a retry after a lost reply that counts as a second change.
func TestLostVerdictIsSentAgain(t *testing.T) {
	f := newTestFleet(t, 3, 1)
	f.dropLeaderMessages["d1"] = true
	f.propose("d1", rulesText(2, "Lou", ""))
	f.runFor(200 * time.Millisecond)
	assert.Assert(t, f.loops["d1"].daemon.proposal != nil)
	f.isolated[f.leader()] = true
	f.waitUntil("another leader", func() bool { return f.leader() != "" })
	f.dropLeaderMessages["d1"] = false
	f.waitUntil("the verdict", func() bool { return f.loops["d1"].daemon.proposal == nil })
	f.waitUntil("revision 2", func() bool { return f.inForce(2) })
}

// Guards against two accepted texts with the same number, in any order of arrival.
func TestEqualNumbersHaveOneWinner(t *testing.T) {
	f := newTestFleet(t, 3, 2)
	folders := map[string]string{"d1": t.TempDir(), "d2": t.TempDir()}
	for name, folder := range folders {
		text := rulesText(2, name, "# by "+name+"\n")
		f.loops[name].proposeRulesFile(f.clock.Now(), rulesFileRead{file: rulesFileOf(text, folder)})
	}
	f.waitUntil("revision 2", func() bool { return f.inForce(2) })
	f.runFor(time.Second)
	accepted := 0
	for _, folder := range folders {
		verdict, err := os.ReadFile(filepath.Join(folder, "rules.verdict"))
		assert.NilError(t, err)
		if strings.HasPrefix(string(verdict), "accepted") {
			accepted++
		} else {
			assert.Assert(t, strings.Contains(string(verdict), "was accepted from d"), string(verdict))
		}
	}
	assert.Equal(t, accepted, 1)
}

// Guards R9: a command whose reply was lost with the leader is sent again as the same attempt, and a second
// daemon with the same key does not run the request meanwhile.
func TestOnceSurvivesLostReplyAndLeader(t *testing.T) {
	f := newTestFleet(t, 3, 2)
	f.dropLeaderMessages["d1"] = true
	first := f.begin("d1", "payout-1")
	f.runFor(100 * time.Millisecond)
	f.isolated[f.leader()] = true
	f.waitUntil("another leader", func() bool { return f.leader() != "" })
	f.dropLeaderMessages["d1"] = false
	f.waitUntil("the verdict", func() bool { return len(first) == 1 })
	begun := received(t, first)
	_, ok := begun.verdict.(*state.OnceBegun)
	assert.Assert(t, ok, "got %T", begun.verdict)
	second := f.begin("d2", "payout-1")
	f.runFor(100 * time.Millisecond)
	_, ok = received(t, second).verdict.(*state.OnceRunning)
	assert.Assert(t, ok)
}

// Guards against a record that blocks all retries because the first request was refused before dispatch.
func TestAbandonedOnceMayRunAgain(t *testing.T) {
	f := newTestFleet(t, 1, 2)
	f.dropLeaderMessages["d1"] = true
	first := f.begin("d1", "booking-1")
	f.runFor(50 * time.Millisecond)
	l := f.loops["d1"]
	l.handle(f.clock.Now(), onceWaitCanceled{reply: first})
	f.runFor(50 * time.Millisecond)
	second := f.begin("d2", "booking-1")
	f.runFor(50 * time.Millisecond)
	_, ok := received(t, second).verdict.(*state.OnceBegun)
	assert.Assert(t, ok)
}

// Guards against the same block when the verdict arrives just before the wait of the request is canceled.
func TestUnclaimedVerdictMayRunAgain(t *testing.T) {
	f := newTestFleet(t, 1, 2)
	first := f.begin("d1", "booking-2")
	f.runFor(50 * time.Millisecond)
	scope := state.OnceScope{Account: "reader", Route: "POST/kudos", Key: "booking-2"}
	f.loops["d1"].handle(f.clock.Now(), onceWaitCanceled{scope: scope, reply: first})
	f.runFor(50 * time.Millisecond)
	second := f.begin("d2", "booking-2")
	f.runFor(50 * time.Millisecond)
	_, ok := received(t, second).verdict.(*state.OnceBegun)
	assert.Assert(t, ok)
}

// Guards against an invalid text that becomes the configuration because the leader does not check it.
func TestLeaderRefusesInvalidText(t *testing.T) {
	f := newTestFleet(t, 1, 1)
	l := f.loops["d1"]
	folder := t.TempDir()
	text := []byte("revision 2 # requested by Lou\nservice library slots=0 # requested by Lou\n")
	hash := sha256.Sum256(text)
	l.daemon.proposal = &pendingProposal{path: filepath.Join(folder, "rules"), message: &Propose{Number: 2, Text: text, Author: "Lou", Hash: hash[:]}}
	l.sendProposal(f.clock.Now())
	f.waitUntil("the verdict", func() bool { return l.daemon.proposal == nil })
	verdict, err := os.ReadFile(filepath.Join(folder, "rules.verdict"))
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(verdict), "refused: "), string(verdict))
	assert.Assert(t, f.inForce(1))
}

// Guards R9: the idempotency records of a daemon that is gone become unknown, so that a retry does not run the
// request a second time.
func TestRecordsOfGoneDaemonBecomeUnknown(t *testing.T) {
	f := newTestFleet(t, 3, 2)
	first := f.begin("d1", "kudos-1")
	f.runFor(50 * time.Millisecond)
	_, ok := received(t, first).verdict.(*state.OnceBegun)
	assert.Assert(t, ok)
	f.isolated["d1"] = true
	f.isolated[f.leader()] = true // the next leader must find the record in its own state
	f.waitUntil("another leader", func() bool { return f.leader() != "" })
	f.runFor(12 * time.Second)
	second := f.begin("d2", "kudos-1")
	f.runFor(100 * time.Millisecond)
	_, ok = received(t, second).verdict.(*state.OnceUnknown)
	assert.Assert(t, ok)
}

// Guards R6: two daemons that both spend all tokens they are granted stay within burst plus rate times window,
// also across a change of leader.
func TestRateHoldsAcrossDaemonsAndLeaders(t *testing.T) {
	f := newTestFleet(t, 3, 2)
	var taken []time.Time
	var waiting []chan call.TokenVerdict
	for passed := range 800 {
		for range 3 {
			waiting = append(waiting, f.takeToken("d1"), f.takeToken("d2"))
		}
		if passed == 300 {
			f.isolated[f.leader()] = true
		}
		f.step(10 * time.Millisecond)
		waiting = slices.DeleteFunc(waiting, func(reply chan call.TokenVerdict) bool {
			if len(reply) == 0 {
				return false
			}
			if _, ok := (<-reply).(call.TokenTaken); ok {
				taken = append(taken, f.clock.Now())
			}
			return true
		})
	}
	assert.Assert(t, len(taken) > 300, "only %d of about 800 tokens were spent", len(taken))
	const rate, burst = 100, 50
	for i := range taken {
		for j := i; j < len(taken); j++ {
			allowed := burst + rate*taken[j].Sub(taken[i]).Seconds()
			assert.Assert(t, float64(j-i+1) <= allowed+1e-6, "%d tokens within %s", j-i+1, taken[j].Sub(taken[i]))
		}
	}
}

// Guards R10: other daemons stop choosing the instances of a daemon that drains or loses its connection.
func TestLeavingInstancesDisappear(t *testing.T) {
	f := newTestFleet(t, 1, 3)
	f.announce("d1", "127.0.0.1:1", "1")
	f.announce("d2", "127.0.0.1:2", "1")
	reply := make(chan *snap.Endpoints, 1)
	f.loops["d3"].handle(f.clock.Now(), endpointsRequested{service: "library", reply: reply})
	f.waitUntil("two instances", func() bool { return instances(f.loops["d3"]) == 2 })
	f.loops["d1"].handle(f.clock.Now(), drainRequested{})
	took := f.waitUntil("one instance", func() bool { return instances(f.loops["d3"]) == 1 })
	assert.Assert(t, took <= 3*time.Second, "a leaving instance was listed for %s", took)
	f.isolated["d2"] = true
	took = f.waitUntil("no instance", func() bool { return instances(f.loops["d3"]) == 0 })
	assert.Assert(t, took <= 4*time.Second, "a lost instance was listed for %s", took)
}

// Guards against a service that counts as one without instances because the first list arrived before they
// were announced.
func TestSubscribeWaitsForTheFirstInstance(t *testing.T) {
	f := newTestFleet(t, 1, 2)
	first, second := make(chan *snap.Endpoints, 1), make(chan *snap.Endpoints, 1)
	f.loops["d2"].handle(f.clock.Now(), endpointsRequested{service: "library", reply: first})
	for range 100 {
		f.step(10 * time.Millisecond)
	}
	f.loops["d2"].handle(f.clock.Now(), endpointsRequested{service: "library", reply: second})
	assert.Equal(t, len(first)+len(second), 0)
	f.announce("d1", "127.0.0.1:1", "1")
	f.waitUntil("two lists", func() bool { return len(first) == 1 && len(second) == 1 })
	assert.Equal(t, len((<-first).Instances), 1)
	assert.Equal(t, len((<-second).Instances), 1)
}

// Guards M1: daemons keep their views across a change of leader, although the registry of the new leader is
// empty at first.
func TestNewLeaderDoesNotEmptyViews(t *testing.T) {
	f := newTestFleet(t, 3, 3)
	f.announce("d1", "127.0.0.1:1", "1")
	f.announce("d2", "127.0.0.1:2", "1")
	f.loops["d3"].handle(f.clock.Now(), endpointsRequested{service: "library", reply: make(chan *snap.Endpoints, 1)})
	f.waitUntil("two instances", func() bool { return instances(f.loops["d3"]) == 2 })
	old := f.leader()
	f.isolated[old] = true
	f.isolated["d1"] = true // connects to the new leader late
	f.waitUntil("another leader", func() bool { return f.leader() != "" && f.leader() != old })
	for passed := range 400 {
		if passed == 100 {
			f.isolated["d1"] = false
		}
		f.step(10 * time.Millisecond)
		assert.Equal(t, instances(f.loops["d3"]), 2, "%d0 ms after the election", passed)
	}
}

// Guards against a request that crashes every instance: after three crashes of different incarnations,
// reported by different daemons, all daemons quarantine it, and the quarantine ends.
func TestQuarantineReachesEveryDaemon(t *testing.T) {
	f := newTestFleet(t, 3, 3)
	for i, name := range []string{"d1", "d2", "d3"} {
		f.loops[name].handle(f.clock.Now(), crashReported{report: &CrashReport{Incarnation: uint64(i + 1), Fingerprints: []string{"f1"}}})
		f.step(10 * time.Millisecond)
	}
	quarantined := func() bool {
		for _, l := range f.loops {
			until, ok := l.Snapshot().Quarantine["f1"]
			if !ok || until <= wire.StampOf(f.clock.Now()) {
				return false
			}
		}
		return true
	}
	f.waitUntil("quarantine everywhere", quarantined)
	f.clock.Advance(11 * time.Minute)
	f.waitUntil("its end", func() bool { return f.leader() != "" && len(f.loops["d1"].Snapshot().Quarantine) == 0 })
}

// Guards against a dump or report that contains a key, the input of its hash or the shared secret.
func TestReportsHoldNoKeys(t *testing.T) {
	f := newTestFleet(t, 1, 1)
	for _, request := range []ReportRequest{StatusRequest{}, DumpRequest{}, RulesRequest{}} {
		reply := make(chan reportResult, 1)
		f.loops["c1"].handle(f.clock.Now(), reportRequested{request: request, reply: reply})
		result := received(t, reply)
		assert.NilError(t, result.err)
		assert.Assert(t, !strings.Contains(string(result.body), "reader-key"))
	}
}

// Guards against a query that is replied to before a revision is in effect on every daemon with a valid lease.
func TestInForceWaitsForEveryDaemon(t *testing.T) {
	f := newTestFleet(t, 1, 2)
	f.dropLeaderMessages["d2"] = true
	f.propose("c1", rulesText(2, "Lou", ""))
	f.runFor(300 * time.Millisecond)
	reply := make(chan reportResult, 1)
	query := Query{Kind: QueryInForce, Revision: 2, Wait: 20 * time.Second}
	f.loops["d1"].handle(f.clock.Now(), reportRequested{request: LeaderRequest{Query: query}, reply: reply})
	f.runFor(300 * time.Millisecond)
	assert.Equal(t, len(reply), 0)
	f.dropLeaderMessages["d2"] = false
	f.waitUntil("the reply", func() bool { return len(reply) == 1 })
	report := &admin.InForce{}
	assert.NilError(t, json.Unmarshal(received(t, reply).body, report))
	assert.Assert(t, report.InForce && report.Behind == 0, fmt.Sprint(report))
}

// Guards against a list of daemons on the leader that grows with each daemon that never returns.
func TestGoneDaemonIsRemoved(t *testing.T) {
	f := newTestFleet(t, 1, 2)
	lead := f.loops["c1"].voter.leader
	assert.Equal(t, len(lead.heartbeats), 3)
	f.isolated["d1"] = true
	f.runFor(12 * time.Second)
	_, listed := lead.heartbeats["d1"]
	assert.Assert(t, !listed && len(lead.heartbeats) == 2, "%d daemons", len(lead.heartbeats))
}

// Guards against a token wait that continues after its request has ended.
func TestAbandonedTokenWait(t *testing.T) {
	f := newTestFleet(t, 1, 1)
	l := f.loops["d1"]
	f.isolated["c1"] = true
	reply := make(chan call.TokenVerdict, 1)
	l.handle(f.clock.Now(), tokenRequested{account: "reader", waiter: 1, reply: reply})
	assert.Equal(t, len(l.daemon.tokenWaiters), 1)
	l.handle(f.clock.Now(), tokenWaitCanceled{account: "reader", waiter: 1})
	assert.Equal(t, len(l.daemon.tokenWaiters), 0)
}

// FuzzDecode guards against control messages that crash a daemon or the leader.
func FuzzDecode(f *testing.F) {
	for _, message := range []DaemonMessage{&Join{Daemon: "d", Boot: 1}, &CrashReport{Fingerprints: []string{"f"}}, &Propose{Number: 1, Text: []byte("x")}} {
		frame, err := encodeDaemonMessage(message)
		assert.NilError(f, err)
		f.Add(uint8(frame.Kind), frame.Body)
	}
	for _, message := range []LeaderMessage{&Config{Number: 2, Base: 1, Hunks: []state.Hunk{{Keep: 1}}}, &Redirect{Leader: "c"}} {
		frame, err := encodeLeaderMessage(message)
		assert.NilError(f, err)
		f.Add(uint8(frame.Kind), frame.Body)
	}
	f.Fuzz(func(_ *testing.T, kind uint8, body []byte) {
		frame := wire.Frame{Kind: wire.Kind(kind), Body: body}
		if message, err := decodeDaemonMessage(frame); err == nil {
			_, _ = encodeDaemonMessage(message)
		}
		if message, err := decodeLeaderMessage(frame); err == nil {
			_, _ = encodeLeaderMessage(message)
		}
	})
}

// Guards against a fleet whose bytes between availability zones are mostly copies of the configuration: each daemon
// that starts gets one. Daemons of an earlier version get it as it is.
func TestLargeConfigIsCompressed(t *testing.T) {
	f := newTestFleet(t, 1, 2)
	var lines strings.Builder
	for i := range 300 {
		fmt.Fprintf(&lines, "account account-%d rate=100/s burst=100 # requested by Ana\n", i)
	}
	text := rulesText(2, "Lou", lines.String())
	leader := f.loops[f.leader()].voter.leader
	leader.sessions[f.loops["d2"].cfg.PeerAddress].join.Decompresses = false
	queued := func(name string) uint64 { return leader.sessions[f.loops[name].cfg.PeerAddress].queuedBytes }
	before1, before2 := queued("d1"), queued("d2")
	f.accept(text)
	f.waitUntil("the configuration", func() bool { return f.inForce(2) })
	assert.Assert(t, queued("d1")-before1 < uint64(len(text)/3), "%d bytes for a text of %d", queued("d1")-before1, len(text))
	assert.Assert(t, queued("d2")-before2 > uint64(len(text)/2))
}

// Guards against a leader that sends each of many announcements on its own to all daemons that call the service.
func TestAnnouncementsAreSentTogether(t *testing.T) {
	f := newTestFleet(t, 1, 2)
	l := f.loops["d2"]
	l.handle(f.clock.Now(), endpointsRequested{service: "library", reply: make(chan *snap.Endpoints, 1)})
	f.waitUntil("the subscription", func() bool { return l.Snapshot().Endpoints["library"] != nil })
	versions := l.Snapshot().Endpoints["library"].Version
	const count = 16
	started := f.clock.Now()
	for i := range count {
		f.announce("d1", fmt.Sprintf("127.0.0.1:%d", i+1), "1")
		f.step(10 * time.Millisecond)
	}
	f.waitUntil("all instances", func() bool { return instances(l) == count })
	passes := uint64(f.clock.Now().Sub(started)/viewInterval) + 2
	assert.Assert(t, l.Snapshot().Endpoints["library"].Version-versions <= passes)
}

// Guards against a daemon that stops following the list of instances, or reconnects again and again, because of one
// bad entry in it.
func TestBadInstanceCostsOnlyItself(t *testing.T) {
	f := newTestFleet(t, 1, 2)
	l := f.loops["d2"]
	f.announce("d1", "127.0.0.1:1", "1")
	l.handle(f.clock.Now(), endpointsRequested{service: "library", reply: make(chan *snap.Endpoints, 1)})
	f.waitUntil("one instance", func() bool { return instances(l) == 1 })
	good := l.Snapshot().Endpoints["library"].Instances[0]
	good.ID, good.Address = good.Daemon+"/127.0.0.1:2", "127.0.0.1:2"
	bad := good
	bad.ID, bad.Slots = strings.Repeat("x", 500), math.MaxUint32
	frame, err := encodeLeaderMessage(changeMessage{&member.Change{Service: "library", Version: 99, Set: []snap.Endpoint{bad, good}}})
	assert.NilError(t, err)
	message, err := decodeLeaderMessage(frame)
	assert.NilError(t, err)
	l.handle(f.clock.Now(), leaderMessageReceived{session: l.daemon.session, message: message})
	f.step(10 * time.Millisecond)
	assert.Equal(t, instances(l), 1)
	assert.Equal(t, l.Snapshot().Endpoints["library"].Instances[0].ID, good.ID)
}

// Guards against an announcement of a service that the rules do not have, which takes the place of the backend server
// at its address.
func TestAnnouncementOfAnUnknownService(t *testing.T) {
	f := newTestFleet(t, 1, 1)
	f.announce("d1", "127.0.0.1:1", "1")
	registered := f.loops["d1"].daemon.localInstances.Instances["127.0.0.1:1"]
	reply := make(chan announceResult, 1)
	odd := member.Announcement{Service: "gamma", Address: "127.0.0.1:1", Slots: 32, Connections: 64, Start: "2"}
	f.loops["d1"].handle(f.clock.Now(), backendAnnounced{announcement: odd, reply: reply})
	assert.ErrorIs(t, received(t, reply).err, errUnknownService)
	assert.Equal(t, f.loops["d1"].daemon.localInstances.Instances["127.0.0.1:1"], registered)
	f.announce("d1", "127.0.0.1:1", "1")
}
