package relay

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// bodyBudgetDivisor divides the memory limit; the quotient bounds the buffers of all bodies together.
	bodyBudgetDivisor = 8

	// freeBodySize is the size in bytes up to which the buffer of a body is not counted.
	freeBodySize = 64 << 10

	// firstBodySize is the size in bytes of the first buffer of a body. Most bodies fit.
	firstBodySize = 4 << 10
)

var (
	errBodySize   = errors.New("body exceeds the size limit")
	errBodyBudget = errors.New("the bodies in progress exceed the memory limit")
)

type (
	// bodyBudget bounds the bytes of all bodies that a daemon holds at the same time. Without it, many bodies
	// that are each within the size limit exceed the memory of the process.
	bodyBudget struct {
		limit int64
		used  atomic.Int64
	}

	// bodyBuffer holds one body and counts its buffer in the budget until release.
	bodyBuffer struct {
		budget  *bodyBudget
		limit   int   // of this body in bytes
		spare   int64 // bytes of the budget that this buffer leaves to others
		counted int64
		data    []byte
	}
)

func newBodyBudget(memoryLimit int64) *bodyBudget {
	return &bodyBudget{limit: memoryLimit / bodyBudgetDivisor}
}

// take counts n more bytes unless the limit would be exceeded.
func (b *bodyBudget) take(n int64) bool { return b.takeLeaving(n, 0) }

// takeLeaving counts n more bytes unless fewer than spare bytes would be left.
func (b *bodyBudget) takeLeaving(n, spare int64) bool {
	if b.used.Add(n) > b.limit-spare {
		b.used.Add(-n)
		return false
	}
	return true
}

// release ends the counting of n bytes.
func (b *bodyBudget) release(n int64) { b.used.Add(-n) }

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

// grow doubles the buffer. Both buffers are counted while the bytes are copied.
func (b *bodyBuffer) grow() error {
	size := min(max(2*cap(b.data), firstBodySize), b.limit+1) // one byte more shows that the body is too long
	counted := int64(0)
	if size > freeBodySize {
		counted = int64(size)
	}
	if counted > 0 && !b.budget.takeLeaving(counted, b.spare) {
		return errBodyBudget
	}
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.release()
	b.data, b.counted = grown, counted
	return nil
}

// reserve counts n bytes in addition to the buffer, until release.
func (b *bodyBuffer) reserve(n int64) bool {
	if !b.budget.take(n) {
		return false
	}
	b.counted += n
	return true
}

// release ends the counting of the buffer.
func (b *bodyBuffer) release() {
	b.budget.release(b.counted)
	b.counted = 0
}
