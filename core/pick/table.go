package pick

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"clementinelock/core"
	"clementinelock/core/fleet"
	"clementinelock/core/retry"
	"clementinelock/core/roster"
	"clementinelock/core/routes"
)

// Weights of the choice; a request's usual work is the unit of waiting.
const (
	// farAway is the way to another region and back, with the connection's rounds.
	farAway = 45 * core.Millisecond
	// farSpread is what an object may prefer one far region to another by, in milliseconds.
	farSpread = 16
	// notAtHome is what an object's data costs that the endpoint has to fetch, as part of the usual work.
	notAtHome = 2.5
	// warmElsewhere keeps an object at its home while that has room.
	warmElsewhere = 0.15
	// secondHome keeps an object at its first home while that has a free slot.
	secondHome = 2.0
	coldWork   = 1.0
	failCost   = 3.0
	// The usual work follows short answers faster than long ones, so that it is that of requests whose data was at hand.
	shorterWeight = 0.1
	longerWeight  = 0.03
	firstWork     = 150 * core.Millisecond
	coldWindow    = 1100 * core.Millisecond
	// coldPart leaves room for requests that other hosts sent late.
	coldPart = 0.7
	// coldHosts is up to which part of the rate each host of the zone may send one request at any moment.
	coldHosts = 0.9
	// coldTail keeps the limit for one more second, since the bound holds for every second in which an endpoint was cold.
	coldTail = 1200 * core.Millisecond
	// Queue and work may take a part of a route's objective. The part follows what answers show: each late one takes away several times what one in time gives back. leastWait keeps a short queue behind work that takes the whole objective.
	leastPart = 0.5
	mostPart  = 1.0
	lateStep  = 0.02
	goodStep  = 0.004
	leastWait = 0.35
	// coldAgain is how long the endpoints of a zone that is taken back count as cold while no later list tells otherwise.
	coldAgain = 4 * core.Second
	// listLag is by how much the platform's list may lag, with a reading's own length.
	listLag = core.Second
	// retryPart of the deployment's budget of extra attempts is spent, since hosts that start anew forget what they spent.
	retryPart = 0.8
	// beginPart of what may be saved up is there at a host's start.
	beginPart = 0.5
)

// Bounds are the limits of the deployment that choices keep.
type Bounds struct {
	// ColdOverrun and ColdSlack bound a cold endpoint's requests per second as a multiple of its rate plus a number.
	ColdOverrun float64
	ColdSlack   float64
	// RetryRatio and RetrySlack bound a service's extra attempts over all hosts, as a part of its requests plus a number.
	RetryRatio float64
	RetrySlack float64
}

// Table is one entry host's view of all endpoints. Set the exported fields before use; calls must not overlap.
type Table struct {
	Region string
	Zone   string
	// Regions maps availability zones to their regions.
	Regions map[string]string
	Bounds  Bounds
	Rand    *rand.Rand

	endpoints  map[string]*Endpoint
	services   map[string]*service
	configured map[string]routes.Service
	evacuated  map[string]bool
	returned   map[string]core.Millis
	drift      drift
	localSlots map[string]int
	entries    fleet.EntryCounts
	// OnGone is called with the address of an endpoint that is not used any more.
	OnGone func(address string)
	// Log is told what this host newly believes of an endpoint; it may be nil.
	Log func(part, text string)
}

// service is what this host knows of one service.
type service struct {
	endpoints []*Endpoint
	work      float64
	// part of the objective is what queue and work may take.
	part   float64
	budget retry.Budget
}

// Update brings a new view into force.
func (t *Table) Update(now core.Millis, view fleet.View, table *routes.Table) {
	if t.endpoints == nil {
		t.endpoints, t.services = map[string]*Endpoint{}, map[string]*service{}
		t.evacuated, t.returned = map[string]bool{}, map[string]core.Millis{}
	}
	if table != nil {
		t.configured = table.Services
	}
	t.entries = view.Entries
	t.noteEvacuations(now, view)
	listed := make(map[string]bool, len(view.Endpoints))
	for _, entry := range view.Endpoints {
		listed[entry.ID] = true
		t.take(now, view.ListAge, entry)
	}
	for id, e := range t.endpoints {
		if !listed[id] && view.ListKnown {
			e.gone = true
			delete(t.endpoints, id)
			t.OnGone(e.Address)
		}
	}
	t.group()
	t.noteLocalSlots(now)
}

