package pick

import (
	"math"
	"slices"
	"strings"

	"clementinelock/core"
	"clementinelock/core/fleet"
)

// Parameters of the limit on shifts between regions.
const (
	// maxShiftPerSecond is the share of a host's requests that may change their region per second; the
	// deployments allow 0.15 in 2 s.
	maxShiftPerSecond = 0.05
	// settleInterval is how long the shares of a host that has just started to serve change without a limit.
	settleInterval = 300 * core.Millisecond
	// initialRemoteFraction is how much of its region's shortage of slots a host sends to other regions at
	// first; at low load all requests stay.
	initialRemoteFraction = 0.85
	// idleTimeout is the time without a request after which a host starts over with the initial shares.
	idleTimeout = 5 * core.Second
	// liftInterval is how long the limit is lifted after the local region has lost or regained endpoints,
	// because requests have to move then.
	liftInterval = 3 * core.Second
	// demandWeight is the weight of the newest request in the average demand, which covers about the last
	// second of an entry host.
	demandWeight = 0.04
	// remoteSlackFraction and localSlackFraction are how far the requests sent to a region may exceed its share,
	// as fractions of the requests in a shift window. Larger values would use up the shift that is allowed in
	// a window; smaller ones would send single requests to another region for no gain.
	remoteSlackFraction = 0.02
	localSlackFraction  = 0.06
	// minSlack and maxSlack bound the slack, in requests.
	minSlack    = 0.5
	maxSlack    = 3.0
	shiftWindow = 2 * core.Second
	// intervalWeight is the weight of the newest interval between two requests in the average.
	intervalWeight = 0.1
)

// shiftLimiter limits how fast the shares of a host's requests that go to each region change.
type shiftLimiter struct {
	regions       []*regionShare
	lastRequestAt core.Millis
	startedAt     core.Millis
	liftedUntil   core.Millis
	started       bool
	// interval is the average interval between two requests, in milliseconds.
	interval float64
}

// regionShare is the share of a host's requests that goes to one region.
type regionShare struct {
	region string
	local  bool
	// share is the share of the requests that may go to the region.
	share float64
	// demand is the average share of the requests whose best endpoint is in the region.
	demand float64
	// credit is how many requests the region is owed; it is negative where the region got more than its share.
	credit float64
	// initial is the share that a host starts with.
	initial float64
}

// region returns the state of a region, and adds it if it is new.
func (l *shiftLimiter) region(region string) *regionShare {
	i, found := slices.BinarySearchFunc(l.regions, region, func(p *regionShare, name string) int { return strings.Compare(p.region, name) })
	if !found {
		l.regions = slices.Insert(l.regions, i, &regionShare{region: region})
	}
	return l.regions[i]
}

// setInitial sets the initial shares by the slots of each region and by the entry hosts, whose numbers show
// where callers are. A host whose region has a smaller share of the slots than of the callers starts with a
// part of its requests in other regions.
func (l *shiftLimiter) setInitial(local string, slots map[string]int, entries fleet.EntryCounts) {
	all := 0
	for region, count := range slots {
		all += count
		l.region(region)
	}
	if all == 0 || entries.All == 0 {
		return
	}
	slotShare := float64(slots[local]) / float64(all)
	callerShare := float64(entries.Region) / float64(entries.All)
	remote := initialRemoteFraction * math.Max(0, 1-slotShare/callerShare)
	l.region(local).local = true
	for _, p := range l.regions {
		p.initial = 1 - remote
		if !p.local {
			p.initial = remote * float64(slots[p.region]) / math.Max(1, float64(all-slots[local]))
		}
	}
}

// observe updates the shares by one request and the region of its best endpoint.
func (l *shiftLimiter) observe(now core.Millis, best string) {
	l.region(best)
	if !l.started || now-l.lastRequestAt > idleTimeout {
		l.started, l.startedAt, l.lastRequestAt = true, now, now
		l.interval = float64(shiftWindow)
		for _, p := range l.regions {
			p.share, p.demand, p.credit = p.initial, p.initial, 0
		}
	}
	weight, step := demandWeight, maxShiftPerSecond*float64(now-l.lastRequestAt)/float64(core.Second)
	if l.isLifted(now) {
		weight, step = 2*demandWeight, 1
	}
	l.interval += intervalWeight * (float64(now-l.lastRequestAt) - l.interval)
	l.lastRequestAt = now
	distance := 0.0
	for _, p := range l.regions {
		target := 0.0
		if p.region == best {
			target = 1
		}
		p.demand += weight * (target - p.demand)
		distance += math.Abs(p.demand-p.share) / 2
	}
	fraction := math.Min(1, step/math.Max(distance, math.SmallestNonzeroFloat64))
	for _, p := range l.regions {
		p.share += fraction * (p.demand - p.share)
		p.credit = math.Min(maxSlack+1, p.credit+p.share)
	}
}

// isLifted reports whether requests may shift without a limit.
func (l *shiftLimiter) isLifted(now core.Millis) bool {
	return now-l.startedAt < settleInterval || now < l.liftedUntil
}

// lift lifts the limit for liftInterval.
func (l *shiftLimiter) lift(now core.Millis) {
	l.liftedUntil = now + liftInterval
}

// allows reports whether a request may go to the region. Another region gets requests only within its share;
// the local region must not take back too many at once of the requests that went to other regions before.
func (l *shiftLimiter) allows(now core.Millis, region string) bool {
	p := l.region(region)
	if p.local {
		return l.isLifted(now) || p.credit >= -l.slack(localSlackFraction)
	}
	return l.isLifted(now) || p.credit > -l.slack(remoteSlackFraction)
}

// slack returns a fraction of the requests in a shift window as a number of requests.
func (l *shiftLimiter) slack(fraction float64) float64 {
	return math.Max(minSlack, math.Min(maxSlack, fraction*float64(shiftWindow)/math.Max(1, l.interval)))
}

// record counts a request that goes to the region.
func (l *shiftLimiter) record(region string) {
	p := l.region(region)
	p.credit = math.Max(-maxSlack-1, p.credit-1)
}
