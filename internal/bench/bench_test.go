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

// TestFit guards against a fitted line that differs from the line on which all points lie, and against a division by
// zero for a single point.
func TestFit(t *testing.T) {
	line := fit([]float64{10, 50, 100, 200}, []float64{3 + 0.5*10, 3 + 0.5*50, 3 + 0.5*100, 3 + 0.5*200})
	assert.Assert(t, math.Abs(line.Base-3) < 1e-9 && math.Abs(line.Slope-0.5) < 1e-9, "%v", line)
	assert.Equal(t, fit([]float64{10}, []float64{4}), Line{Base: 4})
}

// TestGeneratedTexts guards against generated rules or settings that the daemons would reject, and against
// consecutive revisions that differ in more than one rule.
func TestGeneratedTexts(t *testing.T) {
	size := RulesSize{Services: 3, Accounts: 2, MinRoutes: 20}
	set, err := rules.Parse("rules", []byte(size.rulesText(7)))
	assert.NilError(t, err)
	assert.Equal(t, set.Revision, uint64(7))
	assert.Equal(t, len(set.Routes), 20)
	next, err := rules.Parse("rules", []byte(size.rulesText(8)))
	assert.NilError(t, err)
	diff := rules.Compare(set, next)
	assert.Equal(t, len(diff.Changed), 1, "consecutive revisions must differ in one rule")

	node := &Node{Name: "node-0", Zone: "zone-0", Port: 12000, DataFolder: "data", RulesFile: "rules"}
	_, err = config.Parse("settings", []byte(node.settings(controlAddresses([]*Node{node}))), nil)
	assert.NilError(t, err)
}

// TestReport guards against report cells that lack their unit or have a wrong number of digits.
func TestReport(t *testing.T) {
	report := &Report{Command: "buckthornbench test", Load: []string{"1.00", "2.00"}}
	table := report.addTable("Title", "time", "count", "share")
	table.addRow(1500*time.Microsecond, 3, 0.12345)
	table.addNote("a note")
	var out bytes.Buffer
	assert.NilError(t, report.write(&out, "text"))
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte("1.500 ms  3      0.1235\na note\n")), out.String())
}
