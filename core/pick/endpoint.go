package pick

import (
	"math"

	"clementinelock/core"
	"clementinelock/core/roster"
)

// Weights and lengths of time of the judgement of one endpoint; the users' deployments warm an endpoint for 25 objects.
const (
	// loadHalfLife is the time in which a report of others' load loses half of its weight.
	loadHalfLife = 600 * core.Millisecond
	// shedLoad is how many slots' worth of work an endpoint is taken to have waiting after it has shed.
	shedLoad = 2.0
	// failureWeight is that of the newest sending among those that failed or not.
	failureWeight = 0.2
	// An endpoint is left alone after so many failures in a row, first for a moment, then for twice as long each time.
	ejectionThreshold  = 3
	minEjectionTimeout = 500 * core.Millisecond
	maxEjectionTimeout = 4 * core.Second
	maxWarmObjects     = 25
	warmTimeout        = 20 * core.Second
)

// Endpoint is one endpoint as this entry host sees it.
type Endpoint struct {
	roster.Entry
	Region string

	evacuated       bool
	gone            bool
	inFlight        int
	otherLoad       float64
	otherLoadAt     core.Millis
	failureRate     float64
	failures        int
	ejectedUntil    core.Millis
	ejectionTimeout core.Millis
	coldUntil       core.Millis
	// zoneColdUntil is until when the endpoint counts as cold since its zone was evacuated.
	zoneColdUntil core.Millis
	coldSentAt    []core.Millis
	objects       map[string]core.Millis
}

// load estimates how many requests the endpoint has.
func (e *Endpoint) load(now core.Millis) float64 {
	return float64(e.inFlight) + e.otherLoad*math.Exp2(-float64(now-e.otherLoadAt)/float64(loadHalfLife))
}

// reportAge returns how old the endpoint's own report of its load is, -1 when it has told none.
func (e *Endpoint) reportAge(now core.Millis) core.Millis {
	if e.otherLoadAt == 0 {
		return -1
	}
	return now - e.otherLoadAt
}

// wait estimates how long a request would wait for a slot, in units of one request's work.
func (e *Endpoint) wait(now core.Millis) float64 {
	slots := float64(max(1, e.Slots))
	return max(0, e.load(now)+1-slots) / slots
}

func (e *Endpoint) isCold(now core.Millis) bool {
	return now < e.coldUntil || now < e.zoneColdUntil
}

// isActive tells whether the endpoint takes part in its service.
func (e *Endpoint) isActive() bool {
	return !e.Draining && !e.evacuated && !e.gone
}

// isUsable tells whether new requests may go to the endpoint now.
func (e *Endpoint) isUsable(now core.Millis) bool {
	return e.isActive() && now >= e.ejectedUntil
}

func (e *Endpoint) isWarmFor(now core.Millis, object string) bool {
	at, known := e.objects[object]
	return known && now-at < warmTimeout
}

func (e *Endpoint) noteObject(now core.Millis, object string) {
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

// noteReport takes the endpoint's own account, less what is this host's.
func (e *Endpoint) noteReport(now core.Millis, report *core.Report) {
	if report == nil {
		return
	}
	e.otherLoad = max(0, float64(report.InFlight+report.Queue-e.inFlight-1))
	e.otherLoadAt = now
}

func (e *Endpoint) noteSuccess() {
	e.failures, e.ejectionTimeout = 0, 0
	e.failureRate *= 1 - failureWeight
}

// noteFailure stops using an endpoint that fails again and again, each time for longer; it returns whether it does so now.
func (e *Endpoint) noteFailure(now core.Millis, immediate bool) bool {
	e.failureRate += failureWeight * (1 - e.failureRate)
	e.failures++
	if e.failures < ejectionThreshold && !immediate {
		return false
	}
	e.ejectionTimeout = min(maxEjectionTimeout, max(minEjectionTimeout, 2*e.ejectionTimeout))
	e.ejectedUntil = now + e.ejectionTimeout
	return true
}

// noteShed takes an endpoint as full that has turned a request away.
func (e *Endpoint) noteShed(now core.Millis) {
	e.failureRate += failureWeight * (1 - e.failureRate)
	e.otherLoad = max(e.otherLoad, shedLoad*float64(max(1, e.Slots)))
	e.otherLoadAt = now
}
