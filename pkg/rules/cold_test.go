package rules

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const coldFile = "revision 1 # requested by A\nservice x slots=8 connections=9 %s # requested by A\n"

// Guards against cold start limits that are lost or changed when a rules file is formatted, and against a change of
// them that is not reported as a difference.
func TestColdStartLimitsKeepTheirValues(t *testing.T) {
	without, err := Parse("rules", []byte(strings.Replace(coldFile, "%s", "", 1)))
	assert.NilError(t, err)
	assert.Equal(t, without.Services["x"].ColdRate, 0.0)
	for text, want := range map[string]float64{"13/s": 13, "2.5/s": 2.5, "30/min": 0.5, "100/h": 100.0 / 3600, "1000000/s": 1e6, "0.123/s": 0.123} {
		file := strings.Replace(coldFile, "%s", "cold-rate="+text+" cold-period=3s", 1)
		set, err := Parse("rules", []byte(file))
		assert.NilError(t, err)
		assert.Equal(t, set.Services["x"].ColdRate, want)
		assert.Equal(t, set.Services["x"].ColdPeriod, 3*time.Second)
		formatted, err := Format("rules", []byte(file))
		assert.NilError(t, err)
		again, err := Parse("rules", formatted)
		assert.NilError(t, err)
		assert.Equal(t, CanonicalLine(again.Services["x"]), CanonicalLine(set.Services["x"]))
		assert.Equal(t, len(Compare(without, again).Changed), 1)
	}
}

// Guards against a rate or period that limits nothing or that no timer can keep.
func TestInvalidColdStartLimitsAreReported(t *testing.T) {
	for _, words := range []string{
		"cold-rate=0/s", "cold-rate=-1/s", "cold-rate=NaN/s", "cold-rate=13", "cold-rate=1000001/s", "cold-rate=1e3/s", "cold-rate=.5/s",
		"cold-period=3", "cold-period=-1s", "cold-period=0s", "cold-period=601s", "cold-period=1ns",
	} {
		_, err := Parse("rules", []byte(strings.Replace(coldFile, "%s", words, 1)))
		assert.ErrorContains(t, err, "is not a cold", words)
	}
}

// Guards against a rule about long answers that is lost when a file is formatted, and against one for any value.
func TestLongAnswersKeepTheirValue(t *testing.T) {
	formatted, err := Format("rules", []byte(strings.Replace(coldFile, "%s", "long-answers=stay", 1)))
	assert.NilError(t, err)
	set, err := Parse("rules", formatted)
	assert.NilError(t, err)
	assert.Assert(t, set.Services["x"].LongAnswersStay)
	_, err = Parse("rules", []byte(strings.Replace(coldFile, "%s", "long-answers=leave", 1)))
	assert.ErrorContains(t, err, `"leave" is not a value`)
}
