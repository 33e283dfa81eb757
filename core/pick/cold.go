package pick

import (
	"cmp"
	"math"
	"slices"

	"clementinelock/core"
)

// A cold endpoint bears few requests a second from all hosts together. Hosts divide its rate by their numbers, as no
// host knows what the others send.
const (
	// coldWindow is the second in which a cold endpoint's requests are counted, with room for the network
	// delay.
	coldWindow = 1100 * core.Millisecond
	// coldRateFraction is the part of a cold endpoint's rate that is used; the rest is for delayed requests of
	// other hosts.
	coldRateFraction = 0.7
	// maxColdHostsPerRate is the number of hosts per unit of the rate up to which each host of the zone may
	// send one request at any moment.
	maxColdHostsPerRate = 0.9
	// defaultContactLease is the time without contact after which a host counts as isolated, if it is told no other: more
	// than two of its reports.
	defaultContactLease = 2 * core.Second
	// maxColdRate is more than an endpoint takes when it is warm, in requests per second.
	maxColdRate = 1e6
	// coldTurn is the length of a turn at a cold endpoint: in one second begin the turns that use up the fraction of the
	// rate, and those that began up to a turn's length before may still be used, together at most the whole rate.
	coldTurn = 450 * core.Millisecond
)

// RecordContact records that a control host has sent an update, or when it last could know of all changes. The host counts as
// isolated when the lease that begins then has passed; 0 means the default. At 0 it has had no contact since its start, and a
// table to which contact is never recorded follows no control host.
func (t *Table) RecordContact(at, lease core.Millis) {
	t.contactAt, t.contactLease = max(t.contactAt, at), cmp.Or(lease, defaultContactLease)
}

// contactAge returns the time since the latest contact, -1 before the first.
func (t *Table) contactAge(now core.Millis) core.Millis {
	if t.contactAt == 0 {
		return -1
	}
	return now - t.contactAt
}

// isIsolated reports whether the host has had no contact with a control host for so long that an endpoint may have been
// evacuated and turned cold without its knowledge.
func (t *Table) isIsolated(now core.Millis) bool {
	return t.contactLease != 0 && now-t.contactAt > t.contactLease
}

// isWithinColdRate reports whether this host may send one more request to an endpoint that is cold, or that may be
// without this host's knowledge; any other endpoint has no such limit.
func (t *Table) isWithinColdRate(now core.Millis, e *Endpoint) bool {
	// A former process of this host may have used its part in the latest window.
	hasJustStarted := t.StartedAt != 0 && now-t.StartedAt < coldWindow
	switch {
	case t.mayBeCold(now, e):
		return !hasJustStarted && t.mayUseCold(now, e)
	case t.isIsolated(now):
		return !hasJustStarted && t.mayUseIsolated(now, e)
	}
	return true
}

// coldRate returns how many requests per second a cold endpoint may get from all hosts together.
func (t *Table) coldRate(e *Endpoint) float64 {
	return min(t.configured[e.Service].ColdRequestsPerSecond*t.Bounds.ColdOverrun+t.Bounds.ColdSlack, maxColdRate)
}

// mayUseCold reports whether this host may send one more request to a cold endpoint. Only hosts of the endpoint's
// availability zone may, each within its share of the endpoint's rate, and once they know how many they are.
func (t *Table) mayUseCold(now core.Millis, e *Endpoint) bool {
	if e.Zone != t.Zone || t.entries.Zone == 0 {
		return false
	}
	rate := t.coldRate(e)
	if takesTurns(t.entries.Zone, rate) {
		return rate > 0 && t.hasTurn(now, e, turns{rank: t.rank, hosts: t.entries.Zone, quota: coldRateFraction * rate / float64(t.entries.Zone), length: coldTurn})
	}
	// Hosts whose quota is below 1 stay within the rate even if all send theirs in the same second.
	return e.isWithinQuota(now, coldRateFraction*rate/float64(t.entries.Zone))
}

// takesTurns reports whether an availability zone has so many hosts that they take turns at a cold endpoint.
func takesTurns(hosts int, rate float64) bool {
	return float64(hosts) > maxColdHostsPerRate*rate
}

