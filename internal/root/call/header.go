package call

import (
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"

	"github.com/buckthornpitch/buckthornpitch/internal/field"
)

// Header fields of this system.
const (
	HeaderKey            = "Buckthorn-Key"
	HeaderCall           = "Buckthorn-Call"
	HeaderDeadline       = "Buckthorn-Deadline"
	HeaderRequest        = "Buckthorn-Request"
	HeaderAttempt        = "Buckthorn-Attempt"
	HeaderAccount        = "Buckthorn-Account"
	HeaderOutcome        = "Buckthorn-Outcome"
	HeaderReason         = "Buckthorn-Reason"
	HeaderRule           = "Buckthorn-Rule"
	HeaderReplay         = "Buckthorn-Replay"
	HeaderIdempotencyKey = "Idempotency-Key"

	headerPrefix = "Buckthorn-"
	bearerPrefix = "bearer "
)

// credentialHeaders can carry a caller's key and never reach a backend server.
var credentialHeaders = []string{"Authorization", "Proxy-Authorization", HeaderKey}

// requestKey returns the key in a caller's header, or an empty string.
func requestKey(header http.Header) string {
	if key := header.Get(HeaderKey); key != "" {
		return key
	}
	value := header.Get("Authorization")
	if len(value) > len(bearerPrefix) && strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return strings.TrimSpace(value[len(bearerPrefix):])
	}
	return ""
}

// forwardHeader returns a copy of a caller's header without credentials, hop-by-hop fields, fields of
// this system, and any other field that contains the key.
func forwardHeader(header http.Header, key string) http.Header {
	out := header.Clone()
	field.RemoveHopByHop(out)
	removeInternal(out)
	for name, values := range out {
		if slices.Contains(credentialHeaders, canonicalName(name)) || containsKey(strings.ToLower(name), strings.ToLower(key)) ||
			slices.ContainsFunc(values, func(value string) bool { return containsKey(value, key) }) {
			delete(out, name)
		}
	}
	return out
}

// containsKey reports whether text contains the key, plainly or percent-encoded.
func containsKey(text, key string) bool {
	if key == "" || len(text) < len(key) {
		return false
	}
	if strings.Contains(text, key) {
		return true
	}
	return strings.Contains(text, "%") && strings.Contains(decodePercent(text), key)
}

// decodePercent decodes each valid percent-encoded byte and keeps everything else.
func decodePercent(text string) string {
	var out strings.Builder
	for i := 0; i < len(text); i++ {
		if text[i] == '%' && i+2 < len(text) {
			if value, err := strconv.ParseUint(text[i+1:i+3], 16, 8); err == nil {
				out.WriteByte(byte(value))
				i += 2
				continue
			}
		}
		out.WriteByte(text[i])
	}
	return out.String()
}

// responseHeader returns a copy of a backend server's header without hop-by-hop fields and without fields
// of this system, which only a daemon may set.
func responseHeader(header http.Header) http.Header {
	out := header.Clone()
	field.RemoveHopByHop(out)
	removeInternal(out)
	return out
}

func removeInternal(header http.Header) {
	for name := range header {
		if strings.HasPrefix(canonicalName(name), headerPrefix) {
			delete(header, name)
		}
	}
}

// canonicalName returns a field name in canonical form with hyphens for underscores, because servers that turn
// header fields into variables read both as the same name.
func canonicalName(name string) string {
	return textproto.CanonicalMIMEHeaderKey(strings.ReplaceAll(name, "_", "-"))
}

// headerSize returns the size in bytes of a request's line and header, and the number of its header fields.
func headerSize(r *http.Request) (size, fields int) {
	size = len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		fields += len(values)
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size, fields
}
