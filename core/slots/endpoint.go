package slots

import (
	"slices"

	"clementinelock/core"
	"clementinelock/core/tree"
)

// Limits of outlier ejection, shedding and load reports.
const (
	failuresToEject  = 3
	baseEjectionTime = 2 * core.Second
	maxEjectionTime  = 30 * core.Second
	shedBackOff      = 500 * core.Millisecond
	// maxBackoff bounds the time for which an endpoint may ask for no requests.
	maxBackoff  = core.Hour
	reportFresh = 3 * core.Second
	ewmaWeight  = 0.1
	// reservedSlots is the number of slots of each endpoint that the first candidate of a lease
	// may use after it has lost the lease.
	reservedSlots = 1
	slowFactor    = 4
	// ejectionDivisor divides the number of endpoints to bound how many may be ejected for failures,
	// so that a bad measurement can't eject all of them.
	ejectionDivisor = 3
)

// endpoint is a keeper's state of one endpoint.
type endpoint struct {
	address      string
	inUse        int
	latency      float64
	answers      int
	failures     int
	ejections    int
	ejectedUntil core.Millis
	shedUntil    core.Millis
	pace         pace
	warmUpStart  core.Millis
	report       core.Report
	reportAt     core.Millis
	lastUsed     uint64
	// unknown is the number of slots that a former keeper may have granted; it counts until unknownUntil.
	unknown      int
	unknownUntil core.Millis
	unknownFrom  core.Millis
}

// warmSlots returns how many slots may be used: a growing part during the warm-up, then all.
func (e *endpoint) warmSlots(now core.Millis, s *tree.Service) int {
	age := now - e.warmUpStart
	if e.warmUpStart == 0 || age >= s.WarmUp {
		return s.Slots
	}
	return max(1, int(int64(s.Slots)*int64(age)/int64(s.WarmUp)))
}

func (e *endpoint) used(now core.Millis) int {
	if now < e.unknownUntil {
		return e.inUse + e.unknown
	}
	return e.inUse
}

// recordReport records a load report; the requests in flight that it counts bound the slots
// that a former keeper may have granted.
func (e *endpoint) recordReport(now core.Millis, r core.Report) {
	e.report, e.reportAt = r, now
	if now < e.unknownUntil && now >= e.unknownFrom {
		e.unknown = min(e.unknown, max(0, r.InFlight-e.inUse))
	}
	if r.Cold && e.warmUpStart == 0 {
		e.warmUpStart = now
	}
}

// recordResult updates the endpoint with the result of an attempt whose slot was granted at that time.
func (e *endpoint) recordResult(now, grantedAt core.Millis, r Result) {
	e.pace.record(now, grantedAt, r)
	if r.Report != nil {
		e.recordReport(now, *r.Report)
	}
	e.shedUntil = max(e.shedUntil, now+min(r.RetryAfter, maxBackoff))
	switch {
	case r.Unused:
		return
	case r.Shed:
		e.shedUntil = max(e.shedUntil, now+shedBackOff)
	case r.Failed:
		e.recordFailure(now)
	default:
		e.failures, e.ejections = 0, 0
		e.recordLatency(r.Latency)
	}
}

func (e *endpoint) recordLatency(latency core.Millis) {
	e.answers++
	if e.answers == 1 {
		e.latency = float64(latency)
		return
	}
	e.latency += ewmaWeight * (float64(latency) - e.latency)
}

func (e *endpoint) recordFailure(now core.Millis) {
	e.failures++
	if e.failures < failuresToEject {
		return
	}
	ejectionTime := min(baseEjectionTime<<min(e.ejections, 4), maxEjectionTime)
	e.ejections++
	e.failures = failuresToEject - 1
	e.ejectedUntil = now + ejectionTime
	e.warmUpStart = e.ejectedUntil
}

// pick returns the endpoint with the smallest expected wait among those with a free slot;
// ties go to the least recently used one.
func (k *keeper) pick(now core.Millis, exclude []string) *endpoint {
	var best *endpoint
	bestScore := 0.0
	ejected := k.ejected(now)
	median := k.medianLatency()
	for _, address := range k.settings.Endpoints {
		e := k.endpoints[address]
		if !k.usable(now, e, ejected) || slices.Contains(exclude, address) {
			continue
		}
		used, limit := e.used(now), k.limit(now, e, median)
		if used >= limit {
			continue
		}
		score := float64(used+1) / float64(limit)
		if best == nil || score < bestScore || score == bestScore && e.lastUsed < best.lastUsed {
			best, bestScore = e, score
		}
	}
	return best
}

// limit returns how many slots of an endpoint this keeper may use;
// an endpoint that is much slower than the median gets one.
func (k *keeper) limit(now core.Millis, e *endpoint, median float64) int {
	limit := e.warmSlots(now, k.settings)
	if median > 0 && e.latency > slowFactor*median+1 && e.answers > failuresToEject {
		limit = 1
	}
	if k.reservedOnly {
		return min(limit, reservedSlots)
	}
	return max(0, min(limit, k.settings.Slots-k.reserve))
}

// usable reports whether an endpoint may get new requests.
func (k *keeper) usable(now core.Millis, e *endpoint, ejected map[string]bool) bool {
	return !ejected[e.address] && now >= e.shedUntil && e.pace.admits(now) && !k.leaving(e.address)
}

func (k *keeper) leaving(address string) bool {
	return slices.Contains(k.settings.Leaving, address) || k.node.platformLeaving[address]
}

// ejected returns the endpoints that are ejected for failures: at most a third of all, and never the last one.
// Above that bound, the endpoints whose ejection ends first are readmitted first.
func (k *keeper) ejected(now core.Millis) map[string]bool {
	var out []*endpoint
	for _, address := range k.settings.Endpoints {
		e := k.endpoints[address]
		if now < e.ejectedUntil {
			out = append(out, e)
		}
	}
	if len(out) == 0 {
		return nil
	}
	count := len(k.settings.Endpoints)
	maxEjected := min(max(1, count/ejectionDivisor), count-1)
	slices.SortFunc(out, func(a, b *endpoint) int { return int(b.ejectedUntil - a.ejectedUntil) })
	set := map[string]bool{}
	for _, e := range out[:min(maxEjected, len(out))] {
		set[e.address] = true
	}
	return set
}

func (k *keeper) medianLatency() float64 {
	var all []float64
	for _, address := range k.settings.Endpoints {
		if e := k.endpoints[address]; e.answers > 0 {
			all = append(all, e.latency)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}
