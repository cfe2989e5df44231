package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"reflect"

	"github.com/segmentio/encoding/proto"
)

// firstFieldTag is the encoded tag of field 1 with a number.
const firstFieldTag = 1 << 3

// ErrDecode reports bytes that are not a valid message.
var ErrDecode = errors.New("invalid message")

// Message is a pointer to a type with protobuf tags that can validate itself.
type Message[T any] interface {
	*T
	// Check returns an error that names the first invalid field.
	Check() error
}

// Encode checks m and returns its protobuf encoding. A message that its receiver would not accept is an error here, so that
// it fails alone and not the stream.
func Encode[T any, M Message[T]](m M) ([]byte, error) {
	if err := m.Check(); err != nil {
		return nil, fmt.Errorf("encode %T: %w", m, err)
	}
	return Marshal[T](m)
}

// Marshal returns the protobuf encoding of a message that is stored and not sent. It is checked when it is read.
func Marshal[T any, M Message[T]](m M) ([]byte, error) {
	body, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", m, err)
	}
	return body, nil
}

// Decode decodes and checks the message in body; errors wrap ErrDecode.
func Decode[T any, M Message[T]](body []byte) (m M, err error) {
	defer func() {
		// The codec panics on some malformed input instead of returning an error.
		if r := recover(); r != nil {
			m, err = nil, fmt.Errorf("%w: decode %T: %v", ErrDecode, m, r)
		}
	}()
	value := M(new(T))
	if err := prepare(reflect.ValueOf(value).Elem(), body); err != nil {
		return nil, fmt.Errorf("%w: decode %T: %w", ErrDecode, value, err)
	}
	if err := proto.Unmarshal(body, value); err != nil {
		return nil, fmt.Errorf("%w: decode %T: %w", ErrDecode, value, err)
	}
	if err := value.Check(); err != nil {
		return nil, fmt.Errorf("%w: check %T: %w", ErrDecode, value, err)
	}
	return value, nil
}

// FirstNumber returns the number in field 1 of an encoded message, which need not be valid otherwise. ok is false if the
// message does not begin with this field or the number is zero.
func FirstNumber(body []byte) (number uint64, ok bool) {
	if len(body) < 2 || body[0] != firstFieldTag {
		return 0, false
	}
	number, size := binary.Uvarint(body[1:])
	return number, size > 0 && number > 0
}
