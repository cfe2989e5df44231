package relay

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/segmentio/encoding/proto"
	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/field"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

type (
	// rawPeer is the sending end of a peer stream that sends any frame.
	rawPeer struct {
		t      *testing.T
		stream *link.Stream
		reader *bufio.Reader
	}

	// messageOfNumber makes a message about the request with a number; the message may be invalid, or bytes.
	messageOfNumber struct {
		kind    wire.Kind
		message func(number uint64) any
	}
)

func dialPeer(t *testing.T, address string) *rawPeer {
	t.Helper()
	dialer := &link.Dialer{Name: "raw", Zone: "a", Secret: testSecret}
	stream, err := dialer.Open(t.Context(), address, link.StreamRelay)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = stream.Close() })
	assert.NilError(t, stream.SetReadDeadline(time.Now().Add(20*time.Second)))
	return &rawPeer{t: t, stream: stream, reader: bufio.NewReader(stream)}
}

// send sends a message as it is, also an invalid one.
func (p *rawPeer) send(kind wire.Kind, message any) {
	p.t.Helper()
	body, ok := message.([]byte)
	if !ok {
		body = marshal(p.t, message)
	}
	assert.NilError(p.t, wire.WriteFrame(p.stream, kind, body))
}

func marshal(t testing.TB, message any) []byte {
	t.Helper()
	body, err := proto.Marshal(message)
	assert.NilError(t, err)
	return body
}

// reply returns the next reply of the daemon.
func (p *rawPeer) reply() *Reply {
	p.t.Helper()
	for {
		frame, err := wire.ReadFrame(p.reader, maxPeerFrame)
		assert.NilError(p.t, err)
		if frame.Kind == kindReply {
			reply, err := wire.Decode[Reply](frame.Body)
			assert.NilError(p.t, err)
			return reply
		}
	}
}

func sendOf(number uint64, path string) *SendRequest {
	return &SendRequest{
		Number: number, ID: fmt.Sprint("r", number), Service: "shop", Route: "r", Left: 20 * time.Second, Method: "GET", Target: path, Host: "shop.example",
	}
}

func fieldsOf(count int) []field.Field {
	fields := make([]field.Field, count)
	for i := range fields {
		fields[i] = field.Field{Name: "Some", Value: "x"}
	}
	return fields
}

// Guards against an invalid message of another daemon that ends the other requests on its stream, and against a missing
// refusal of the request that it was about.
func TestInvalidMessageToServer(t *testing.T) {
	t.Parallel()
	manyFields, longTarget := sendOf(2, "/once/echo"), sendOf(2, "/once/"+strings.Repeat("x", maxText))
	manyFields.Header = fieldsOf(maxFields + 1)
	longName, noTime := sendOf(2, "/once/echo"), sendOf(2, "/once/echo")
	longName.Route, noTime.Left = strings.Repeat("r", maxLabel+1), 0
	more := sendOf(2, "/once/echo")
	more.More = true
	sameNumber := sendOf(1, "/once/echo")
	for name, c := range map[string]struct {
		kind    wire.Kind
		message any
		refused string // the reason, empty if there is no reply
		before  *SendRequest
	}{
		"fields":            {kind: kindSend, message: manyFields, refused: "header-too-large"},
		"target":            {kind: kindSend, message: longTarget, refused: "header-too-large"},
		"route":             {kind: kindSend, message: longName, refused: "bad-request"},
		"time":              {kind: kindSend, message: noTime, refused: "bad-request"},
		"cut request":       {kind: kindSend, message: marshal(t, manyFields)[:40], refused: "bad-request"},
		"no number":         {kind: kindSend, message: []byte("garbage")},
		"empty":             {kind: kindSend, message: []byte{}},
		"number in use":     {kind: kindSend, message: sameNumber},
		"invalid in use":    {kind: kindSend, message: &SendRequest{Number: 1}},
		"long part":         {kind: kindPart, message: &BodyPart{Number: 2, Body: make([]byte, maxBodyPart+1)}, before: more, refused: "bad-request"},
		"unreadable part":   {kind: kindPart, message: []byte("garbage"), before: more, refused: "bad-request"},
		"part of no one":    {kind: kindPart, message: []byte("garbage")},
		"credit":            {kind: kindCredit, message: &Credit{Number: 1, Bytes: streamWindow + 1}},
		"unreadable credit": {kind: kindCredit, message: []byte("garbage")},
		"cancel":            {kind: kindCancel, message: []byte("garbage")},
		"notice":            {kind: kindNotice, message: &NoticeRequest{Number: 9, Instance: strings.Repeat("i", maxLabel+1)}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1)
			d := f.daemons[0]
			peer := dialPeer(t, d.peerAddress)
			peer.send(kindSend, sendOf(1, "/open/hold/1"))
			if c.before != nil {
				peer.send(kindSend, c.before)
			}
			peer.send(c.kind, c.message)
			if c.refused != "" {
				reply := peer.reply()
				assert.Equal(t, reply.Number, uint64(2))
				assert.Equal(t, reply.Kind, outcomeNotRun)
				assert.Equal(t, string(reply.Reason), c.refused)
			}
			peer.send(kindSend, sendOf(3, "/open/echo"))
			reply := peer.reply()
			assert.Equal(t, reply.Number, uint64(3))
			assert.Equal(t, reply.Status, int32(http.StatusOK))
			close(d.server.hold)
			reply = peer.reply()
			assert.Equal(t, reply.Number, uint64(1))
			assert.Equal(t, reply.Status, int32(http.StatusOK))
			assert.Equal(t, d.server.runs("r2"), 0)
		})
	}
}

