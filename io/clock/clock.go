package clock

import (
	"sync"
	"time"

	"clementinelock/core"
)

// slewDivisor bounds how fast the clock follows the wall clock: one millisecond in this many.
const slewDivisor = 20

// Clock never goes back and never jumps: it runs on the monotonic clock and follows the wall clock slowly.
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

// Now returns the time.
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
