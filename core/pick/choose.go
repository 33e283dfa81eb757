package pick

import (
	"cmp"
	"math"
	"slices"

	"clementinelock/core"
)

// Request describes a request that needs an endpoint.
type Request struct {
	Service string
	// Object identifies the object that the request is about; it may be empty.
	Object string
	// Remaining is the time until the request's deadline.
	Remaining core.Millis
	// Regions lists the regions that may serve the request; none means all.
	Regions []string
	// Tried lists the endpoints that were tried before.
	Tried []string
	// Objective is the latency objective of the request; 0 means that it is not known.
	Objective core.Millis
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// FreeOnly requires an endpoint with a free slot.
	FreeOnly bool
}

// maxWait returns how long a request may wait for a slot. A request that would wait longer is refused, and its
// caller retries later, because answers that miss the objective serve no caller better. With a free slot, a
// request is refused only if it cannot finish before its deadline.
func (r Request) maxWait(share float64, serviceTime core.Millis) core.Millis {
	budget := r.Remaining - serviceTime
	if r.Objective == 0 || budget < 0 {
		return budget
	}
	byObjective := core.MillisOf(share*float64(r.Objective)) - serviceTime
	return min(budget, max(byObjective, core.Millis(minWaitFactor*float64(serviceTime))))
}

// Choice is the endpoint chosen for a request, with the figures that decided it.
type Choice struct {
	Endpoint *Endpoint
	// Wait is the expected time in the endpoint's queue, ServiceTime the expected time after that.
	Wait        core.Millis
	ServiceTime core.Millis
	Cold        bool
	// Load is the estimated number of requests at the endpoint, Usable the number of candidates in its region.
	Load   float64
	Usable int
	// Objective is the latency objective of the request.
	Objective core.Millis
	// Affinity is the endpoint's affinity to the request's object.
	Affinity Affinity
	// LoadAge is the age of the endpoint's report that Load is based on; -1 without a report.
	LoadAge core.Millis
	// ContactAge is how old this host's contact with a control host was, -1 before the first.
	ContactAge core.Millis
	// chosenAt is when the endpoint was chosen.
	chosenAt core.Millis
}

// Choose returns the endpoint that is expected to answer the request first, within the limit on shifts between
// regions, and counts the request there until Done. It refuses requests that cannot be answered in time.
func (t *Table) Choose(now core.Millis, r Request) (Choice, *core.Refusal) {
	s := t.service(r.Service)
	keeper := s.keeperOf(r.Object, r.Regions)
	best := t.chooseRegion(now, s, r, keeper, t.bestPerRegion(now, s, r, keeper))
	if best.Endpoint == nil {
		return best.Choice, t.refuseUnavailable(now, s, r)
	}
	if maxWait := r.maxWait(s.objectiveShare, best.ServiceTime); best.Wait > maxWait {
		refusal := core.Refuse(core.Overloaded, core.RanNo, "service %q: the shortest wait is %s before %s of work, the longest that is worth it is %s", r.Service, best.Wait, best.ServiceTime, maxWait)
		refusal.RetryAfter = t.retryAfter(best.Wait)
		return best.Choice, refusal
	}
	best.chosenAt, best.ContactAge = now, t.contactAge(now)
	t.addInFlight(now, r, best.Choice)
	return best.Choice, nil
}

// candidate is a choice with its cost in milliseconds.
type candidate struct {
	Choice
	cost float64
}

