package relay

import (
	"errors"
	"fmt"
	"io"

	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
)

const (
	// freeBodySize is the size in bytes up to which the buffer of a body is not counted in the budget for bodies. The
	// budget for requests counts those of requests.
	freeBodySize = 64 << 10

	// firstBodySize is the size in bytes of the first buffer of a body. Most bodies fit.
	firstBodySize = 4 << 10
)

var (
	errBodySize   = errors.New("body exceeds the size limit")
	errBodyBudget = errors.New("the bodies in progress exceed the memory limit")
)

type (
	// heldBody counts a body in the budget until release.
	heldBody struct {
		budget  *budget.Bytes
		claim   budget.Claim
		counted int64
	}

	// bodyBuffer holds one body and counts its buffer.
	bodyBuffer struct {
		heldBody
		limit int // of this body in bytes
		data  []byte
	}
)

// read reads the next part of the body; the error is io.EOF at its end.
func (b *bodyBuffer) read(r io.Reader) error {
	if len(b.data) == cap(b.data) {
		if err := b.grow(); err != nil {
			return err
		}
	}
	n, err := r.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	if len(b.data) > b.limit {
		return fmt.Errorf("%w of %d bytes", errBodySize, b.limit)
	}
	return err
}

// expect makes the buffer for a body whose sender has told its length; -1 stands for one that is not known.
func (b *bodyBuffer) expect(length int64) error {
	if length < firstBodySize {
		return nil
	}
	return b.resize(int(min(length, int64(b.limit))) + 1)
}

// grow doubles the buffer.
func (b *bodyBuffer) grow() error {
	return b.resize(min(max(2*cap(b.data), firstBodySize), b.limit+1)) // one byte more shows that the body is too long
}

// resize makes a larger buffer. Both buffers are counted while the bytes are copied.
func (b *bodyBuffer) resize(size int) error {
	counted := int64(0)
	if size > freeBodySize {
		counted = int64(size)
	}
	if counted > 0 && !b.budget.Take(b.claim, counted) {
		return errBodyBudget
	}
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.release()
	b.data, b.counted = grown, counted
	return nil
}

// reserve counts n more bytes and reports whether there is room for them.
func (h *heldBody) reserve(n int64) bool {
	if !h.budget.Take(h.claim, n) {
		return false
	}
	h.counted += n
	return true
}

// uncounted returns the bytes of the buffer that the budget does not count.
func (b *bodyBuffer) uncounted() int64 { return max(int64(cap(b.data))-b.counted, 0) }

// release ends the counting.
func (h *heldBody) release() {
	h.budget.Release(h.claim, h.counted)
	h.counted = 0
}
