package slots

import (
	"slices"

	"clementinelock/core"
	"clementinelock/core/tree"
)

// Rules by which an endpoint is trusted.
const (
	failuresToEject  = 3
	baseEjectionTime = 2 * core.Second
	maxEjectionTime  = 30 * core.Second
	shedBackOff      = 500 * core.Millisecond
	reportFresh      = 3 * core.Second
	ewmaWeight       = 0.1
	// reservedSlots is what the first candidate of a lease may use of each endpoint when it has lost the lease.
	reservedSlots = 1
	slowFactor    = 4
	// ejectionDivisor bounds the endpoints that failures may take out, so that a bad measurement can't take out all.
	ejectionDivisor = 3
)

// endpoint is what a keeper knows of one endpoint.
type endpoint struct {
	name         string
	inUse        int
	latency      float64
	answers      int
	failures     int
	ejections    int
	ejectedUntil core.Millis
	shedUntil    core.Millis
	warmUpStart  core.Millis
	report       core.Report
	reportAt     core.Millis
	lastUsed     uint64
	// unknown counts slots that a former keeper may have given out, until unknownUntil.
	unknown      int
	unknownUntil core.Millis
	unknownFrom  core.Millis
}

// warmSlots returns how many slots may be used: all when warm, a growing part while the endpoint warms up.
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

// recordReport corrects what a former keeper may have given out by the endpoint's own count.
func (e *endpoint) recordReport(now core.Millis, r core.Report) {
	e.report, e.reportAt = r, now
	if now < e.unknownUntil && now >= e.unknownFrom {
		e.unknown = min(e.unknown, max(0, r.InFlight-e.inUse))
	}
	if r.Cold && e.warmUpStart == 0 {
		e.warmUpStart = now
	}
}

// recordResult learns from an attempt's end.
func (e *endpoint) recordResult(now core.Millis, r Result) {
	if r.Report != nil {
		e.recordReport(now, *r.Report)
	}
	switch {
	case r.Unused:
		return
	case r.Shed:
		e.shedUntil = now + shedBackOff
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

// pick chooses the endpoint with the smallest expected wait among those with a free slot; ties go to the one used longest ago.
func (k *keeper) pick(now core.Millis, exclude []string) *endpoint {
	var best *endpoint
	bestScore := 0.0
	ejected := k.ejected(now)
	median := k.medianLatency()
	for _, name := range k.settings.Endpoints {
		e := k.endpoints[name]
		if !k.usable(now, e, ejected) || slices.Contains(exclude, name) {
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

// limit returns the slots that this keeper may use of an endpoint, fewer when the endpoint is much slower than the others.
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

// usable tells whether an endpoint may get new work.
func (k *keeper) usable(now core.Millis, e *endpoint, ejected map[string]bool) bool {
	return !ejected[e.name] && now >= e.shedUntil && !k.leaving(e.name)
}

func (k *keeper) leaving(name string) bool {
	return slices.Contains(k.settings.Leaving, name) || k.node.platformLeaving[name]
}

// ejected lists the endpoints that failures took out: at most a third of all, and never the last one; those whose time ends first are let in first.
func (k *keeper) ejected(now core.Millis) map[string]bool {
	var out []*endpoint
	for _, name := range k.settings.Endpoints {
		e := k.endpoints[name]
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
		set[e.name] = true
	}
	return set
}

func (k *keeper) medianLatency() float64 {
	var all []float64
	for _, name := range k.settings.Endpoints {
		if e := k.endpoints[name]; e.answers > 0 {
			all = append(all, e.latency)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}
