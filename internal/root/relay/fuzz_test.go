package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/field"
	"github.com/buckthornpitch/buckthornpitch/internal/head"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// fuzzMessage guards against a panic on bytes from another daemon, and against an accepted message that
// cannot be encoded and accepted again.
func fuzzMessage[T any, M wire.Message[T]](f *testing.F, seed M, use func(M)) {
	body, err := wire.Encode[T](seed)
	assert.NilError(f, err)
	f.Add(body)
	f.Add(body[:len(body)/2])
	f.Fuzz(func(t *testing.T, body []byte) {
		message, err := wire.Decode[T, M](body)
		if err != nil {
			return
		}
		use(message)
		encoded, err := wire.Encode[T](message)
		assert.NilError(t, err)
		_, err = wire.Decode[T, M](encoded)
		assert.NilError(t, err)
	})
}

func FuzzSend(f *testing.F) {
	fuzzMessage(f, &SendRequest{
		Number: 1, ID: "a", Service: "s", Route: "r", Left: time.Second, Age: time.Millisecond, Objective: time.Second,
		Method: "GET", Target: "/x", Host: "h", Header: []field.Field{{Name: "A", Value: "b"}}, Body: []byte("body"), Fingerprint: "f",
	}, func(s *SendRequest) { decodeJob(time.Unix(1_000_000, 0), s) })
}

func FuzzReply(f *testing.F) {
	seed := encodeReply(7, notRun{failure: retry.QueueFull{}, retryAfter: time.Second}, Report{Wait: time.Second, Slots: 3, Congestion: 1.5})
	for i := range malformedReplies {
		body, err := wire.Encode(&malformedReplies[i])
		assert.NilError(f, err)
		f.Add(body)
	}
	fuzzMessage(f, seed, func(r *Reply) {
		done, complete := r.decodeOutcome().(completed)
		if complete && head.CheckHeader(done.response.Header) != nil {
			panic("a malformed response is passed on")
		}
		r.Report.balancerReport()
	})
}

func FuzzNoticeRequest(f *testing.F) {
	fuzzMessage(f, &NoticeRequest{Number: 1, Instance: "i", Service: "s", Address: "10.0.0.1:1", Slots: 2, State: StateReady, StartUnixMilli: 5}, func(n *NoticeRequest) { n.notice() })
}

func FuzzCredit(f *testing.F) {
	fuzzMessage(f, &Credit{Number: 1, Bytes: streamWindow}, func(c *Credit) { newCreditCounter().add(int(c.Bytes)) })
}

func FuzzPong(f *testing.F) {
	fuzzMessage(f, &Pong{LongBodies: true}, func(*Pong) {})
}