// mayUseIsolated reports whether an isolated host may send one more request to an endpoint that it takes for warm. The
// parts of all hosts add up to no more than the rate, whichever of them are isolated: a host of the endpoint's availability
// zone keeps to its share of a cold endpoint, and the other hosts of the region divide what these shares leave.
func (t *Table) mayUseIsolated(now core.Millis, e *Endpoint) bool {
	rate := t.coldRate(e)
	if rate == 0 {
		return true
	}
	hosts := t.entries.Zone
	switch {
	case e.Region != t.Region || hosts == 0:
		return false
	case e.Zone != t.Zone:
		return e.isWithinQuota(now, float64(t.sparePart(rate)))
	case t.zonesOfRegion() == 1 && !takesTurns(hosts, rate):
		// No other host of the region shares the endpoint.
		return e.isWithinQuota(now, math.Floor(rate)/float64(hosts))
	}
	return t.mayUseCold(now, e)
}

// sparePart returns how many requests in a second this host may send to an endpoint of another availability zone of its
// region while it is isolated: its part of what the hosts of that zone leave of the endpoint's rate.
func (t *Table) sparePart(rate float64) int {
	// A host that has just started may not know all others.
	others := max(1, t.maxRegionHosts-t.entries.Zone)
	if t.zonesOfRegion() == 2 {
		return spareRequests(others, rate) / t.entries.Zone
	}
	// How the others are spread over the other availability zones is not known.
	part := int(rate)
	for hosts := 1; hosts <= others; hosts++ {
		part = min(part, spareRequests(hosts, rate)/(t.entries.Zone+others-hosts))
	}
	return part
}

// spareRequests returns how many requests in a second the hosts of an endpoint's availability zone leave of its rate.
func spareRequests(hosts int, rate float64) int {
	if takesTurns(hosts, rate) {
		return 0
	}
	return max(0, int(rate)-hosts*max(1, int(coldRateFraction*rate/float64(hosts))))
}

// turns is how many hosts share an endpoint. In each period they begin their turns one after the other, by their ranks and
// the time of day.
type turns struct {
	// rank is this host's, 0 if it is not known or not unique among the hosts.
	rank  int
	hosts int
	// quota is the number of turns of a host in a second.
	quota float64
	// length is how long a turn lasts if it is not used, so that hosts can't use those of a longer time at once.
	length core.Millis
}

// hasTurn reports whether it is this host's turn to send the endpoint a request, and it has sent none in it. Hosts take
// turns where all would exceed the rate with one request a second each.
func (t *Table) hasTurn(now core.Millis, e *Endpoint, s turns) bool {
	rank := uint64(s.rank)
	if rank == 0 {
		rank = rendezvous(t.Name, "rank")
	}
	period := core.MillisOf(float64(coldWindow) / s.quota)
	phase := core.Millis(rank%uint64(s.hosts))*period/core.Millis(s.hosts) + core.Millis(rendezvous("phase", e.ID)%uint64(period))
	since := (now - phase) % period
	if since < 0 {
		since += period
	}
	e.sentAt = slices.DeleteFunc(e.sentAt, func(at core.Millis) bool { return now-at > since })
	return since < s.length && len(e.sentAt) == 0
}

// recordSent records that this host sends the endpoint a request.
func (e *Endpoint) recordSent(now core.Millis) {
	first := 0
	for first < len(e.sentAt)-1 && now-e.sentAt[first] >= coldWindow {
		first++
	}
	e.sentAt = append(slices.Delete(e.sentAt, 0, first), now)
}

// isWithinQuota reports whether this host has sent the endpoint fewer requests than a quota per second; for a quota below
// 1 it may send one request per longer time.
func (e *Endpoint) isWithinQuota(now core.Millis, quota float64) bool {
	if quota <= 0 {
		return false
	}
	window := coldWindow
	if quota < 1 {
		window = core.MillisOf(float64(window) / quota)
		quota = 1
	}
	e.sentAt = slices.DeleteFunc(e.sentAt, func(at core.Millis) bool { return now-at >= window })
	return len(e.sentAt) < int(quota)
}
