package quota

import (
	"math"

	"clementinelock/core"
)

// rateWindow is the time over which rates are averaged.
const rateWindow = 2 * core.Second

// rate is the average rate of events of late.
type rate struct {
	perSecond float64
	at        core.Millis
}

// add counts events.
func (r *rate) add(now core.Millis, count int) {
	r.decay(now)
	r.perSecond += float64(count) * float64(core.Second) / float64(rateWindow)
}

// decay lets the events of before count less.
func (r *rate) decay(now core.Millis) {
	r.perSecond *= math.Exp(-float64(now-r.at) / float64(rateWindow))
	r.at = now
}
