package wire

import (
	"errors"
	"reflect"
	"strconv"
	"strings"
	"sync"

	"github.com/segmentio/encoding/proto"
)

var (
	errDuplicateField = errors.New("a single field occurs twice")

	// layouts caches the layout of each message type by reflect.Type.
	layouts sync.Map
)

type (
	// layout maps field numbers to the fields of a struct that are repeated or contain repeated fields.
	layout map[proto.FieldNumber]layoutField

	layoutField struct {
		index    int
		repeated bool
		// inner is the layout of the field's struct type; empty when that type has no repeated fields.
		inner layout
	}
)

// prepare allocates the slices of repeated fields in v with the capacity for the elements in body. Otherwise
// the codec grows them with an internal function of the Go runtime, which it links with the wrong parameters,
// and reads through an invalid pointer from the eleventh element on.
func prepare(v reflect.Value, body []byte) error { return layoutOf(v.Type()).prepare(v, body) }

func (l layout) prepare(v reflect.Value, body []byte) error {
	if len(l) == 0 {
		return nil
	}
	counts := make(map[proto.FieldNumber]int, len(l))
	if err := l.scan(body, func(n proto.FieldNumber, f layoutField, _ []byte) error {
		counts[n]++
		if !f.repeated && counts[n] > 1 {
			return errDuplicateField
		}
		return nil
	}); err != nil {
		return err
	}
	for n, count := range counts {
		if f := l[n]; f.repeated {
			field := v.Field(f.index)
			field.Set(reflect.MakeSlice(field.Type(), 0, count))
		}
	}
	clear(counts)
	return l.scan(body, func(n proto.FieldNumber, f layoutField, value []byte) error {
		if len(f.inner) == 0 {
			return nil
		}
		target := v.Field(f.index)
		if f.repeated {
			target = target.Slice(0, target.Cap()).Index(counts[n])
			counts[n]++
		}
		if target.Kind() == reflect.Pointer {
			target.Set(reflect.New(target.Type().Elem()))
			target = target.Elem()
		}
		return f.inner.prepare(target, value)
	})
}

// scan calls visit for each occurrence in body of a field of the layout.
func (l layout) scan(body []byte, visit func(proto.FieldNumber, layoutField, []byte) error) error {
	return proto.Scan(body, func(n proto.FieldNumber, _ proto.WireType, value proto.RawValue) (bool, error) {
		if f, ok := l[n]; ok {
			if err := visit(n, f, value); err != nil {
				return false, err
			}
		}
		return true, nil
	})
}

func layoutOf(t reflect.Type) layout {
	if cached, ok := layouts.Load(t); ok {
		return cached.(layout)
	}
	l := make(layout)
	for i := range t.NumField() {
		tag := strings.Split(t.Field(i).Tag.Get("protobuf"), ",")
		if len(tag) < 2 {
			continue
		}
		n, err := strconv.Atoi(tag[1])
		if err != nil {
			continue
		}
		f, fieldType := layoutField{index: i}, t.Field(i).Type
		if fieldType.Kind() == reflect.Slice && fieldType.Elem().Kind() != reflect.Uint8 {
			f.repeated, fieldType = true, fieldType.Elem()
		}
		if fieldType.Kind() == reflect.Pointer {
			fieldType = fieldType.Elem()
		}
		if fieldType.Kind() == reflect.Struct {
			f.inner = layoutOf(fieldType)
		}
		if f.repeated || len(f.inner) > 0 {
			l[proto.FieldNumber(n)] = f
		}
	}
	layouts.Store(t, l)
	return l
}
