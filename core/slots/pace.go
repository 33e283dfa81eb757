package slots

import "clementinelock/core"

const (
	// limitFraction is the part of an endpoint's limit that a keeper uses; the rest is for slots that were granted
	// before the limit was known.
	limitFraction = 0.9
	// minLimit bounds the interval of requests to an endpoint that takes hardly any, in requests per second.
	minLimit = 0.25
)

// pace spaces the slots that a keeper grants at an endpoint that named a limit of requests per second.
type pace struct {
	// interval is the time between two grants; 0 means that the endpoint named no limit.
	interval core.Millis
	// namedAt is when the endpoint named its limit last, nextAt when the next slot may be granted.
	namedAt core.Millis
	nextAt  core.Millis
}

// admits reports whether a slot may be granted now.
func (p *pace) admits(now core.Millis) bool {
	return p.interval == 0 || now >= p.nextAt
}

// spend counts a slot that is granted.
func (p *pace) spend(now core.Millis) {
	p.nextAt = now + p.interval
}

// record applies what the answer to a request says. An answer without a limit ends it if its slot was granted after the
// limit was named last.
func (p *pace) record(now, grantedAt core.Millis, r Result) {
	switch {
	case r.LimitNamed:
		next := core.Millis(float64(core.Second) / (limitFraction * max(minLimit, r.Limit)))
		if p.interval == 0 {
			p.nextAt = now + next
		}
		p.interval, p.namedAt = next, now
	case r.Answered && p.interval > 0 && grantedAt > p.namedAt:
		*p = pace{}
	}
}

// paceOpensIn returns how long it takes until the first endpoint that is held back by its limit takes a request, 0 if
// none is.
func (k *keeper) paceOpensIn(now core.Millis) core.Millis {
	first := core.Millis(0)
	for _, address := range k.settings.Endpoints {
		e := k.endpoints[address]
		if wait := e.pace.nextAt - now; !e.pace.admits(now) && !k.leaving(address) && (first == 0 || wait < first) {
			first = wait
		}
	}
	return first
}
