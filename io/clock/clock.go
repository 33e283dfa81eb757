package clock

import (
	"sync"
	"time"

	"clementinelock/core"
)

// slewDivisor bounds the slew towards the wall clock: 1 ms per slewDivisor ms elapsed.
const slewDivisor = 20

// Clock runs on the monotonic clock and follows the wall clock with a bounded slew; it never goes back or jumps.
type Clock struct {
	mutex    sync.Mutex
	base     time.Time
	offset   time.Duration
	last     core.Millis
	slewedAt time.Time
}

// New returns a clock that starts at the wall clock's time.
func New() *Clock {
	now := time.Now()
	return &Clock{base: now, slewedAt: now}
}

// Now returns the time in milliseconds since the Unix epoch.
func (c *Clock) Now() core.Millis {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	elapsed := now.Sub(c.base)
	// Round strips the monotonic reading, so that the difference is that of the wall clock.
	drift := now.Round(0).Sub(c.base.Round(0)) - elapsed - c.offset
	maxSlew := now.Sub(c.slewedAt) / slewDivisor
	c.offset += max(-maxSlew, min(maxSlew, drift))
	c.slewedAt = now
	c.last = max(c.last, core.Millis(c.base.Add(elapsed+c.offset).UnixMilli()))
	return c.last
}
