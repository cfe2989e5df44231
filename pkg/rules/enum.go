package rules

import (
	"encoding/hex"
	"fmt"
	"strings"
)

const (
	// AccessOpen admits requests without a key.
	AccessOpen Access = iota + 1
	// AccessKeyed admits only requests that present a key of a client account.
	AccessKeyed
)

const (
	// RunIdempotent marks requests that may be executed more than once.
	RunIdempotent Run = iota + 1
	// RunOnce marks requests that are executed at most once.
	RunOnce
)

// Classes of importance; a larger value is shed later.
const (
	// Bulk is shed first.
	Bulk Importance = iota + 1
	// Normal is shed after Bulk.
	Normal
	// Critical is shed last.
	Critical
)

const (
	// KeyActive marks a key that is accepted.
	KeyActive State = iota + 1
	// KeyWithdrawn marks a key that is refused. The file keeps listing it so that the refusal can name the rule.
	KeyWithdrawn
)

const hashPrefix = "sha256:"

type (
	// Access defines whether a route requires a key.
	Access uint32
	// Run defines how often a request may be executed.
	Run uint32
	// Importance is the class that decides the order in which requests are shed.
	Importance uint32
	// State defines whether a key is accepted.
	State uint32
)

// Names of the values in the rules file, indexed by value.
var (
	accessNames     = []string{AccessOpen: "open", AccessKeyed: "keyed"}
	runNames        = []string{RunIdempotent: "idempotent", RunOnce: "once"}
	importanceNames = []string{Bulk: "bulk", Normal: "normal", Critical: "critical"}
	stateNames      = []string{KeyActive: "active", KeyWithdrawn: "withdrawn"}
)

// String returns the word for the value in the rules file.
func (a Access) String() string { return enumName(accessNames, a) }

// MarshalText returns the word for the value in the rules file.
func (a Access) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText parses the word for a value in the rules file.
func (a *Access) UnmarshalText(text []byte) error { return enumUnmarshal(accessNames, a, text) }

// String returns the word for the value in the rules file.
func (r Run) String() string { return enumName(runNames, r) }

// MarshalText returns the word for the value in the rules file.
func (r Run) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText parses the word for a value in the rules file.
func (r *Run) UnmarshalText(text []byte) error { return enumUnmarshal(runNames, r, text) }

// String returns the word for the value in the rules file.
func (i Importance) String() string { return enumName(importanceNames, i) }

// MarshalText returns the word for the value in the rules file.
func (i Importance) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// UnmarshalText parses the word for a value in the rules file.
func (i *Importance) UnmarshalText(text []byte) error {
	return enumUnmarshal(importanceNames, i, text)
}

// String returns the word for the value in the rules file.
func (s State) String() string { return enumName(stateNames, s) }

// MarshalText returns the word for the value in the rules file.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the word for a value in the rules file.
func (s *State) UnmarshalText(text []byte) error { return enumUnmarshal(stateNames, s, text) }

// String returns the hash in the format of the rules file: sha256:<64 hex digits>.
func (h Hash) String() string { return hashPrefix + hex.EncodeToString(h[:]) }

// MarshalText returns the hash in the format of the rules file.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText parses a hash in the format of the rules file.
func (h *Hash) UnmarshalText(text []byte) error {
	parsed, ok := parseHash(string(text))
	if !ok {
		return fmt.Errorf("%q is not %s followed by 64 lower-case hex digits", text, hashPrefix)
	}
	*h = parsed
	return nil
}

func parseHash(text string) (Hash, bool) {
	var hash Hash
	digits, found := strings.CutPrefix(text, hashPrefix)
	if !found || len(digits) != 2*len(hash) {
		return hash, false
	}
	for i := range hash {
		high, low := unhex(digits[2*i]), unhex(digits[2*i+1])
		if high < 0 || low < 0 || isUpper(digits[2*i]) || isUpper(digits[2*i+1]) {
			return hash, false
		}
		hash[i] = byte(high<<4 | low)
	}
	return hash, true
}

func isUpper(c byte) bool { return 'A' <= c && c <= 'Z' }

func enumName[E ~uint32](names []string, value E) string {
	if int(value) < len(names) && names[value] != "" {
		return names[value]
	}
	return fmt.Sprintf("invalid(%d)", value)
}

func enumParse[E ~uint32](names []string, text string) (E, bool) {
	for value, name := range names {
		if name != "" && name == text {
			return E(value), true
		}
	}
	return 0, false
}

func enumUnmarshal[E ~uint32](names []string, target *E, text []byte) error {
	value, ok := enumParse[E](names, string(text))
	if !ok {
		return fmt.Errorf("%q is not one of %s", text, strings.Join(names[1:], ", "))
	}
	*target = value
	return nil
}
