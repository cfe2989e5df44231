package rules

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// ShortName returns the name if it has at most limit bytes, and otherwise its beginning and a hash of the whole name. Names
// of an accepted configuration may be longer than a message holds. The limit has to leave room for the hash, 65 bytes.
func ShortName(name string, limit int) string {
	if len(name) <= limit {
		return name
	}
	hash := sha256.Sum256([]byte(name))
	text := "~" + hex.EncodeToString(hash[:])
	return strings.ToValidUTF8(name[:limit-len(text)], "") + text
}
