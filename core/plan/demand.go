package plan

import (
	"math"

	"clementinelock/core"
)

// Parameters of the demand estimate.
const (
	fastSmoothing = 0.3
	slowSmoothing = 0.05
	marginSigmas  = 1
	// staleTimeout is the age beyond which the margin widens, freezeTimeout the age at which it stops widening.
	// maxWidening is by how much it then raises the demand, as a fraction.
	staleTimeout  = 3 * core.Second
	freezeTimeout = 30 * core.Second
	maxWidening   = 0.5
)

// Estimate is the short-term demand of one flow in requests per second, with its uncertainty.
// It uses no history of previous days, since peak days follow a lunar calendar.
type Estimate struct {
	// mean follows the measured rates with fastSmoothing, slowMean with slowSmoothing.
	mean     float64
	variance float64
	slowMean float64
	at       core.Millis
	seen     bool
}

// Observe updates the estimate with a rate that was measured at now, in requests per second.
func (e *Estimate) Observe(now core.Millis, rate float64) {
	if !e.seen {
		e.mean, e.slowMean, e.seen = rate, rate, true
	}
	difference := rate - e.mean
	e.mean += fastSmoothing * difference
	e.slowMean += slowSmoothing * (rate - e.slowMean)
	e.variance = (1 - fastSmoothing) * (e.variance + fastSmoothing*difference*difference)
	e.at = now
}

// Value returns the demand to plan for, in requests per second: the mean plus a margin that grows with
// the uncertainty and the age of the estimate. An estimate that is too old is frozen, not lowered.
func (e *Estimate) Value(now core.Millis) float64 {
	if !e.seen {
		return 0
	}
	value := max(e.mean, e.slowMean) + marginSigmas*math.Sqrt(e.variance)
	age := min(now-e.at, freezeTimeout)
	if age <= staleTimeout {
		return value
	}
	widening := maxWidening * float64(age-staleTimeout) / float64(freezeTimeout-staleTimeout)
	return value * (1 + widening)
}

// Age returns the time since the last measurement.
func (e *Estimate) Age(now core.Millis) core.Millis {
	return now - e.at
}