// noteLocalSlots lifts the limit on moving work when the own region's endpoints have become fewer or more.
func (t *Table) noteLocalSlots(now core.Millis) {
	slots := map[string]int{}
	here, all := 0, 0
	for _, e := range t.endpoints {
		if e.Draining || e.evacuated {
			continue
		}
		all += e.Slots
		if e.Region == t.Region {
			here += e.Slots
			slots[e.Service] += e.Slots
		}
	}
	t.drift.expect(here, all, t.entries)
	if t.localSlots != nil && !maps.Equal(slots, t.localSlots) {
		t.drift.free(now)
	}
	t.localSlots = slots
}

// noteEvacuations takes the evacuated availability zones. The endpoints of one that is taken back count as cold until a list tells that was read well after.
func (t *Table) noteEvacuations(now core.Millis, view fleet.View) {
	next := map[string]bool{}
	for _, zone := range view.Evacuated {
		next[zone] = true
	}
	for zone := range t.evacuated {
		if !next[zone] {
			t.returned[zone] = now
		}
	}
	t.evacuated = next
	for zone, at := range t.returned {
		if now-view.ListAge > at+listLag || now-at > coldAgain {
			delete(t.returned, zone)
		}
	}
}

func (t *Table) take(now, age core.Millis, entry roster.Entry) {
	e := t.endpoints[entry.ID]
	if e == nil || e.Address != entry.Address || e.Service != entry.Service {
		e = &Endpoint{}
		t.endpoints[entry.ID] = e
	}
	if entry.ColdFor > 0 {
		e.coldUntil = max(e.coldUntil, now+entry.ColdFor-min(age, entry.ColdFor)+coldTail)
	}
	e.Entry, e.Region = entry, t.Regions[entry.Zone]
	e.evacuated = t.evacuated[entry.Zone]
	e.zoneCold = 0
	if at, back := t.returned[entry.Zone]; back {
		e.zoneCold = at + coldAgain
	}
}

func (t *Table) group() {
	for _, s := range t.services {
		s.endpoints = s.endpoints[:0]
	}
	ids := make([]string, 0, len(t.endpoints))
	for id := range t.endpoints {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		e := t.endpoints[id]
		s := t.service(e.Service)
		s.endpoints = append(s.endpoints, e)
	}
}

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{work: float64(firstWork), part: mostPart}
		t.services[name] = s
	}
	return s
}

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
	// LoadAge is how old the endpoint's own report is, which Load rests on.
	LoadAge core.Millis
}

// Choose returns the endpoint where the request is expected to be answered first, as far as work may move between regions, and counts it there until Done; it refuses what can't be answered in time.
func (t *Table) Choose(now core.Millis, w Want) (Choice, *core.Refusal) {
	s := t.service(w.Service)
	here, away := t.best(now, s, w)
	best := t.moderate(now, s, w, here, away)
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

// best returns the best endpoint in the own region and the best in another one.
func (t *Table) best(now core.Millis, s *service, w Want) (here, away candidate) {
	places := t.homes(now, s, w.Object)
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
		side := &here
		if e.Region != t.Region {
			side = &away
		}
		side.Usable++
		if side.Endpoint == nil || cost < side.cost {
			side.cost = cost
			side.Choice = Choice{Endpoint: e, Wait: core.Millis(wait), Work: core.Millis(s.work), Cold: e.isCold(now), Load: e.load(now), Usable: side.Usable, Objective: w.Objective, Place: places.placeOf(now, e, w.Object), LoadAge: now - e.othersAt}
		}
	}
	return here, away
}

// moderate chooses between the regions, so that work moves no faster than the limit.
func (t *Table) moderate(now core.Millis, s *service, w Want, here, away candidate) candidate {
	if here.Endpoint == nil {
		return away
	}
	if away.Endpoint == nil || len(w.Tried) > 0 {
		return cheaper(here, away)
	}
	leaves := away.cost < here.cost
	t.drift.note(now, leaves)
	switch {
	case leaves && !t.drift.mayLeave(now):
		leaves = false
	case !leaves && t.drift.mustLeave(now) && away.Wait <= w.mostWait(s.part, away.Work):
		leaves = true
	}
	if !leaves {
		return here
	}
	t.drift.left()
	return away
}

