package replay

import (
	"bytes"
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
