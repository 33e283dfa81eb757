package clock

import (
	"testing"
	"time"

	"clementinelock/core"
)

// TestSuspension guards against a process that acts on a lease or a limit that has ended while its machine was suspended:
// the monotonic clock does not count that time.
func TestSuspension(t *testing.T) {
	start, suspended := time.Now(), time.Duration(0)
	c := newClock(func() time.Duration { return time.Since(start) + suspended })
	before := c.Now()
	time.Sleep(2 * suspendCheckInterval)
	if passed := c.Now() - before; passed > core.Second {
		t.Fatalf("%s have passed without a suspension", passed)
	}
	suspended = 5 * time.Second
	time.Sleep(2 * suspendCheckInterval)
	after := c.Now()
	if passed := after - before; passed < 5*core.Second || passed > 6*core.Second {
		t.Fatalf("%s have passed with a suspension of 5s", passed)
	}
	for range 100 {
		now := c.Now()
		if now < after {
			t.Fatalf("the clock goes back by %s", after-now)
		}
		after = now
		time.Sleep(time.Millisecond)
	}
	if c.Now()-before > 6*core.Second {
		t.Fatal("a suspension counts twice")
	}
}

// TestUnreadableBootTime guards against a clock that jumps where the time since the boot can't be read.
func TestUnreadableBootTime(t *testing.T) {
	c := newClock(func() time.Duration { return 0 })
	before := c.Now()
	time.Sleep(30 * time.Millisecond)
	if passed := c.Now() - before; passed > core.Second || passed <= 0 {
		t.Fatalf("%s have passed in 30 ms", passed)
	}
}
