package cross

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a price for short answers, and against one that keeps a request at home beyond its safe time.
func TestExtraGain(t *testing.T) {
	const short, left = 100 * time.Millisecond, time.Second
	for _, test := range []struct {
		size         int
		atHome, want time.Duration
	}{
		{0, 0, 0},
		{400, 0, 0},
		{shortAnswer, 0, 0},
		{2 * shortAnswer, 0, short},
		{4 * shortAnswer, 0, 3 * short},
		{4 * shortAnswer, 500 * time.Millisecond, 3 * short},
		{4 * shortAnswer, 501 * time.Millisecond, 0},
		{1 << 40, 0, maxExtraGain},
	} {
		answer := Answer{Size: test.size, Left: left, AtHome: test.atHome}
		assert.Equal(t, answer.ExtraGain(short), test.want, "%+v", test)
	}
	late := Answer{Size: 1 << 20, Left: -time.Second}
	assert.Equal(t, late.ExtraGain(short), time.Duration(0))
}

// Guards against sizes of routes that are kept without a bound, and against losing the routes in use.
func TestSizesAreBounded(t *testing.T) {
	s := &Sizes{}
	for i := range 3 * maxRoutes {
		s.Record(fmt.Sprint("r", i), 10)
		s.Record("used", 6000)
	}
	assert.Equal(t, len(s.routes), maxRoutes)
	assert.Equal(t, s.Expected("used"), 6000)
	assert.Equal(t, s.Expected("r0"), 0)
	for range 100 {
		s.Record("used", 400)
	}
	assert.Assert(t, s.Expected("used") < 500)
}
