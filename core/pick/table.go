package pick

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"clementinelock/core"
	"clementinelock/core/fleet"
	"clementinelock/core/retry"
	"clementinelock/core/roster"
	"clementinelock/core/routes"
)

// Weights of the choice, in units of the service time unless they have another unit; docs/PLATFORM.md lists
// the alternatives that were weighed.
const (
	// crossRegionDelay is the round trip to another region, 20 ms each way, with some time at its hosts.
	crossRegionDelay = 45 * core.Millisecond
	// crossRegionSpread is the largest difference between other regions in the cost of an object, in
	// milliseconds.
	crossRegionSpread = 16
	// otherFetchCost is the cost of an object's data that the endpoint has to fetch: requests then take 3.3
	// times as long.
	otherFetchCost = 2.5
	// knownFetchCost keeps an object at its preferred endpoint while that has room. It also weighs the load
	// for requests without an object.
	knownFetchCost = 0.15
	// secondFetchCost keeps an object at its first endpoint while that has a free slot.
	secondFetchCost = 2.0
	// coldCost is the additional time that a cold endpoint takes: requests take twice as long in the users'
	// deployments.
	coldCost = 1.0
	// failCost is the cost of an endpoint whose recent attempts all failed.
	failCost = 3.0
	// decreaseWeight and increaseWeight are the weights of the newest answer in the estimated service time. It
	// follows short answers faster than long ones, so that it is that of requests whose data was at hand.
	decreaseWeight = 0.1
	increaseWeight = 0.03
	// initialServiceTime is assumed until the first answers arrive.
	initialServiceTime = 150 * core.Millisecond
	// coldGraceInterval keeps the limit for one more second, because the bound holds for every second in which
	// an endpoint was cold.
	coldGraceInterval = 1200 * core.Millisecond
	// Queueing and service may take a share of a route's objective. Each late answer lowers the share by several
	// times as much as an answer on time raises it. minWaitFactor allows a short queue where the service time
	// takes the whole objective.
	minObjectiveShare = 0.5
	maxObjectiveShare = 1.0
	lateStep          = 0.02
	onTimeStep        = 0.004
	minWaitFactor     = 0.35
	// returnColdTimeout is how long the endpoints of a zone count as cold after the end of its evacuation
	// unless a later list shows otherwise.
	returnColdTimeout = 4 * core.Second
	// maxListLag is by how much the platform's list may lag, including the duration of a read.
	maxListLag = core.Second
	// retryBudgetFraction of the deployment's budget of extra attempts is spent, because restarted hosts
	// forget what they spent.
	retryBudgetFraction = 0.8
	// minHostsPerZone is the number of entry hosts that is assumed for an availability zone while fewer are
	// known.
	minHostsPerZone = 2
	// initialBudgetFraction of the largest budget is available when a host starts.
	initialBudgetFraction = 0.5
)

// Bounds are the deployment's limits that choices observe.
type Bounds struct {
	// ColdOverrun and ColdSlack bound a cold endpoint's requests per second to a multiple of its rate plus a
	// number.
	ColdOverrun float64
	ColdSlack   float64
	// RetryRatio and RetrySlack bound a service's extra attempts on all hosts to a share of its requests plus
	// a number.
	RetryRatio float64
	RetrySlack float64
	// MaxShift is the share of a region's requests that may change their region from one window of 2 s to the next; 0
	// means 0.15.
	MaxShift float64
}

// Table is one entry host's view of all endpoints. Set the exported fields before use; calls must not overlap.
type Table struct {
	// Name is that of this host.
	Name string
	// StartedAt is when this process started; until then a former one of the host may have sent requests. 0 means that there
	// was none.
	StartedAt core.Millis
	Region    string
	Zone      string
	// RegionByZone maps availability zones to their regions.
	RegionByZone map[string]string
	Bounds       Bounds
	Rand         *rand.Rand

	endpoints  map[string]*Endpoint
	services   map[string]*service
	configured map[string]routes.Service
	evacuated  map[string]bool
	// returnedAt holds when the evacuation of a zone ended, while its endpoints count as cold.
	returnedAt map[string]core.Millis
	shift      shiftLimiter
	// localSlots holds the slots of the local region by service.
	localSlots map[string]int
	entries    fleet.EntryCounts
	// maxHosts is the largest number of entry hosts seen, maxRegionHosts that of the local region.
	maxHosts       int
	maxRegionHosts int
	// rank is that of this host in its region, by which hosts take turns, as long as all hosts of the region were known: those in
	// contact are numbered anew without the others, which keep their ranks.
	rank int
	// contactAt is when a control host last had the newest state and told this host of it, 0 before the first.
	contactAt core.Millis
	// contactLease is how long after a contact the host's knowledge of endpoints is used, 0 if contact is not recorded.
	contactLease core.Millis
	// removed holds what outlasts the rows of endpoints that were removed lately, by id and address.
	removed map[string]removedEndpoint
	// Notices counts what endpoints said about themselves.
	Notices NoticeCounts
	// OnRemove is called with the address of an endpoint that is no longer used.
	OnRemove func(address string)
	// IsConnectedSince reports whether there is an idle connection to an address that was opened before a time; connections
	// end with the endpoint's process. It may be nil.
	IsConnectedSince func(address string, at core.Millis) bool
	// Log receives changes in this host's view of an endpoint; it may be nil.
	Log func(part, text string)
}

