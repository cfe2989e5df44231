package rules

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
)

const (
	// MaxKeyLength is the longest key in bytes that a caller may present.
	MaxKeyLength = 256

	keyDigits = 8 // hex digits of the hash in the name of a key
)

// keyIndex maps the first eight bytes of a hash to the keys with that prefix; whole hashes are compared in
// constant time.
type keyIndex map[uint64][]*Key

// HashKey returns the hash that identifies a key in the rules file.
func HashKey(key string) Hash { return sha256.Sum256([]byte(key)) }

// KeyName returns the name of the key rule for an account and a hash.
func KeyName(account string, hash Hash) string {
	return account + ":" + hex.EncodeToString(hash[:keyDigits/2])
}

// KeyFor returns the rule of the key that a caller presented and whether the key is accepted. A withdrawn key
// is returned together with false, so that the refusal can name its rule.
func (s *Set) KeyFor(presented string) (*Key, bool) {
	if presented == "" || len(presented) > MaxKeyLength {
		return nil, false
	}
	var buf [MaxKeyLength]byte // avoids a heap allocation for the key
	hash := Hash(sha256.Sum256(buf[:copy(buf[:], presented)]))
	var found *Key
	for _, key := range s.keys[hash.prefix()] {
		if subtle.ConstantTimeCompare(key.Hash[:], hash[:]) == 1 {
			found = key
		}
	}
	return found, found != nil && found.State == KeyActive
}

func (h Hash) prefix() uint64 { return binary.BigEndian.Uint64(h[:8]) }
