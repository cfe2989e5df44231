package cross

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against bytes that are counted by the wrong cause, and against a request number that loses its cause.
func TestCauseOfPlacement(t *testing.T) {
	for want, p := range map[Cause]Placement{
		Home:       {Home: true, Again: true, Nested: true},
		Retry:      {Again: true, Nested: true},
		NestedCall: {Nested: true},
		NoRoom:     {},
		Choice:     {RoomAtHome: true},
	} {
		assert.Equal(t, p.Cause(), want)
		assert.Equal(t, CauseOf(Number(1<<40, want)), want)
	}
}