// bestPerRegion returns the best endpoint of each region, the cheapest first. Regions other than the object's keeper have to
// fetch the object's data.
func (t *Table) bestPerRegion(now core.Millis, s *service, r Request, keeper string) []candidate {
	prefs := t.preferencesOf(now, s, r.Object)
	found := make([]candidate, 0, expectedRegions)
	for _, e := range s.endpoints {
		if !e.isUsable(now) || t.hasEnded(now, e) || !regionAllowed(r.Regions, e.Region) || slices.Contains(r.Tried, e.ID) {
			continue
		}
		if !t.isWithinColdRate(now, e) {
			continue
		}
		cost, wait := t.cost(now, s, e, r.Object, prefs)
		if keeper != "" && e.Region != keeper && !e.isWarmFor(now, r.Object) {
			cost += s.otherRegionCost(r)
		}
		if r.FreeOnly && wait > 0 {
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
			*c = candidate{Choice{Endpoint: e, Wait: core.MillisOf(wait), ServiceTime: core.Millis(s.serviceTime), Cold: t.mayBeCold(now, e), Load: e.load(now), Usable: c.Usable, Objective: r.Objective, Affinity: prefs.affinityOf(now, e, r.Object), LoadAge: e.reportAge(now)}, cost}
		}
	}
	slices.SortStableFunc(found, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	return found
}

// chooseRegion chooses between the regions, which are sorted by cost: the cheapest one that can answer in time and to
// which requests may shift. If the limit on shifts excludes all that can, a request goes where it exceeds the limit
// least, provided that the local region can answer in time, and is refused otherwise. A request that the cheapest region
// of all can't answer in time is refused too: under overload a dearer one takes slots from other requests for it, and
// more of them end without an answer. The limit is wider for a request whose cheapest region keeps its object: the objects of
// a region are the same at all hosts, while by chance alone the few requests of one host differ by more.
func (t *Table) chooseRegion(now core.Millis, s *service, r Request, keeper string, found []candidate) candidate {
	if len(found) == 0 {
		return candidate{}
	}
	t.shift.observe(now, found[0].Endpoint.Region)
	local := slices.IndexFunc(found, func(c candidate) bool { return c.Endpoint.Region == t.Region })
	inTime := func(c candidate) bool { return c.Wait <= r.maxWait(s.objectiveShare, c.ServiceTime) }
	switch {
	case r.FreeOnly && t.shift.excess(now, found[0].Endpoint.Region) > 0:
		return candidate{}
	case local < 0, len(found) == 1, !inTime(found[0]):
		return found[0]
	case found[0].Endpoint.Region == keeper && t.shift.excessBeyond(now, keeper, minKeeperShiftRequests) == 0:
		return found[0]
	}
	least, leastExcess := -1, math.Inf(1)
	for i, c := range found {
		if !inTime(c) {
			continue
		}
		excess := t.shift.excess(now, c.Endpoint.Region)
		if excess == 0 {
			return c
		}
		if excess < leastExcess {
			least, leastExcess = i, excess
		}
	}
	if !inTime(found[local]) {
		return found[local]
	}
	return found[least]
}

// addInFlight counts a request at its endpoint.
func (t *Table) addInFlight(now core.Millis, r Request, c Choice) {
	e := c.Endpoint
	e.inFlight++
	t.spendLimit(now, e)
	t.shift.record(e.Region)
	e.recordSent(now)
	e.recordObject(now, r.Object)
}

// retryAfter spreads the retries of callers over the time in which the queue is expected to shrink.
func (t *Table) retryAfter(wait core.Millis) core.Millis {
	return max(100, wait/4+core.Millis(t.Rand.Int64N(int64(wait)/2+1)))
}

func regionAllowed(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// cost returns the expected delay of a request at the endpoint, in milliseconds; wait is its queueing part.
func (t *Table) cost(now core.Millis, s *service, e *Endpoint, object string, prefs preferences) (cost, wait float64) {
	wait = e.wait(now) * s.serviceTime
	cost = wait + e.failureRate*failCost*s.serviceTime
	if t.mayBeCold(now, e) {
		cost += coldCost * s.serviceTime
	}
	if e.Region != t.Region {
		// The spread divides the objects that leave the region among the other regions.
		cost += float64(crossRegionDelay) + float64(rendezvous(object, e.Region)%crossRegionSpread)
	}
	if object == "" {
		// Requests without an object go to the least loaded endpoint.
		return cost + e.load(now)*s.serviceTime*knownFetchCost, wait
	}
	return cost + fetchCost[prefs.affinityOf(now, e, object)]*s.serviceTime, wait
}

// fetchCost is the cost of fetching an object's data by affinity, in units of the service time.
var fetchCost = map[Affinity]float64{First: 0, Second: secondFetchCost, Known: knownFetchCost, Other: otherFetchCost}
