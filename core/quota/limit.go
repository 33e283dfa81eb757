package quota

import (
	"math"

	"clementinelock/core"
)

// Limit is a customer's quota: requests per second, and how many may come at once beyond that.
type Limit struct {
	PerSecond float64
	Burst     float64
}

// IsSet reports whether the quota limits anything.
func (l Limit) IsSet() bool {
	return l.PerSecond > 0
}

// Bounds is how far a deployment allows the requests of a customer to exceed the quota in any Window: by the share Overrun
// and by Slack requests.
type Bounds struct {
	Window  core.Millis
	Overrun float64
	Slack   float64
}

const (
	// defaultWindow applies where the deployment sets none.
	defaultWindow = core.Second
	// usedFraction of what is allowed in a window is used; the rest is for tokens of processes that have ended and of hosts
	// that divide by an earlier membership.
	usedFraction = 0.96
	// overrunFraction of the overrun raises the rate at least, so that a quota is still served while a part of the pools is
	// down.
	overrunFraction = 0.5
	// minCapacityFraction of what is allowed in a window is the least capacity, and minBurst where the bounds allow it: without
	// one, requests that come at once by chance would be rejected far below the rate.
	minCapacityFraction = 0.05
	minBurst            = 24
	// maxRate bounds a quota's rate and burst, so that what is computed from them is a number.
	maxRate = 1e12
	// stockFraction of the capacity is for tokens that entry hosts hold in advance.
	stockFraction = 0.25
	// minPoolCapacity is the least capacity of a pool's bucket; where the pools are more than the capacity allows for, only
	// some hold a part.
	minPoolCapacity = 1.5
)

// shape is a quota as token buckets: the rate per second, the capacity of all buckets together and the tokens that entry
// hosts may hold in advance.
type shape struct {
	rate     float64
	capacity float64
	stock    float64
}

// shapeOf returns buckets that keep the requests of any window within the quota and its bounds.
func shapeOf(l Limit, b Bounds) shape {
	l = Limit{PerSecond: min(l.PerSecond, maxRate), Burst: min(max(0, l.Burst), maxRate)}
	window := float64(defaultWindow) / float64(core.Second)
	if b.Window > 0 {
		window = float64(b.Window) / float64(core.Second)
	}
	allowed := usedFraction * ((l.PerSecond*window+l.Burst)*(1+b.Overrun) + b.Slack)
	// What the capacity does not need raises the rate: requests below what the window allows need not be rejected.
	spare := allowed - l.PerSecond*(1+overrunFraction*b.Overrun)*window
	// The rate stays near the quota's where the bounds allow nothing beyond it.
	burst := min(l.Burst, allowed-usedFraction*l.PerSecond*window)
	capacity := max(burst, min(minBurst, spare), minCapacityFraction*allowed)
	rate := (allowed - capacity) / window
	s := shape{rate: rate, capacity: (1 - stockFraction) * capacity, stock: stockFraction * capacity}
	if s.capacity < 1 {
		// A bucket that never holds a token would reject everything.
		s.capacity, s.stock = max(1, capacity), 0
	}
	return s
}

// holders returns how many of the pools hold a part of a quota.
func (s shape) holders(pools int) int {
	return max(1, int(min(float64(pools), math.Floor(s.capacity/minPoolCapacity))))
}
