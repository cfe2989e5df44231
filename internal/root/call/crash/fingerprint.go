package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// PrefixSize is the length in bytes of the part of a body that is included in the fingerprint.
const PrefixSize = 8 << 10

// Fingerprint returns the same text for equal requests: those with the same method, path and query, client
// account, announced content length (-1 if unknown) and first PrefixSize bytes of the body.
func Fingerprint(method, target, account string, contentLength int64, prefix []byte) string {
	h := sha256.New()
	var size [8]byte
	for _, part := range [...]string{method, target, account} {
		// The length before each part prevents different parts with the same concatenation from colliding.
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	binary.BigEndian.PutUint64(size[:], uint64(contentLength))
	h.Write(size[:])
	h.Write(prefix[:min(len(prefix), PrefixSize)])
	var sum [sha256.Size]byte
	return hex.EncodeToString(h.Sum(sum[:0])[:16])
}
