package ctrl

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/segmentio/encoding/proto"
	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/limit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft/codec"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// Guards against an idempotency command above a limit that is sent on each control stream for ever, or whose request waits
// although it can have no record.
func TestOnceCommandAboveLimit(t *testing.T) {
	f := newTestFleet(t, 1, 1)
	for _, key := range []string{"", strings.Repeat("k", 1000)} {
		verdict := received(t, f.begin("d1", key))
		assert.Assert(t, verdict.verdict == nil)
	}
	assert.Equal(t, len(f.loops["d1"].daemon.onceQueue.pending), 0)
	good := f.begin("d1", "key")
	f.runFor(time.Second)
	_, begun := received(t, good).verdict.(*state.OnceBegun)
	assert.Assert(t, begun)
}

// Guards against a configuration above the limit of its text that is accepted as a difference, after which no control
// instance can restore its snapshot and start, and against one that never gets a verdict. A configuration that is posted
// grows by line breaks once its size has been checked.
func TestConfigurationAboveLimit(t *testing.T) {
	f := newDynamicFleet(t, 3)
	for _, l := range f.loops {
		l.cfg.Parse = func(name string, text []byte) (*rules.Set, error) {
			checked, _, _ := bytes.Cut(text, []byte("# padding"))
			return rules.Parse(name, checked)
		}
	}
	padded := func(number, base uint64, size int) Draft {
		d := draft(number, base, "# padding")
		d.Text = append(d.Text, bytes.Repeat([]byte("x"), size-len(d.Text))...)
		return d
	}
	assertInvalid := func(result SubmitResult) {
		t.Helper()
		refused, ok := result.(SubmitRefused)
		assert.Assert(t, ok && refused.Invalid, "%#v", result)
	}
	assertInvalid(f.submit(f.leader(), padded(3, 0, state.MaxText+1)))
	assert.DeepEqual(t, f.submit(f.leader(), padded(3, 0, state.MaxText)), SubmitResult(SubmitAccepted{Number: 3}))
	grown := padded(4, 3, state.MaxText)
	grown.Text = append(grown.Text, '\n')
	assertInvalid(f.submit(f.leader(), grown))
	snapshot, err := f.loops[f.leader()].voter.machine.Freeze().Encode()
	assert.NilError(t, err)
	_, err = state.Restore(snapshot, acceptCheckedText)
	assert.NilError(t, err)
}

// Guards against a service of an accepted configuration whose name no message holds, or more services than a subscription
// holds: the daemon would lose its control stream each time that it subscribes.
func TestSubscriptionAboveLimit(t *testing.T) {
	f := newTestFleet(t, 1, 1)
	f.announce("c1", "10.0.0.1:80", "s1")
	d := f.loops["d1"]
	subscribe := func(service string) chan *snap.Endpoints {
		reply := make(chan *snap.Endpoints, 1)
		d.handle(f.clock.Now(), endpointsRequested{service: service, reply: reply})
		f.step(time.Millisecond)
		return reply
	}
	for _, service := range []string{"", strings.Repeat("s", 65)} {
		list := received(t, subscribe(service))
		assert.Equal(t, len(list.Instances), 0)
	}
	for i := range member.MaxServices + 10 {
		d.daemon.subscriptions[fmt.Sprintf("a-%d", i)] = true
	}
	reply := subscribe("library")
	f.runFor(time.Second)
	assert.Equal(t, len(received(t, reply).Instances), 1)
	assert.Assert(t, f.inForce(1))
}