// Guards against a request body above the limit that ends the other requests on its stream.
func TestBodyAboveLimitOfServer(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	d.relay.Server.MaxBody = maxBodyPart
	peer := dialPeer(t, d.peerAddress)
	peer.send(kindSend, sendOf(1, "/open/hold/1"))
	long := sendOf(2, "/once/echo")
	long.Method, long.Body, long.More = "POST", make([]byte, maxBodyPart), true
	peer.send(kindSend, long)
	peer.send(kindPart, &BodyPart{Number: 2, Body: []byte("x")})
	reply := peer.reply()
	assert.Equal(t, reply.Number, uint64(2))
	assert.Equal(t, string(reply.Reason), "body-too-large")
	assert.Equal(t, reply.Kind, outcomeNotRun)
	close(d.server.hold)
	assert.Equal(t, peer.reply().Status, int32(http.StatusOK))
}

// Guards against a frame of an unknown kind or of too many bytes after which a stream is read any further.
func TestUntrustedFrameClosesStream(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1)
	var tooLong [wire.HeaderSize]byte
	wire.PutHeader(tooLong[:], kindSend, maxPeerFrame+1)
	var unknownKind [wire.HeaderSize]byte
	wire.PutHeader(unknownKind[:], kindReply, 0)
	for _, frame := range [][]byte{tooLong[:], unknownKind[:]} {
		peer := dialPeer(t, f.daemons[0].peerAddress)
		_, err := peer.stream.Write(frame)
		assert.NilError(t, err)
		_, err = wire.ReadFrame(peer.reader, maxPeerFrame)
		assert.Assert(t, err != nil)
	}
}

// newPeerOf starts a daemon that answers the frames of one peer stream by handle.
func newPeerOf(t *testing.T, handle func(frame wire.Frame, send func(kind wire.Kind, message any))) string {
	t.Helper()
	listener := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	serve := func(ctx context.Context, stream *link.Stream) {
		stop := context.AfterFunc(ctx, func() { _ = stream.SetReadDeadline(time.Unix(1, 0)) })
		defer stop()
		defer func() { _ = stream.Close() }()
		reader := bufio.NewReader(stream)
		for {
			frame, err := wire.ReadFrame(reader, maxPeerFrame)
			if err != nil {
				return
			}
			handle(frame, func(kind wire.Kind, message any) { (&rawPeer{t: t, stream: stream}).send(kind, message) })
		}
	}
	server := &link.Server{
		Listener: listener, Name: "peer", Zone: "a", Secret: testSecret, Log: zerolog.Nop(), MaxConnections: 10,
		Handlers: map[link.StreamType]link.Handler{link.StreamRelay: serve},
	}
	running.Go(func() { _ = server.Run(ctx) })
	return listener.Addr().String()
}

