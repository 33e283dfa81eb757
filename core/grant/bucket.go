package grant

import (
	"clementinelock/core"
)

// bucket is the token bucket of this host for one resource. demand and urgent are counted since the last Ask,
// used since the start.
type bucket struct {
	level      float64
	refilledAt core.Millis
	used       float64
	demand     float64
	urgent     float64
}

// Take uses an amount of the resource and returns false when the host's rate does not allow it now. reserve is the
// part of the bucket, from 0 to 1, that this use leaves to more urgent ones; 0 marks urgent use. A full bucket allows
// any amount, and a resource without a limit is always allowed.
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

// Charge uses an amount that can no longer be refused, such as the bytes of an answer. The bucket's level may become
// negative; Take then returns false until the bucket has refilled.
func (n *Node) Charge(now core.Millis, resource string, amount float64) {
	b := n.bucket(now, resource)
	b.refill(now, n.Allowed(now, resource))
	b.level -= amount
	b.demand += amount
	b.used += amount
}

// burstSeconds is the size of a bucket, in seconds of the host's rate.
const burstSeconds = 0.1

func (n *Node) bucket(now core.Millis, resource string) *bucket {
	b := n.buckets[resource]
	if b == nil {
		b = &bucket{refilledAt: now, level: n.Allowed(now, resource) * burstSeconds}
		n.buckets[resource] = b
	}
	return b
}

// refill adds what the rate has yielded since the last refill, up to the size of the bucket.
func (b *bucket) refill(now core.Millis, rate float64) {
	b.level = min(rate*burstSeconds, b.level+rate*float64(now-b.refilledAt)/1000)
	b.refilledAt = now
}

// idle reports whether this host has had no demand since the last Ask.
func (n *Node) idle() bool {
	for _, b := range n.buckets {
		if b.demand > 0 {
			return false
		}
	}
	return true
}

// takeDemand returns the demand per second since the last Ask and its urgent part, and resets both.
func (n *Node) takeDemand(resource string) (rate, urgent float64) {
	b := n.buckets[resource]
	if b == nil {
		return 0, 0
	}
	seconds := float64(AskInterval) / 1000
	rate, urgent = b.demand/seconds, b.urgent/seconds
	b.demand, b.urgent = 0, 0
	return rate, urgent
}