// Guards against a client account whose name is longer than a message holds and whose requests get no tokens, and against
// one control stream less for each of them.
func TestLongAccountName(t *testing.T) {
	f := newTestFleet(t, 1, 1)
	account := strings.Repeat("a", 300)
	for _, l := range f.loops {
		l.cfg.Parse = func(name string, text []byte) (*rules.Set, error) {
			set, err := rules.Parse(name, text)
			if err == nil {
				set.Accounts[account] = &rules.Account{Rule: rules.Rule{Name: account}, Rate: rules.Rate{Count: 100, Per: time.Second}, Burst: 50}
			}
			return set, err
		}
	}
	f.accept(rulesText(2, "Ana", ""))
	f.runFor(3 * time.Second)
	verdicts := make(chan call.TokenVerdict, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	go func() { verdicts <- f.loops["d1"].TakeToken(ctx, account) }()
	for {
		select {
		case verdict := <-verdicts:
			assert.Equal(t, verdict, call.TokenVerdict(call.TokenTaken{}))
			return
		case event := <-f.loops["d1"].events:
			f.loops["d1"].handle(f.clock.Now(), event)
		case <-time.After(time.Millisecond):
			f.step(10 * time.Millisecond)
		}
	}
}

// Guards against a configuration that is accepted and never takes effect, because the name of who asked for it is within
// the limit of the rules and above that of the command.
func TestLongAuthor(t *testing.T) {
	f := newTestFleet(t, 1, 1)
	f.accept(rulesText(2, strings.Repeat("東", 100), ""))
}

// Guards against crash reports that are lost because the crash hit more requests than one message holds.
func TestCrashReportAboveLimit(t *testing.T) {
	f := newTestFleet(t, 1, 1)
	report := &CrashReport{Incarnation: 1, Fingerprints: make([]string, maxFingerprints+1)}
	for i := range report.Fingerprints {
		report.Fingerprints[i] = fmt.Sprint("f", i)
	}
	f.loops["d1"].handle(f.clock.Now(), crashReported{report: report})
	sent := 0
	for _, frame := range f.streams["d1"].daemonEnd.takeQueue(nil) {
		message, err := decodeDaemonMessage(frame)
		assert.NilError(t, err)
		if part, ok := message.(*CrashReport); ok {
			sent += len(part.Fingerprints)
			assert.Equal(t, part.Incarnation, uint64(1))
		}
	}
	assert.Equal(t, sent, len(report.Fingerprints))
}

// Guards against a report that is longer than a frame of the control stream and ends the stream.
func TestReportAboveLimit(t *testing.T) {
	f := newTestFleet(t, 1, 1)
	reply := make(chan reportResult, 1)
	f.loops["d1"].handle(f.clock.Now(), reportRequested{request: LeaderRequest{Query: Query{Kind: QueryHistory, Limit: 1}}, reply: reply})
	leader := f.loops["c1"]
	daemonEnd, leaderEnd := f.streams["d1"].daemonEnd, f.streams["d1"].leaderEnd
	daemonEnd.takeQueue(nil)
	leader.sendToDaemon(leaderEnd, &QueryReply{ID: f.loops["d1"].daemon.nextQuery, Body: make([]byte, maxControlFrame)})
	for _, frame := range leaderEnd.takeQueue(nil) {
		assert.Assert(t, len(frame.Body) <= maxControlFrame)
		message, err := decodeLeaderMessage(frame)
		assert.NilError(t, err)
		f.loops["d1"].handle(f.clock.Now(), leaderMessageReceived{session: daemonEnd, message: message})
	}
	assert.ErrorContains(t, received(t, reply).err, "too long")
}

func invalidBody(t *testing.T, message any) []byte {
	t.Helper()
	body, err := proto.Marshal(message)
	assert.NilError(t, err)
	return body
}

// Guards against an invalid message of a daemon that ends its control stream, with all that waits on it.
func TestInvalidMessageOfDaemon(t *testing.T) {
	f := newTestFleet(t, 1, 1)
	l := f.loops["c1"]
	near, far := net.Pipe()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.ServeControl(ctx, &link.Stream{Conn: far, Peer: "d9"})
	}()
	scope := state.OnceScope{Route: "r", Key: strings.Repeat("k", 1000)}
	write := func(kind wire.Kind, body []byte) { assert.NilError(t, wire.WriteFrame(near, kind, body)) }
	replies := bufio.NewReader(near)
	expect := func() LeaderMessage {
		frame, err := wire.ReadFrame(replies, maxControlFrame)
		assert.NilError(t, err)
		message, err := decodeLeaderMessage(frame)
		assert.NilError(t, err)
		return message
	}
	events := make(chan Event, 100)
	go func() {
		for {
			select {
			case event := <-l.events:
				events <- event
			case <-ended:
				return
			}
		}
	}()
	write(kindOnceCall, invalidBody(t, &OnceCall{ID: 5, Begin: &state.OnceBegin{Scope: scope}}))
	assert.DeepEqual(t, expect(), &OnceReply{ID: 5})
	write(kindOrderCall, invalidBody(t, &OrderCall{ID: 6}))
	assert.Assert(t, expect().(*OrderReply).Refused)
	write(kindQuery, invalidBody(t, &Query{ID: 7, Kind: 99}))
	assert.DeepEqual(t, expect(), &QueryReply{ID: 7})
	for _, kind := range []wire.Kind{kindHeartbeat, kindLeave, kindSubscription, kindTokenRequest, kindOnceCall, kindCrashReport, kindPropose, kindQuery} {
		write(kind, []byte("garbage"))
	}
	write(kindTokenRequest, invalidBody(t, &limit.TokenRequest{Boot: 1, Seq: 1, Account: strings.Repeat("a", 300)}))
	write(kindHeartbeat, invalidBody(t, &member.Heartbeat{Seq: 3}))
	for {
		event := <-events
		if message, ok := event.(daemonMessageReceived); ok {
			assert.Equal(t, message.message.(heartbeatMessage).Seq, uint64(3))
			break
		}
	}
	cancel()
	<-ended
}

