package pick

import "clementinelock/core"

// An endpoint in need names how many requests a second it takes from all hosts together. Each host that was told sends it
// one request an interval, so that the parts of all hosts together stay within the limit; hosts that were told at the
// same time begin at different moments.
const (
	// remoteLimitFraction is the part of the limit that is divided among all hosts for an endpoint of another region.
	remoteLimitFraction = 0.1
	// fewHostsFraction and manyHostsFraction are the parts that are divided among the hosts of the endpoint's region:
	// all that is left where the limit bears one request of every host at once, else less, so that it is improbable
	// that too many send at once.
	fewHostsFraction  = 0.9
	manyHostsFraction = 0.5
	// An endpoint that takes N requests a second bears limitBurst requests and limitExcess times N at once beside them.
	limitBurst  = 5
	limitExcess = 2.0
	// minLimit bounds the interval of hosts to an endpoint that takes hardly any requests, so that they learn when it
	// takes more, in requests per second.
	minLimit = 0.25
)

// pace is the rate at which this host sends requests to an endpoint that named a limit.
type pace struct {
	// limit is the endpoint's limit in requests per second; it holds if limited is set.
	limit   float64
	limited bool
	// limitedSince is when the endpoint first named a limit, limitNamedAt when it did last.
	limitedSince core.Millis
	limitNamedAt core.Millis
	// nextSendAt is when this host may send the next request.
	nextSendAt core.Millis
}

// isHeldBack reports whether the endpoint's limit admits no request of this host now.
func (e *Endpoint) isHeldBack(now core.Millis) bool {
	return e.limited && now < e.nextSendAt
}

// isWithinLimit reports whether a request that was chosen at that time may still be sent: one that was chosen before the
// endpoint named its limit is not counted in it.
func (e *Endpoint) isWithinLimit(chosenAt core.Millis) bool {
	return !e.limited || chosenAt >= e.limitedSince
}

// recordLimit applies the limit that an answer named.
func (t *Table) recordLimit(now core.Millis, e *Endpoint, limit float64) {
	first := !e.limited
	e.limitNamedAt = now
	if !first && limit == e.limit {
		return
	}
	e.limited, e.limit = true, limit
	interval := t.limitInterval(e)
	t.logf("Endpoint %s of %s in %s takes %g requests a second from all hosts; this host sends one in %s.", e.ID, e.Service, e.Zone, limit, interval)
	if first {
		e.limitedSince = now
		e.nextSendAt = now + core.Millis(t.Rand.Int64N(int64(interval)+1))
		return
	}
	e.nextSendAt = min(e.nextSendAt, now+interval)
}

// recordNoLimit ends the limit with an answer that names none, to a request that was chosen after the limit was named
// last.
func (t *Table) recordNoLimit(e *Endpoint, chosenAt core.Millis) {
	if !e.limited || chosenAt <= e.limitNamedAt {
		return
	}
	e.pace = pace{}
	t.logf("Endpoint %s of %s in %s names no limit any more.", e.ID, e.Service, e.Zone)
}

// limitInterval returns the time between two requests of this host to an endpoint that named a limit.
func (t *Table) limitInterval(e *Endpoint) core.Millis {
	limit := max(minLimit, e.limit)
	hosts, fraction := t.budgetHosts(), remoteLimitFraction
	if e.Region == t.Region {
		fraction = manyHostsFraction
		if float64(hosts) <= limitBurst+limitExcess*limit {
			fraction = fewHostsFraction
		}
		hosts = t.regionHosts()
	}
	return core.Millis(float64(hosts) / (fraction * limit) * float64(core.Second))
}

// regionHosts returns the number of hosts among which the limits of the region's endpoints are divided, by the rule of
// budgetHosts.
func (t *Table) regionHosts() int {
	return max(t.maxRegionHosts, minHostsPerZone*t.zonesOfRegion())
}

// zonesOfRegion returns the number of availability zones of this host's region.
func (t *Table) zonesOfRegion() (zones int) {
	for _, region := range t.RegionByZone {
		if region == t.Region {
			zones++
		}
	}
	return zones
}

// spendLimit counts a request that is sent to an endpoint that named a limit.
func (t *Table) spendLimit(now core.Millis, e *Endpoint) {
	if e.limited {
		e.nextSendAt = now + t.limitInterval(e)
	}
}

// opensAt returns when the endpoint takes the next request of this host, 0 if it takes one now as far as it has said.
func (e *Endpoint) opensAt(now core.Millis) core.Millis {
	at := core.Millis(0)
	if e.inBackoff(now) {
		at = e.reopenAt
	}
	if e.isHeldBack(now) {
		at = max(at, e.nextSendAt)
	}
	return at
}