// Guards against an invalid reply of another daemon that ends the other requests on its stream, or is reported as not run.
func TestInvalidMessageToClient(t *testing.T) {
	t.Parallel()
	head := func(number uint64) *Reply {
		return &Reply{Number: number, Kind: outcomeCompleted, Status: http.StatusOK, More: true}
	}
	for name, messages := range map[string][]messageOfNumber{
		"fields": {{kindReply, func(n uint64) any {
			return &Reply{Number: n, Kind: outcomeCompleted, Status: http.StatusOK, Header: fieldsOf(maxFields + 1)}
		}}},
		"status": {{kindReply, func(n uint64) any { return &Reply{Number: n, Kind: outcomeCompleted, Status: 5} }}},
		"credit": {{kindCredit, func(n uint64) any { return &Credit{Number: n, Bytes: streamWindow + 1} }}},
		"part": {
			{kindReply, func(n uint64) any { return head(n) }},
			{kindPart, func(n uint64) any { return &BodyPart{Number: n, Body: make([]byte, maxBodyPart+1)} }},
		},
		"unreadable part": {
			{kindReply, func(n uint64) any { return head(n) }},
			{kindPart, func(uint64) any { return []byte("garbage") }},
		},
		"two heads": {
			{kindReply, func(n uint64) any {
				return &Reply{Number: n, Kind: outcomeCompleted, Status: http.StatusOK, Streamed: true, Length: -1}
			}},
			{kindReply, func(n uint64) any {
				return &Reply{Number: n, Kind: outcomeCompleted, Status: http.StatusOK, Streamed: true, Length: -1}
			}},
		},
		"unreadable reply": {
			{kindReply, func(uint64) any { return []byte("garbage") }},
			{kindPong, func(uint64) any { return []byte("garbage") }},
			{kindCredit, func(uint64) any { return []byte("garbage") }},
			{kindNoticeReply, func(uint64) any { return []byte("garbage") }},
			{kindReply, func(n uint64) any { return &Reply{Number: n} }},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testInvalidMessageToClient(t, messages)
		})
	}
}

// testInvalidMessageToClient sends two requests to a daemon that replies to the second one only, after the given messages
// about the first one.
func testInvalidMessageToClient(t *testing.T, messages []messageOfNumber) {
	numbers := map[string]uint64{}
	cancelled := make(chan uint64, 10)
	address := newPeerOf(t, func(frame wire.Frame, send func(wire.Kind, any)) {
		switch frame.Kind {
		case kindCancel:
			cancel, err := wire.Decode[Cancel](frame.Body)
			assert.Check(t, err)
			cancelled <- cancel.Number
		case kindSend:
			request, err := wire.Decode[SendRequest](frame.Body)
			assert.Check(t, err)
			numbers[request.ID] = request.Number
		}
		if len(numbers) == 2 && frame.Kind == kindSend {
			for _, message := range messages {
				send(message.kind, message.message(numbers["r1"]))
			}
			send(kindReply, &Reply{Number: numbers["r2"], Kind: outcomeCompleted, Status: http.StatusOK})
		}
	})
	streams := &PeerStreams{Clock: clock.Real{}, Dialer: &link.Dialer{Name: "front", Zone: "a", Secret: testSecret}, Log: zerolog.Nop(), Meter: meter.New()}
	t.Cleanup(func() {
		for _, stream := range streams.streams {
			streams.remove(stream)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	first := make(chan error, 1)
	go func() {
		_, sent, err := streams.Send(ctx, address, cross.Home, sendOf(1, "/1"), &Request{gone: ctx}, func() bool { return false })
		assert.Check(t, sent)
		first <- err
	}()
	reply, _, err := streams.Send(ctx, address, cross.Home, sendOf(2, "/2"), &Request{gone: ctx}, func() bool { return false })
	assert.NilError(t, err)
	assert.Equal(t, reply.Status, int32(http.StatusOK))
	assert.Assert(t, <-first != nil)
	assert.Assert(t, ctx.Err() == nil, "the first request waited for its deadline")
	assert.Equal(t, <-cancelled, numbers["r1"])
}

// Guards against a number that is read from another field of an invalid message.
func TestMessageNumber(t *testing.T) {
	const numberTag = 1 << 3 // of field 1
	for _, number := range []uint64{1, 127, 128, 1 << 40, 1<<64 - 1} {
		got, ok := wire.FirstNumber(marshal(t, &SendRequest{Number: number, ID: "x"}))
		assert.Assert(t, ok && got == number)
	}
	for _, body := range [][]byte{nil, {numberTag}, {numberTag, 0x80}, []byte("garbage"), marshal(t, &SendRequest{ID: "x"}), binary.AppendUvarint(nil, 1<<63)} {
		_, ok := wire.FirstNumber(body)
		assert.Assert(t, !ok, "%x", body)
	}
}

// Guards against a client account with a long name that has one share of the memory for its requests and another one for
// their responses.
func TestLongAccountHasOneShare(t *testing.T) {
	for _, name := range []string{"", "short", strings.Repeat("long", maxLabel)} {
		send := sendOf(1, "/once/echo")
		send.Rank = 1
		send.setAccount(name)
		assert.Equal(t, send.claim(), decodeJob(time.Now(), send).claim())
	}
}