func cheaper(here, away candidate) candidate {
	if away.Endpoint != nil && away.cost < here.cost {
		return away
	}
	return here
}

// begin counts a request at its endpoint.
func (t *Table) begin(now core.Millis, w Want, c Choice) {
	e := c.Endpoint
	e.inFlight++
	e.usedAt = now
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
	rate := t.configured[e.Service].ColdPerSecond*t.Bounds.ColdOverrun + t.Bounds.ColdSlack
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

// MayRetry takes one extra attempt of the service from this host's part of the budget.
func (t *Table) MayRetry(name string) bool {
	return t.service(name).budget.Spend()
}

// NoteRequest counts a caller's request towards the service's budget of extra attempts.
func (t *Table) NoteRequest(name string) {
	s := t.service(name)
	s.budget.Ratio = retryPart * t.Bounds.RetryRatio
	s.budget.Most = max(1, retryPart*t.Bounds.RetrySlack/float64(max(1, t.entries.All)))
	s.budget.Begin(beginPart * s.budget.Most)
	s.budget.First()
}

// Outcome tells how a sending ended.
type Outcome int

// The outcomes of a sending.
const (
	// Good is a whole answer of the endpoint, whatever its status.
	Good Outcome = iota
	// Failed is an answer that tells of the endpoint's own failure.
	Failed
	// Shed means that the endpoint turned the request away.
	Shed
	// Unreached means that no connection could be had.
	Unreached
	// Lost means that the answer broke off, was spoiled or did not come.
	Lost
	// Misled means that another endpoint has the address now.
	Misled
	// GivenUp means that the sender ended it, which says nothing of the endpoint.
	GivenUp
)

var outcomeNames = []string{"Good", "Failed", "Shed", "Unreached", "Lost", "Misled", "GivenUp"}

// String writes the outcome's name.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Done takes the end of a sending; took is its length, report the endpoint's account of its load, or nil.
func (t *Table) Done(now core.Millis, c Choice, outcome Outcome, took core.Millis, report *core.Report) {
	e := c.Endpoint
	e.inFlight--
	switch outcome {
	case Good:
		e.noteGood()
		e.noteReport(now, report)
		t.noteWork(e, took, report)
		t.notePart(c, took)
	case Failed:
		e.noteReport(now, report)
		t.noteFailure(now, e, outcome)
	case Shed:
		e.noteShed(now)
	case Unreached, Lost:
		t.noteFailure(now, e, outcome)
	case Misled:
		e.gone = true
		t.log("Endpoint %s of %s at %s is another one now; it is not used any more.", e.ID, e.Service, e.Address)
	case GivenUp:
	}
}

// noteFailure counts a failure and tells when the endpoint is left alone for it.
func (t *Table) noteFailure(now core.Millis, e *Endpoint, outcome Outcome) {
	if e.noteFailure(now, outcome == Unreached) {
		t.log("Endpoint %s of %s in %s is left alone for %s after %d failures, the last %s.", e.ID, e.Service, e.Zone, e.stopFor, e.failures, outcome)
	}
}

func (t *Table) log(format string, args ...any) {
	if t.Log != nil {
		t.Log("endpoints", fmt.Sprintf(format, args...))
	}
}

// noteWork learns the service's usual work from answers that waited for nothing.
func (t *Table) noteWork(e *Endpoint, took core.Millis, report *core.Report) {
	if report != nil && report.Queue > 0 || e.inFlight >= e.Slots {
		return
	}
	s := t.service(e.Service)
	weight := shorterWeight
	if float64(took) > s.work {
		weight = longerWeight
	}
	s.work += weight * (float64(took) - s.work)
}

// notePart learns from the requests that were expected to wait how long a queue may be.
func (t *Table) notePart(c Choice, took core.Millis) {
	if c.Objective == 0 || c.Wait == 0 {
		return
	}
	s := t.service(c.Endpoint.Service)
	if took > c.Objective {
		s.part = max(leastPart, s.part-lateStep)
		return
	}
	s.part = min(mostPart, s.part+goodStep)
}

// Usual returns the usual work of a service.
func (t *Table) Usual(name string) core.Millis {
	return core.Millis(t.service(name).work)
}
