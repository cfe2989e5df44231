package replay

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestTraces guards against a change of the decision code that violates an invariant or an expected outcome of a
// trace, and against unnoticed changes of the table that compares the system with the baselines. A replay
// depends only on its trace and seed. Rewrite the table with -update.
func TestTraces(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.trace")
	assert.NilError(t, err)
	resultsByTrace := make([][]*Result, len(paths))
	t.Run("trace", func(t *testing.T) {
		for i, path := range paths {
			trace, err := Load(path)
			assert.NilError(t, err)
			t.Run(trace.Name, func(t *testing.T) {
				t.Parallel()
				for j, mechanism := range Mechanisms() {
					if j > 0 && !trace.RunBaselines {
						return
					}
					resultsByTrace[i] = append(resultsByTrace[i], Run(trace, mechanism))
				}
			})
		}
	})
	var all []*Result
	for _, results := range resultsByTrace {
		all = append(all, results...)
		if len(results) > 0 {
			for _, line := range results[0].Check() {
				t.Errorf("%s: %s", results[0].trace.Name, line)
			}
		}
	}
	var table bytes.Buffer
	assert.NilError(t, WriteTable(&table, all))
	golden.Assert(t, table.String(), "table.golden")
}

// Guards against a fault on a target that does not exist: it ended the replay with a nil dereference, or changed
// nothing without a word.
func TestUnknownFaultTargets(t *testing.T) {
	fleet := "length 1s\nlatency 1ms 1ms\nservice shop 2 4 8 6 x1\naccount mobile 50% 10 10\n" +
		"route read normal many 1s 1 10 shop:10ms\n"
	load := func(fault string) error {
		path := filepath.Join(t.TempDir(), "test.trace")
		assert.NilError(t, os.WriteFile(path, []byte(fleet+fault+"\n"), 0o600))
		_, err := Load(path)
		return err
	}
	for _, fault := range []string{
		"at 1s lost shop/2 x1 2s", "at 1s drain shop x1 2s", "at 1s cut shop/01 x1 2s", "at 1s slow stop x2 2s", "at 1s demand red x2 2s",
		"at 1s pin read x1 2s", "at 1s withdrawn shop x1 2s", "at 1s poison mobile/red x1 2s", "at 1s break shop/1 x1 2s",
	} {
		assert.ErrorIs(t, load(fault), ErrTrace, fault)
	}
	for _, fault := range []string{
		"at 1s lost shop/1 x1 2s", "at 1s slow shop x2 2s", "at 1s demand read x2 2s", "at 1s poison mobile/read x1 2s",
	} {
		assert.NilError(t, load(fault), fault)
	}
}
