package rules

import (
	"strings"
	"testing"
	"unicode/utf8"

	"gotest.tools/v3/assert"
)

// Guards against two long names that become the same, and against one that stays too long or is cut within a character.
func TestShortName(t *testing.T) {
	const limit = 128
	seen := map[string]bool{}
	for _, name := range []string{"", "a", strings.Repeat("a", limit), strings.Repeat("a", limit+1), strings.Repeat("a", limit) + "b", strings.Repeat("ä", limit)} {
		short := ShortName(name, limit)
		assert.Assert(t, len(short) <= limit && utf8.ValidString(short) && !seen[short], "%q", short)
		assert.Equal(t, short == name, len(name) <= limit)
		seen[short] = true
	}
}
