package replay

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestProbe(t *testing.T) {
	paths, err := filepath.Glob("testdata/" + os.Getenv("TRACE") + "*.trace")
	assert.NilError(t, err)
	for _, path := range paths {
		tr, err := Load(path)
		assert.NilError(t, err)
		var rows [][2]string
		var results []*Result
		for _, m := range Mechanisms() {
			if os.Getenv("MECH") != "" && m.Name != os.Getenv("MECH") {
				continue
			}
			start := time.Now()
			r := Run(tr, m)
			rows = append(rows, [2]string{tr.Name, m.Name})
			results = append(results, r)
			fmt.Println(tr.Name, m.Name, time.Since(start).Round(time.Millisecond), r.reasons, r.Examples, "crashes", r.Crashes)
			if os.Getenv("SEC") != "" {
				for i, s := range r.seconds {
					fmt.Print(i, ":", s.offered, "/", s.answered, "/", s.refused, " ")
				}
				fmt.Println()
			}
		}
		assert.NilError(t, WriteTable(os.Stdout, rows, results))
	}
}
