package pick

import (
	"math"

	"clementinelock/core"
	"clementinelock/core/roster"
)

// Parameters of an endpoint's load, ejection and warm objects.
const (
	// loadHalfLife is the half-life of the reported load of other hosts.
	loadHalfLife = 600 * core.Millisecond
	// shedLoad is the load that is assumed at an endpoint after it has shed a request, as a multiple of its
	// slots.
	shedLoad = 2.0
	// failureWeight is the weight of the newest attempt in the failure rate.
	failureWeight = 0.2
	// ejectionThreshold is the number of consecutive failures after which an endpoint is ejected, at first for
	// minEjectionTimeout, then for twice as long each time.
	ejectionThreshold  = 3
	minEjectionTimeout = 500 * core.Millisecond
	maxEjectionTimeout = 4 * core.Second
	// maxWarmObjects is how many objects an endpoint keeps warm in the users' deployments.
	maxWarmObjects = 25
	warmTimeout    = 20 * core.Second
)

// Endpoint is one endpoint as this entry host sees it.
type Endpoint struct {
	roster.Entry
	readiness
	process
	Region string

	evacuated bool
	gone      bool
	inFlight  int
	// otherLoad is the load of other hosts at otherLoadAt, when the endpoint last reported it or shed a request.
	otherLoad   float64
	otherLoadAt core.Millis
	failureRate float64
	// failures is the number of consecutive failures.
	failures        int
	ejectedUntil    core.Millis
	ejectionTimeout core.Millis
	coldUntil       core.Millis
	// zoneColdUntil is until when the endpoint counts as cold after the evacuation of its zone.
	zoneColdUntil core.Millis
	// answeredAt is when the endpoint last answered this host.
	answeredAt core.Millis
	// sentAt holds when this host sent the endpoint requests in the latest coldWindow, and its last one before: when the
	// endpoint turns cold, or may have, they count.
	sentAt []core.Millis
	// objects holds when this host last sent the endpoint a request for each object.
	objects map[string]core.Millis
}

// load estimates the number of requests at the endpoint.
func (e *Endpoint) load(now core.Millis) float64 {
	return float64(e.inFlight) + e.otherLoad*math.Exp2(-float64(now-e.otherLoadAt)/float64(loadHalfLife))
}

// reportAge returns the time since the endpoint last reported its load or shed a request, -1 when it did neither.
func (e *Endpoint) reportAge(now core.Millis) core.Millis {
	if e.otherLoadAt == 0 {
		return -1
	}
	return now - e.otherLoadAt
}

// wait estimates how long a request would wait for a slot, in units of the service time.
func (e *Endpoint) wait(now core.Millis) float64 {
	slots := float64(max(1, e.Slots))
	return max(0, e.load(now)+1-slots) / slots
}

func (e *Endpoint) isCold(now core.Millis) bool {
	return now < e.coldUntil || now < e.zoneColdUntil
}

// isActive reports whether the endpoint takes part in its service.
func (e *Endpoint) isActive() bool {
	return !e.Draining && !e.evacuated && !e.gone && e.leavingSince == 0
}

// isUsable reports whether new requests may go to the endpoint now.
func (e *Endpoint) isUsable(now core.Millis) bool {
	return e.isActive() && now >= e.ejectedUntil && e.isReopened(now) && !e.isHeldBack(now)
}

func (e *Endpoint) isWarmFor(now core.Millis, object string) bool {
	at, known := e.objects[object]
	return known && now-at < warmTimeout
}

func (e *Endpoint) recordObject(now core.Millis, object string) {
	if object == "" {
		return
	}
	if e.objects == nil {
		e.objects = map[string]core.Millis{}
	}
	e.objects[object] = now
	if len(e.objects) <= maxWarmObjects {
		return
	}
	oldest, oldestAt := "", core.Never
	for each, at := range e.objects {
		if at < oldestAt || at == oldestAt && each < oldest {
			oldest, oldestAt = each, at
		}
	}
	delete(e.objects, oldest)
}

// recordReport records the load that the endpoint reports, less this host's own requests.
func (e *Endpoint) recordReport(now core.Millis, report *core.Report) {
	if report == nil {
		return
	}
	e.otherLoad = max(0, float64(report.InFlight+report.Queue-e.inFlight-1))
	e.otherLoadAt = now
}

func (e *Endpoint) recordSuccess() {
	e.failures, e.ejectionTimeout = 0, 0
	e.failureRate *= 1 - failureWeight
}

// recordFailure counts a failure and ejects an endpoint that fails repeatedly, each time for longer; immediate
// ejects it at the first failure. It reports whether the endpoint was ejected.
func (e *Endpoint) recordFailure(now core.Millis, immediate bool) bool {
	e.failureRate += failureWeight * (1 - e.failureRate)
	e.failures++
	if e.failures < ejectionThreshold && !immediate {
		return false
	}
	e.ejectionTimeout = min(maxEjectionTimeout, max(minEjectionTimeout, 2*e.ejectionTimeout))
	e.ejectedUntil = now + e.ejectionTimeout
	return true
}

// recordShed treats an endpoint that has shed a request as full.
func (e *Endpoint) recordShed(now core.Millis) {
	e.failureRate += failureWeight * (1 - e.failureRate)
	e.otherLoad = max(e.otherLoad, shedLoad*float64(max(1, e.Slots)))
	e.otherLoadAt = now
}
