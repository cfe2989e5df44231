package wire

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

const (
	// KindCompressed is the kind of a frame whose body holds the kind and the compressed body of another frame.
	KindCompressed Kind = 255

	// minCompressSize is the size in bytes below which a body is not compressed.
	minCompressSize = 512
)

// Compressors are kept because each takes more than 100 KiB.
var (
	compressors   = sync.Pool{New: func() any { return newCompressor() }}
	decompressors = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

func newCompressor() *flate.Writer {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	return w
}

// Compress returns a frame of KindCompressed with the content of f, or f itself if that is not shorter.
func Compress(f Frame) Frame {
	if len(f.Body) < minCompressSize || f.Kind == KindCompressed {
		return f
	}
	var buf bytes.Buffer
	buf.WriteByte(byte(f.Kind))
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&buf)
	// A bytes.Buffer returns no error.
	_, _ = w.Write(f.Body)
	_ = w.Close()
	if buf.Len() >= len(f.Body) {
		return f
	}
	return Frame{Kind: KindCompressed, Body: buf.Bytes()}
}

// Decompress returns the frame in a frame of KindCompressed, and any other frame as it is. A body longer than
// limit bytes is an error that wraps ErrFrameTooLarge; other errors wrap ErrDecode.
func Decompress(f Frame, limit int) (Frame, error) {
	if f.Kind != KindCompressed {
		return f, nil
	}
	if len(f.Body) == 0 {
		return Frame{}, fmt.Errorf("%w: compressed frame without a kind", ErrDecode)
	}
	r := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(f.Body[1:]), nil); err != nil {
		return Frame{}, fmt.Errorf("%w: compressed frame: %w", ErrDecode, err)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return Frame{}, fmt.Errorf("%w: compressed frame: %w", ErrDecode, err)
	}
	if len(body) > limit {
		return Frame{}, fmt.Errorf("%w: %d compressed bytes are more than %d bytes", ErrFrameTooLarge, len(f.Body), limit)
	}
	return Frame{Kind: Kind(f.Body[0]), Body: body}, nil
}
