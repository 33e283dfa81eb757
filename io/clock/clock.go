package clock

import (
	"sync"
	"time"

	"clementinelock/core"

	"golang.org/x/sys/unix"
)

const (
	// slewDivisor bounds the slew towards the wall clock: 1 ms per slewDivisor ms elapsed.
	slewDivisor = 20
	// suspendCheckInterval is how often the clock looks for a suspension of the machine.
	suspendCheckInterval = 10 * time.Millisecond
	// minSuspension is longer than the time between two readings of clocks.
	minSuspension = 20 * time.Millisecond
)

// Clock runs on the monotonic clock and follows the wall clock with a bounded slew; it never goes back. It counts the time
// in which the machine was suspended, so that what was granted for a time before that has ended.
type Clock struct {
	mutex    sync.Mutex
	base     time.Time
	offset   time.Duration
	last     core.Millis
	slewedAt time.Time
	// sinceBoot returns the time since the machine's boot with suspensions; bootBase is its value at base.
	sinceBoot func() time.Duration
	bootBase  time.Duration
	suspended time.Duration
	checkedAt time.Time
}

// New returns a clock that starts at the wall clock's time.
func New() *Clock {
	return newClock(sinceBoot)
}

func newClock(sinceBoot func() time.Duration) *Clock {
	now := time.Now()
	return &Clock{base: now, slewedAt: now, checkedAt: now, sinceBoot: sinceBoot, bootBase: sinceBoot()}
}

// sinceBoot returns the time since the machine's boot, or 0 where it can't be read, which hides suspensions.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Now returns the time in milliseconds since the Unix epoch.
func (c *Clock) Now() core.Millis {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	c.checkSuspension(now)
	elapsed := now.Sub(c.base) + c.suspended
	// Round strips the monotonic reading, so that the difference is that of the wall clock.
	drift := now.Round(0).Sub(c.base.Round(0)) - elapsed - c.offset
	maxSlew := now.Sub(c.slewedAt) / slewDivisor
	c.offset += max(-maxSlew, min(maxSlew, drift))
	c.slewedAt = now
	c.last = max(c.last, core.Millis(c.base.Add(elapsed+c.offset).UnixMilli()))
	return c.last
}

// checkSuspension adds the time of a suspension, which the monotonic clock does not count.
func (c *Clock) checkSuspension(now time.Time) {
	if now.Sub(c.checkedAt) < suspendCheckInterval {
		return
	}
	c.checkedAt = now
	if suspended := c.sinceBoot() - c.bootBase - now.Sub(c.base); suspended > c.suspended+minSuspension {
		c.suspended = suspended
	}
}
