package replay

import (
	"bytes"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against a change to the decisions that breaks an invariant or a stated outcome of a trace, and
// against figures in the table of baselines that nobody has noticed to change. A replay depends on its
// seed only. Rewrite the table with -update.
func TestTraces(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.trace")
	assert.NilError(t, err)
	results := make([][]*Result, len(paths))
	t.Run("trace", func(t *testing.T) {
		for i, path := range paths {
			trace, err := Load(path)
			assert.NilError(t, err)
			t.Run(trace.Name, func(t *testing.T) {
				t.Parallel()
				for j, mechanism := range Mechanisms() {
					if j > 0 && !trace.Baseline {
						return
					}
					results[i] = append(results[i], Run(trace, mechanism))
				}
			})
		}
	})
	var all []*Result
	for _, of := range results {
		all = append(all, of...)
		if len(of) > 0 {
			for _, line := range of[0].Check() {
				t.Errorf("%s: %s", of[0].trace.Name, line)
			}
		}
	}
	var table bytes.Buffer
	assert.NilError(t, WriteTable(&table, all))
	golden.Assert(t, table.String(), "table.golden")
}
