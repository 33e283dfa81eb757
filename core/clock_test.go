package core_test

import (
	"math"
	"testing"
	"time"

	"clementinelock/core"
)

// TestMillisOf guards against times from outside that one kind of processor converts to the smallest number and another to the
// largest.
func TestMillisOf(t *testing.T) {
	for _, c := range []struct {
		in   float64
		want core.Millis
	}{
		{0, 0},
		{2.9, 2},
		{-2.9, -2},
		{1e15, 1e15},
		{1e19, core.Never},
		{1e300, core.Never},
		{math.Inf(1), core.Never},
		{-1e19, -core.Never},
		{math.Inf(-1), -core.Never},
		{math.NaN(), 0},
		{float64(core.Never), core.Never},
	} {
		if got := core.MillisOf(c.in); got != c.want {
			t.Errorf("%g ms are %d, expected %d", c.in, got, c.want)
		}
	}
	if got := core.Never.Duration(); got < 200*365*24*time.Hour {
		t.Errorf("the longest time is %s", got)
	}
}