// service is this host's view of one service.
type service struct {
	endpoints []*Endpoint
	// serviceTime is the estimated service time, in milliseconds.
	serviceTime float64
	// longestRun is the longest run of late, at longestRunAt, in milliseconds.
	longestRun   float64
	longestRunAt core.Millis
	// objectiveShare is the share of the objective that queueing and service may take.
	objectiveShare float64
	// shares are the regions' shares in the objects; without any, each region keeps the data of all.
	shares []regionShare
	budget retry.Budget
}

// Update applies a new view, and a new routing table unless it is nil.
func (t *Table) Update(now core.Millis, view fleet.View, table *routes.Table) {
	if t.endpoints == nil {
		t.endpoints, t.services = map[string]*Endpoint{}, map[string]*service{}
		t.evacuated, t.returnedAt = map[string]bool{}, map[string]core.Millis{}
	}
	if table != nil {
		t.configured = table.Services
	}
	t.shift.maxShift = cmp.Or(t.Bounds.MaxShift, defaultMaxShift)
	t.entries = view.Entries
	t.maxHosts = max(t.maxHosts, view.Entries.All)
	t.maxRegionHosts = max(t.maxRegionHosts, view.Entries.Region)
	if view.Entries.Rank > 0 && (t.rank == 0 || view.Entries.Region >= t.maxRegionHosts) {
		t.rank = view.Entries.Rank
	}
	t.updateEvacuations(now, view)
	listed := make(map[string]bool, len(view.Endpoints))
	for _, entry := range view.Endpoints {
		listed[entry.ID] = true
		t.updateEndpoint(now, view.ListAge, entry)
	}
	for id, e := range t.endpoints {
		if !listed[id] && view.ListKnown {
			e.gone = true
			delete(t.endpoints, id)
			t.keepRemoved(now, e)
			t.OnRemove(e.Address)
		}
	}
	for _, each := range view.Ended {
		if each.ColdFor > 0 {
			t.RecordStarted(now-each.Age, each.Endpoint, each.ColdFor)
		} else {
			t.RecordEnded(now-each.Age, each.Endpoint)
		}
	}
	t.groupByService()
	t.updateLocalSlots(now)
	t.updateShares()
}

// updateLocalSlots lifts the limit on shifts when the slots of the local region have changed.
func (t *Table) updateLocalSlots(now core.Millis) {
	slots := map[string]int{}
	inRegion := map[string]int{}
	for _, e := range t.endpoints {
		if e.Draining || e.evacuated {
			continue
		}
		inRegion[e.Region] += e.Slots
		if e.Region == t.Region {
			slots[e.Service] += e.Slots
		}
	}
	t.shift.setInitial(t.Region, inRegion, t.entries)
	if t.localSlots != nil && !maps.Equal(slots, t.localSlots) {
		t.shift.lift(now)
	}
	t.localSlots = slots
}

// updateEvacuations applies the evacuated availability zones. After an evacuation, a zone's endpoints count as
// cold until a list that was read well after its end shows their state.
func (t *Table) updateEvacuations(now core.Millis, view fleet.View) {
	next := map[string]bool{}
	for _, zone := range view.Evacuated {
		next[zone] = true
	}
	for zone := range t.evacuated {
		if !next[zone] {
			t.returnedAt[zone] = now
		}
	}
	t.evacuated = next
	for _, each := range view.Returned {
		// This host may have missed the evacuation.
		if at := now - each.Age; !next[each.Zone] {
			t.returnedAt[each.Zone] = max(t.returnedAt[each.Zone], at)
		}
	}
	for zone, at := range t.returnedAt {
		if next[zone] || now-view.ListAge > at+maxListLag || now-at > returnColdTimeout {
			delete(t.returnedAt, zone)
		}
	}
}

func (t *Table) updateEndpoint(now, age core.Millis, entry roster.Entry) {
	e := t.endpoints[entry.ID]
	added := e == nil || e.Address != entry.Address || e.Service != entry.Service
	if added {
		if e != nil {
			// Requests that wait for a connection to its former address are not sent.
			e.gone = true
			t.OnRemove(e.Address)
		}
		e = &Endpoint{Entry: entry}
		t.endpoints[entry.ID] = e
		t.restoreRemoved(now, e)
	}
	if entry.ColdFor > 0 {
		if !e.isCold(now) {
			t.logColdStart(entry, age, added)
		}
		e.coldUntil = max(e.coldUntil, now+entry.ColdFor-min(age, entry.ColdFor)+coldGraceInterval)
	}
	if entry.Draining && !e.Draining {
		t.logf("Endpoint %s of %s in %s is draining by a list read %s ago; it gets no new requests.", entry.ID, entry.Service, entry.Zone, age)
	}
	t.updateProcess(e, now-age, entry)
	e.updateLeaving(now-age, entry.Draining)
	e.Entry, e.Region = entry, t.RegionByZone[entry.Zone]
	e.evacuated = t.evacuated[entry.Zone]
	e.zoneColdUntil = 0
	if at, back := t.returnedAt[entry.Zone]; back {
		e.zoneColdUntil = at + returnColdTimeout
	}
}

// logColdStart logs that the list shows an endpoint to be cold, with the share of its rate that this host may use.
func (t *Table) logColdStart(entry roster.Entry, age core.Millis, added bool) {
	known := "it was in use before"
	if added {
		known = "it is new"
	}
	t.logf("Endpoint %s of %s in %s is cold for %s by a list read %s ago; %s. This host counts %d entry hosts in its availability zone.",
		entry.ID, entry.Service, entry.Zone, entry.ColdFor, age, known, t.entries.Zone)
}

func (t *Table) groupByService() {
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
		s = &service{serviceTime: float64(initialServiceTime), objectiveShare: maxObjectiveShare}
		t.services[name] = s
	}
	return s
}
