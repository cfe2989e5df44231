package state

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against log entries whose size depends on the size of the rules file instead of the size of the change.
func TestSmallChangeIsSmallInTheLog(t *testing.T) {
	var lines strings.Builder
	for i := range 5000 {
		fmt.Fprintf(&lines, "account reader-%d rate=100/s burst=200 # requested by Ana Diaz: contract %d\n", i, i)
	}
	base := "revision 1 # requested by Ana\n" + lines.String()
	next := strings.Replace("revision 2 # requested by Lou\n"+lines.String(), "reader-2500 rate=100/s", "reader-2500 rate=150/s", 1)
	hunks, ok := Diff([]byte(base), []byte(next))
	assert.Assert(t, ok)
	hash := sha256.Sum256([]byte(next))
	body, err := EncodeCommand(&ProposeConfig{Number: 2, Hunks: hunks, Author: "Lou", Origin: "c1", Hash: hash[:], At: 1})
	assert.NilError(t, err)
	t.Logf("file of %d bytes, entry of %d bytes", len(next), len(body))
	assert.Assert(t, len(body) < 1024, "entry of %d bytes", len(body))
}
