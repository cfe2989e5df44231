package bench

import (
	"bytes"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/config"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

// TestFit guards against slopes that are not those of the points.
func TestFit(t *testing.T) {
	line := fit([]float64{10, 50, 100, 200}, []float64{3 + 0.5*10, 3 + 0.5*50, 3 + 0.5*100, 3 + 0.5*200})
	assert.Assert(t, math.Abs(line.Base-3) < 1e-9 && math.Abs(line.Slope-0.5) < 1e-9, "%v", line)
	assert.Equal(t, fit([]float64{10}, []float64{4}), Line{Base: 4})
}

// TestGeneratedTexts guards against measurements of a fleet that refuses its rules or settings.
func TestGeneratedTexts(t *testing.T) {
	scale := Scale{Services: 3, Accounts: 2, Routes: 20}
	set, err := rules.Parse("rules", []byte(scale.text(7)))
	assert.NilError(t, err)
	assert.Equal(t, set.Revision, uint64(7))
	assert.Equal(t, len(set.Routes), 20)
	next, err := rules.Parse("rules", []byte(scale.text(8)))
	assert.NilError(t, err)
	diff := rules.Compare(set, next)
	assert.Equal(t, len(diff.Changed), 1, "a change has to be one rule")

	node := &Node{Name: "node-0", Zone: "zone-0", Port: 12000, Folder: "data", Rules: "rules"}
	_, err = config.Parse("settings", []byte(node.settings(controls([]*Node{node}))), nil)
	assert.NilError(t, err)
}

// TestReport guards against cells that lose their unit.
func TestReport(t *testing.T) {
	report := &Report{Command: "buckthornbench test", Load: []string{"1.00", "2.00"}}
	table := report.table("Title", "time", "count", "share")
	table.row(1500*time.Microsecond, 3, 0.12345)
	table.note("a note")
	var out bytes.Buffer
	assert.NilError(t, report.write(&out, "text"))
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte("1.500 ms  3      0.1235\na note\n")), out.String())
}
