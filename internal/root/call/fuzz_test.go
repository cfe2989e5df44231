package call

import (
	"testing"

	"github.com/segmentio/encoding/proto"
	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/field"
	"github.com/buckthornpitch/buckthornpitch/internal/head"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// fuzzMessage decodes arbitrary bytes as T and checks that an accepted message is accepted again after a round
// trip.
func fuzzMessage[T any, M wire.Message[T]](f *testing.F, seed M) {
	body, err := wire.Encode[T](seed)
	assert.NilError(f, err)
	f.Add(body)
	f.Add(body[:len(body)/2])
	f.Fuzz(func(t *testing.T, body []byte) {
		message, err := wire.Decode[T, M](body)
		if err != nil {
			return
		}
		encoded, err := wire.Encode[T](message)
		assert.NilError(t, err)
		_, err = wire.Decode[T, M](encoded)
		assert.NilError(t, err)
	})
}

// Guards against a panic on a malformed call head, and against one that is accepted but cannot be forwarded.
func FuzzRequestHead(f *testing.F) {
	fuzzMessage(f, &RequestHead{
		RequestID: "id", Instance: "i", Method: "GET", Target: "/", Timeout: 1, ContentLength: -1, Importance: 2,
		Header: []field.Field{{Name: "A", Value: "b"}}, Chain: []string{"s", "t"}, Fingerprint: "f",
	})
}

// Guards against a panic on a malformed response head.
func FuzzResponseHead(f *testing.F) {
	for _, malformed := range []ResponseHead{
		{Status: 700},
		{Status: 200, Header: []field.Field{{Name: "Odd name", Value: "x"}}},
		{Status: 200, Header: []field.Field{{Name: "Odd", Value: "a\x01b"}}},
	} {
		body, err := proto.Marshal(&malformed) // wire.Encode refuses it
		assert.NilError(f, err)
		_, err = wire.Decode[ResponseHead](body)
		assert.ErrorIs(f, err, head.ErrMalformed)
		f.Add(body)
	}
	fuzzMessage(f, &ResponseHead{Status: 200, Header: []field.Field{{Name: "A"}}, ContentLength: -1, Report: Report{Unspent: 2, Load: 0.5}})
}

// Guards against a panic on a malformed refusal, and against one with an unknown reason.
func FuzzRefusal(f *testing.F) {
	fuzzMessage(f, &Refusal{Reason: "overload", Outcome: "not-run", Report: Report{Final: true}})
}