// Guards against an invalid message of the leader that ends the control stream.
func TestInvalidMessageOfLeader(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	secret := []byte("secret of the test")
	server := &link.Server{
		Listener: listener, Name: "leader", Secret: secret, Log: zerolog.Nop(), MaxConnections: 2,
		Handlers: map[link.StreamType]link.Handler{link.StreamControl: func(ctx context.Context, stream *link.Stream) {
			for kind := kindLease; kind <= kindOrderReply; kind++ {
				if kind != kindRedirect {
					assert.Check(t, wire.WriteFrame(stream, kind, []byte("garbage")))
				}
			}
			assert.Check(t, wire.WriteFrame(stream, wire.KindCompressed, []byte{byte(kindLease), 1, 2}))
			assert.Check(t, wire.WriteMessage(stream, kindLease, leaseOf(3, 1)))
			<-ctx.Done()
			_ = stream.Close()
		}},
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = server.Run(ctx)
	}()
	l, err := New(Options{Name: "d1", PeerAddress: "d1", Voters: map[string]string{"c1": "c1"}, Boot: 1}, clock.Real{}, &link.Dialer{Name: "d1", Secret: secret}, nil, zerolog.Nop())
	assert.NilError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		hint := ""
		_, _ = l.serveUplink(ctx, listener.Addr().String(), &hint)
	}()
	for {
		select {
		case event := <-l.events:
			if message, ok := event.(leaderMessageReceived); ok {
				assert.Equal(t, message.message.(leaseMessage).Seq, uint64(3))
				cancel()
				<-ended
				<-stopped
				return
			}
		case <-ended:
			t.Fatal("the control stream was closed")
		}
	}
}

// Guards against an invalid consensus message that ends the stream and, with it, the messages behind it.
func TestInvalidConsensusMessage(t *testing.T) {
	f := newTestFleet(t, 1, 0)
	l := f.loops["c1"]
	near, far := net.Pipe()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.ServeRaft(ctx, &link.Stream{Conn: far, Peer: "c2"})
	}()
	_, err := wire.ReadFrame(near, maxControlFrame)
	assert.NilError(t, err)
	go func() {
		assert.Check(t, wire.WriteFrame(near, codec.KindAppend, []byte("garbage")))
		assert.Check(t, wire.WriteFrame(near, wire.KindCompressed, []byte("garbage")))
		assert.Check(t, wire.WriteFrame(near, codec.KindHello, invalidBody(t, &raft.Hello{})))
		valid := &raft.AppendReply{Header: raft.Header{From: raft.Voter{Name: "c2", Disk: "disk-c2"}, Boot: 1, Start: 1}}
		frame, err := codec.Encode(valid)
		assert.Check(t, err)
		assert.Check(t, wire.WriteFrame(near, frame.Kind, frame.Body))
	}()
	select {
	case event := <-l.events:
		_, ok := event.(raftEvent).input.(raft.MessageReceived).Message.(*raft.AppendReply)
		assert.Assert(t, ok)
	case <-ended:
		t.Fatal("the stream was closed")
	}
	cancel()
	<-ended
}
