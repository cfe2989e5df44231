package field

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Field is one header field.
type Field struct {
	Name  string `protobuf:"bytes,1,opt,name=name,proto3"`
	Value string `protobuf:"bytes,2,opt,name=value,proto3"`
}

// hopByHop lists the fields that describe one connection. Expect is one of them because the daemon itself
// responds to it when it reads the body.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// Count returns the number of fields of a header.
func Count(header http.Header) int {
	count := 0
	for _, values := range header {
		count += len(values)
	}
	return count
}

// FromHeader returns the fields of a header.
func FromHeader(header http.Header) []Field {
	fields := make([]Field, 0, len(header))
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, Field{Name: name, Value: value})
		}
	}
	return fields
}

// Add adds the fields to a header.
func Add(header http.Header, fields []Field) {
	for _, f := range fields {
		header.Add(f.Name, f.Value)
	}
}

// RemoveHopByHop removes the fields that describe one connection, and those that the Connection field names.
func RemoveHopByHop(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}
