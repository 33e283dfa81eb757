package quota

import (
	"math"
	"testing"

	"clementinelock/core"
)

// TestShapes guards against buckets that allow more in a window than the quota and its bounds, and against ones that allow less
// than the quota, also in deployments whose bounds allow nothing beyond it.
func TestShapes(t *testing.T) {
	for _, b := range []Bounds{{}, {Window: 5 * core.Second, Overrun: 0.1, Slack: 20}, {Window: core.Second, Overrun: 0.05}, {Window: 10 * core.Second, Slack: 5}} {
		for _, l := range []Limit{{PerSecond: 0.2}, {PerSecond: 1, Burst: 1000}, {PerSecond: 2, Burst: 2}, {PerSecond: 40}, {PerSecond: 467, Burst: 467}, {PerSecond: 5000, Burst: 10}} {
			window := float64(max(b.Window, defaultWindow)) / float64(core.Second)
			s := shapeOf(l, b)
			allowed := (l.PerSecond*window+l.Burst)*(1+b.Overrun) + b.Slack
			if got := math.Floor(s.rate*window + s.capacity + s.stock); got > max(allowed, 1) {
				t.Errorf("%+v with %+v: %g requests in a window, %g allowed", l, b, got, allowed)
			}
			if least := 0.9 * l.PerSecond; s.rate < least {
				t.Errorf("%+v with %+v: rate %g, expected %g at least", l, b, s.rate, least)
			}
			if s.capacity < 1 {
				t.Errorf("%+v with %+v: capacity %g holds no token", l, b, s.capacity)
			}
		}
	}
}
