package pick

import (
	"testing"

	"clementinelock/core"
)

// TestShiftLimitAfterAPause guards against counts of requests that are off for good after a host has had none for longer than
// both windows: the limit then compared with requests that it had counted before, or failed on a negative number of them.
func TestShiftLimitAfterAPause(t *testing.T) {
	for pause := 3 * core.Second; pause < 20*core.Second; pause += 700 {
		l := shiftLimiter{maxShift: defaultMaxShift, local: "a"}
		now := core.Hour
		for range 100 {
			now += 30
			l.observe(now, "a")
			l.record("a")
			l.record("b")
		}
		now += pause
		l.observe(now, "a")
		for _, p := range l.regions {
			want := 0
			for bin := range shiftBinsInWindow {
				want += p.bins[(l.bin-bin)%shiftBins]
			}
			if p.recent != want {
				t.Fatalf("after %s without requests %d are counted in the latest window, expected %d", pause, p.recent, want)
			}
		}
	}
}
