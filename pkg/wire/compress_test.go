package wire

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a frame that changes on its way, and against one that becomes longer.
func TestCompress(t *testing.T) {
	random := make([]byte, 10_000)
	r := rand.NewChaCha8([32]byte{1})
	_, _ = r.Read(random)
	var list bytes.Buffer
	for i := range 24 {
		fmt.Fprintf(&list, "10.1.0.%d:7000/10.1.0.%d:8080 reader boston-a", i, i)
	}
	for _, body := range [][]byte{nil, []byte("short"), random, list.Bytes(), make([]byte, MaxFrame)} {
		frame := Frame{Kind: 7, Body: body}
		compressed := Compress(frame)
		assert.Assert(t, len(compressed.Body) <= len(body))
		assert.Equal(t, Compress(compressed).Kind, compressed.Kind)
		restored, err := Decompress(compressed, MaxFrame)
		assert.NilError(t, err)
		assert.Equal(t, restored.Kind, frame.Kind)
		assert.Assert(t, bytes.Equal(restored.Body, body))
	}
	assert.Assert(t, len(Compress(Frame{Kind: 7, Body: list.Bytes()}).Body) < list.Len()/3)
}

// Guards against a small frame that takes much memory, and against a panic on malformed frames.
func TestDecompressIsBounded(t *testing.T) {
	bomb := Compress(Frame{Kind: 7, Body: make([]byte, MaxFrame)})
	_, err := Decompress(bomb, MaxFrame-1)
	assert.ErrorIs(t, err, ErrFrameTooLarge)
	for _, body := range [][]byte{nil, {7}, {7, 1, 2, 3}, bomb.Body[:len(bomb.Body)/2]} {
		_, err := Decompress(Frame{Kind: KindCompressed, Body: body}, MaxFrame)
		assert.ErrorIs(t, err, ErrDecode)
	}
}

func FuzzDecompress(f *testing.F) {
	f.Add(Compress(Frame{Kind: 7, Body: make([]byte, 1000)}).Body)
	f.Fuzz(func(t *testing.T, body []byte) {
		frame, err := Decompress(Frame{Kind: KindCompressed, Body: body}, 10_000)
		assert.Assert(t, err != nil || len(frame.Body) <= 10_000)
	})
}
