package pick

import (
	"cmp"
	"math"
	"slices"

	"clementinelock/core"
)

// Want describes a request that needs an endpoint.
type Want struct {
	Service string
	// Object is the value that requests for one object have in common, or empty.
	Object string
	// Remaining is the time until the request's deadline.
	Remaining core.Millis
	// Regions lists the only regions that may serve it; none sets no limit.
	Regions []string
	// Tried lists the endpoints that were tried already.
	Tried []string
	// Objective is the latency within which the answer is worth most; 0 means that it is not known.
	Objective core.Millis
	// FreeOnly asks for an endpoint with a free slot.
	FreeOnly bool
}

// mostWait is how long a request may wait for a slot: a queue that makes answers miss their objective serves nobody better, so that what is above it comes back later instead. Behind a free slot nothing is refused that can still be done in its time.
func (w Want) mostWait(part float64, work core.Millis) core.Millis {
	left := w.Remaining - work
	if w.Objective == 0 || left < 0 {
		return left
	}
	worth := core.Millis(part*float64(w.Objective)) - work
	return min(left, max(worth, core.Millis(leastWait*float64(work))))
}

// Choice is the endpoint for a request, with the inputs that decided it.
type Choice struct {
	Endpoint *Endpoint
	// Wait is how long the request is expected to wait there, Work how long it then takes.
	Wait core.Millis
	Work core.Millis
	Cold bool
	// Load is the endpoint's estimated number of requests, Usable how many endpoints could be chosen.
	Load   float64
	Usable int
	// Objective is that of the request.
	Objective core.Millis
	// Place is what the endpoint is to the request's object.
	Place Place
	// LoadAge is how old the endpoint's own report is, which Load rests on; -1 without one.
	LoadAge core.Millis
}

// Choose returns the endpoint where the request is expected to be answered first, as far as work may move between regions, and counts it there until Done; it refuses what can't be answered in time.
func (t *Table) Choose(now core.Millis, w Want) (Choice, *core.Refusal) {
	s := t.service(w.Service)
	best := t.moderate(now, s, w, t.best(now, s, w))
	if best.Endpoint == nil {
		return best.Choice, core.Refuse(core.NoUpstream, core.RanNo, "no endpoint of service %q can be used: %d listed", w.Service, len(s.endpoints))
	}
	if most := w.mostWait(s.part, best.Work); best.Wait > most {
		refusal := core.Refuse(core.Overloaded, core.RanNo, "service %q: the shortest wait is %s before %s of work, the longest that is worth it is %s", w.Service, best.Wait, best.Work, most)
		refusal.RetryAfter = t.retryAfter(best.Wait)
		return best.Choice, refusal
	}
	t.begin(now, w, best.Choice)
	return best.Choice, nil
}

// candidate is a choice with its cost, in milliseconds.
type candidate struct {
	Choice
	cost float64
}

// best returns the best endpoint of each region.
func (t *Table) best(now core.Millis, s *service, w Want) []candidate {
	places := t.homes(now, s, w.Object)
	found := make([]candidate, 0, mostRegions)
	for _, e := range s.endpoints {
		if !e.usable(now) || !allowed(w.Regions, e.Region) || slices.Contains(w.Tried, e.ID) {
			continue
		}
		if e.isCold(now) && !t.coldRoom(now, e) {
			continue
		}
		cost, wait := t.cost(now, s, e, w.Object, places)
		if w.FreeOnly && wait > 0 {
			continue
		}
		i := slices.IndexFunc(found, func(c candidate) bool { return c.Endpoint.Region == e.Region })
		if i < 0 {
			i = len(found)
			found = append(found, candidate{cost: math.Inf(1)})
		}
		c := &found[i]
		c.Usable++
		if cost < c.cost {
			*c = candidate{Choice{Endpoint: e, Wait: core.Millis(wait), Work: core.Millis(s.work), Cold: e.isCold(now), Load: e.load(now), Usable: c.Usable, Objective: w.Objective, Place: places.placeOf(now, e, w.Object), LoadAge: e.reportAge(now)}, cost}
		}
	}
	slices.SortStableFunc(found, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	return found
}

// moderate chooses between the regions, the cheapest first, so that work moves no faster than the limit.
func (t *Table) moderate(now core.Millis, s *service, w Want, found []candidate) candidate {
	if len(found) == 0 {
		return candidate{}
	}
	here := slices.IndexFunc(found, func(c candidate) bool { return c.Endpoint.Region == t.Region })
	if here < 0 || len(found) == 1 || len(w.Tried) > 0 {
		return found[0]
	}
	t.drift.note(now, found[0].Endpoint.Region)
	chosen := found[here]
	for i, c := range found {
		// Work that has to leave does so where it can be done.
		inTime := i == 0 || c.Wait <= w.mostWait(s.part, c.Work)
		if inTime && t.drift.mayGo(now, c.Endpoint.Region) {
			chosen = c
			break
		}
	}
	t.drift.went(chosen.Endpoint.Region)
	return chosen
}

// begin counts a request at its endpoint.
func (t *Table) begin(now core.Millis, w Want, c Choice) {
	e := c.Endpoint
	e.inFlight++
	if c.Cold {
		e.coldAt = append(e.coldAt, now)
	}
	e.noteObject(now, w.Object)
}

// retryAfter spreads callers over the time in which the queue is expected to shrink.
func (t *Table) retryAfter(wait core.Millis) core.Millis {
	return max(100, wait/4+core.Millis(t.Rand.Int64N(int64(wait)/2+1)))
}

func allowed(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// cost is what a request would wait for at the endpoint, in milliseconds; wait is the part that is the queue.
func (t *Table) cost(now core.Millis, s *service, e *Endpoint, object string, places homes) (cost, wait float64) {
	wait = e.wait(now) * s.work
	cost = wait + e.failing*failCost*s.work
	if e.isCold(now) {
		cost += coldWork * s.work
	}
	if e.Region != t.Region {
		// Objects that leave the region divide themselves among the others.
		cost += float64(farAway) + float64(rendezvous(object, e.Region)%farSpread)
	}
	if object == "" {
		// Requests without an object go to the least loaded endpoint.
		return cost + e.load(now)*s.work*warmElsewhere, wait
	}
	return cost + fetchCost[places.placeOf(now, e, object)]*s.work, wait
}

// fetchCost is what an object's data costs at an endpoint, as part of the usual work.
var fetchCost = map[Place]float64{First: 0, Second: secondHome, Known: warmElsewhere, Other: notAtHome}

// coldRoom tells whether this host may send a cold endpoint one more request. Only hosts of its availability zone may, each its part of the endpoint's rate.
func (t *Table) coldRoom(now core.Millis, e *Endpoint) bool {
	if e.Zone != t.Zone {
		return false
	}
	rate := t.configured[e.Service].ColdRequestsPerSecond*t.Bounds.ColdOverrun + t.Bounds.ColdSlack
	hosts := float64(max(1, t.entries.Zone))
	part := coldPart * rate / hosts
	window := coldWindow
	if part < 1 {
		if hosts > coldHosts*rate {
			return false
		}
		// Each host sends one request in a longer time; even all of them in one second stay within the rate.
		window = core.Millis(float64(window) / part)
		part = 1
	}
	e.coldAt = slices.DeleteFunc(e.coldAt, func(at core.Millis) bool { return now-at >= window })
	return len(e.coldAt) < int(part)
}
