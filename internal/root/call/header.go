package call

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Header fields of this system.
const (
	HeaderKey            = "Buckthorn-Key"
	HeaderCall           = "Buckthorn-Call"
	HeaderDeadline       = "Buckthorn-Deadline"
	HeaderRequest        = "Buckthorn-Request"
	HeaderAccount        = "Buckthorn-Account"
	HeaderOutcome        = "Buckthorn-Outcome"
	HeaderReason         = "Buckthorn-Reason"
	HeaderRule           = "Buckthorn-Rule"
	HeaderReplay         = "Buckthorn-Replay"
	HeaderIdempotencyKey = "Idempotency-Key"

	ownPrefix    = "Buckthorn-"
	bearerPrefix = "bearer "
)

// hopHeaders describe one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// credentialHeaders can carry a caller's key and never reach a backend server.
var credentialHeaders = []string{"Authorization", "Proxy-Authorization", HeaderKey}

// presentedKey returns the key that a caller sent, or an empty string.
func presentedKey(header http.Header) string {
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
	removeHop(out)
	for _, name := range credentialHeaders {
		out.Del(name)
	}
	removeOwn(out)
	if key == "" {
		return out
	}
	for name, values := range out {
		for _, value := range values {
			if strings.Contains(value, key) {
				out.Del(name)
				break
			}
		}
	}
	return out
}

// answerHeader returns a copy of a backend server's header without hop-by-hop fields and without fields
// of this system, which only a daemon may set.
func answerHeader(header http.Header) http.Header {
	out := header.Clone()
	removeHop(out)
	removeOwn(out)
	return out
}

func removeHop(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

func removeOwn(header http.Header) {
	for name := range header {
		if len(name) >= len(ownPrefix) && strings.EqualFold(name[:len(ownPrefix)], ownPrefix) {
			delete(header, name)
		}
	}
}
