package wire

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

type (
	leaf struct {
		Name  string   `protobuf:"bytes,1,opt,name=name"`
		Words []string `protobuf:"bytes,2,rep,name=words"`
	}

	tree struct {
		Numbers  []uint64 `protobuf:"varint,1,rep,name=numbers"`
		Leaves   []leaf   `protobuf:"bytes,2,rep,name=leaves"`
		Pointers []*leaf  `protobuf:"bytes,3,rep,name=pointers"`
		Single   *leaf    `protobuf:"bytes,4,opt,name=single"`
		Inline   leaf     `protobuf:"bytes,5,opt,name=inline"`
		Body     []byte   `protobuf:"bytes,6,opt,name=body"`
	}

	// bounded accepts numbers up to 1.
	bounded struct {
		Number uint64 `protobuf:"varint,1,opt,name=number"`
	}
)

var errBound = errors.New("number above its bound")

func (*tree) Check() error { return nil }

func (b *bounded) Check() error {
	if b.Number > 1 {
		return errBound
	}
	return nil
}

// Guards against the fault of the protobuf codec that prepare avoids: it reads through an invalid pointer when
// a repeated field has more than ten elements. The message has repeated fields at every level of nesting.
func TestRepeatedRoundTrip(t *testing.T) {
	for _, n := range []int{1, 10, 11, 40, 1000} {
		words := make([]string, n)
		sent := tree{Single: &leaf{Name: "s", Words: words}, Inline: leaf{Name: "i", Words: words}, Body: []byte{0}}
		for i := range n {
			words[i] = "word"
			sent.Numbers = append(sent.Numbers, uint64(i))
			sent.Leaves = append(sent.Leaves, leaf{Name: "l", Words: words[:i%30]})
			sent.Pointers = append(sent.Pointers, &leaf{Name: "p", Words: words[:i%30]})
		}
		sent.Leaves[0].Words, sent.Pointers[0].Words = words, words
		body, err := Encode(&sent)
		assert.NilError(t, err)
		received, err := Decode[tree](body)
		assert.NilError(t, err)
		reencoded, err := Encode(received)
		assert.NilError(t, err)
		assert.DeepEqual(t, reencoded, body)
		assert.DeepEqual(t, received.Numbers, sent.Numbers)
		assert.DeepEqual(t, received.Pointers[0], sent.Pointers[0])
	}
}

// Guards against a message that its receiver does not accept and that is sent all the same.
func TestEncodeChecks(t *testing.T) {
	_, err := Encode(&bounded{Number: 2})
	assert.ErrorIs(t, err, errBound)
	body, err := Encode(&bounded{Number: 1})
	assert.NilError(t, err)
	_, err = Decode[bounded](body)
	assert.NilError(t, err)
}

// Guards against a panic on malformed input and against decoded messages that cannot be encoded.
func FuzzDecode(f *testing.F) {
	body, err := Encode(&tree{Numbers: []uint64{1}, Leaves: []leaf{{Name: "l", Words: []string{"w"}}}})
	assert.NilError(f, err)
	f.Add(body)
	f.Fuzz(func(t *testing.T, body []byte) {
		if m, err := Decode[tree](body); err == nil {
			_, err := Encode(m)
			assert.NilError(t, err)
		}
	})
}
