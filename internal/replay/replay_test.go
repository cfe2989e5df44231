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
	byTrace := make([][]*Result, len(paths))
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
					byTrace[i] = append(byTrace[i], Run(trace, mechanism))
				}
			})
		}
	})
	var all []*Result
	for _, ofTrace := range byTrace {
		all = append(all, ofTrace...)
		if len(ofTrace) > 0 {
			for _, line := range ofTrace[0].Check() {
				t.Errorf("%s: %s", ofTrace[0].trace.Name, line)
			}
		}
	}
	var table bytes.Buffer
	assert.NilError(t, WriteTable(&table, all))
	golden.Assert(t, table.String(), "table.golden")
}
