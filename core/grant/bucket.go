package grant

import (
	"clementinelock/core"
)

// bucket meters the host's own use of a resource.
type bucket struct {
	level      float64
	refilledAt core.Millis
	used       float64
	demand     float64
	urgent     float64
}

// Take uses an amount of the resource; it returns false when the host's rate does not allow it now. Less urgent use leaves a part of what is saved up to the more urgent; leave is that part, 0 for the most urgent. A resource without a limit is always allowed.
func (n *Node) Take(now core.Millis, resource string, amount, reserve float64) bool {
	b := n.bucket(now, resource)
	b.demand += amount
	if reserve == 0 {
		b.urgent += amount
	}
	if n.limits[resource] == 0 {
		return true
	}
	rate := n.Allowed(now, resource)
	b.refill(now, rate)
	maxLevel := rate * burstSeconds
	if b.level-amount < reserve*maxLevel && b.level < maxLevel {
		return false
	}
	b.level -= amount
	b.used += amount
	return true
}

// Charge uses an amount that can no longer be refused, such as the bytes of an answer; the rate is owed until it is paid back.
func (n *Node) Charge(now core.Millis, resource string, amount float64) {
	b := n.bucket(now, resource)
	b.refill(now, n.Allowed(now, resource))
	b.level -= amount
	b.demand += amount
	b.used += amount
}

// burstSeconds is how much unused rate a host may save up, in seconds.
const burstSeconds = 0.1

func (n *Node) bucket(now core.Millis, resource string) *bucket {
	b := n.buckets[resource]
	if b == nil {
		b = &bucket{refilledAt: now, level: n.Allowed(now, resource) * burstSeconds}
		n.buckets[resource] = b
	}
	return b
}

func (b *bucket) refill(now core.Millis, rate float64) {
	b.level = min(rate*burstSeconds, b.level+rate*float64(now-b.refilledAt)/1000)
	b.refilledAt = now
}

// idle tells whether nothing was used since the last Want.
func (n *Node) idle() bool {
	for _, b := range n.buckets {
		if b.demand > 0 {
			return false
		}
	}
	return true
}

// takeDemand returns the demand per second since the last Want, and how much of it was urgent.
func (n *Node) takeDemand(resource string) (rate, urgent float64) {
	b := n.buckets[resource]
	if b == nil {
		return 0, 0
	}
	seconds := float64(RequestInterval) / 1000
	rate, urgent = b.demand/seconds, b.urgent/seconds
	b.demand, b.urgent = 0, 0
	return rate, urgent
}
