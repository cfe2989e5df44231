package rules

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// example is the file of the design page; the key is "secret".
const example = `revision 42 # requested by Ana Diaz: spring surge
service scriptorium slots=110 connections=750 retry-share=10% # requested by Ana Diaz
service reader slots=110 connections=750 # requested by Ana Diaz
account pocket-reader rate=200/s burst=400 # requested by Lou Roy: contract 7
key pocket-reader sha256:2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b # requested by Lou Roy
route POST /chapters/{id} service=scriptorium access=keyed run=once importance=critical deadline=5s retries=2 # requested by Ana Diaz
route GET /works/{id} service=reader access=open run=idempotent importance=normal deadline=2s offline=serve # requested by Ana Diaz
`

func parseExample(t *testing.T) *Set {
	t.Helper()
	set, err := Parse("rules", []byte(example))
	assert.NilError(t, err)
	return set
}

// Guards against a parser that accepts the documented format but drops some of its values.
func TestParseExample(t *testing.T) {
	set := parseExample(t)
	assert.Equal(t, set.Revision, uint64(42))
	assert.Equal(t, set.Author, "Ana Diaz")
	assert.Equal(t, set.Reason, "spring surge")
	assert.Equal(t, set.Accounts["pocket-reader"].Rate.PerSecond(), 200.0)
	match, ok := set.Match("HEAD", "/works/17")
	assert.Assert(t, ok)
	assert.Equal(t, match.Route.Identity(), "route/GET/works/{id}@7")
	assert.DeepEqual(t, match.Vars, []Var{{Name: "id", Value: "17"}})
	key, ok := set.KeyFor("secret")
	assert.Assert(t, ok)
	assert.Equal(t, key.Identity(), "key/pocket-reader:2bb80d53@5")
	_, ok = set.KeyFor("Secret")
	assert.Assert(t, !ok)
	var lines []string
	for _, s := range set.Statements() {
		lines = append(lines, CanonicalLine(s))
	}
	reparsed, err := Parse("rules", []byte(strings.Join(lines, "\n")))
	assert.NilError(t, err)
	assert.Assert(t, Compare(set, reparsed).Empty())
}
