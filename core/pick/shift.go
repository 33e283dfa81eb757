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
	// shiftWindow is the length of the windows whose shares are compared, shiftBin the resolution of the counts.
	shiftWindow       = 2 * core.Second
	shiftBin          = 100 * core.Millisecond
	shiftBinsInWindow = int(shiftWindow / shiftBin)
	shiftBins         = 2 * shiftBinsInWindow
	// defaultMaxShift is the share of a region's requests that may change their region between two windows where
	// the settings have no bound.
	defaultMaxShift = 0.15
	// shiftMargin is the part of the bound that a host uses: requests are counted here when they are sent, and a
	// moment later where they run.
	shiftMargin = 0.9
	// minShiftRequests may shift at any time, so that hosts with few requests can shift any.
	minShiftRequests = 3.0
	// minKeeperShiftRequests is the same for requests to the region that keeps their object.
	minKeeperShiftRequests = 4.0
	// minShiftAge is the age in bins of the shortest time that is compared with the window before it.
	minShiftAge = 10
	// initialWeight is the weight of the initial shares in the earlier window, in requests.
	initialWeight = 4.0
	// initialRemoteFraction is how much of its region's shortage of slots a host sends to other regions at
	// first; at low load all requests stay.
	initialRemoteFraction = 0.85
	// firstWindowDelay is how long after a host's first request a window still counts as its first.
	firstWindowDelay = 500 * core.Millisecond
	// idleTimeout is the time without a request after which a host counts as one that has just started.
	idleTimeout = 5 * core.Second
	// liftInterval is how long the limit is lifted after the local region has lost or regained endpoints,
	// because requests have to move then.
	liftInterval = 3 * core.Second
	// demandWeight is the weight of the newest request in the average demand, which covers about the last
	// second of an entry host.
	demandWeight = 0.04
)

// shiftLimiter limits how fast the shares of a host's requests that run in each region change. It compares the
// requests of the latest window with those of the window before it, as the deployments' bound does; where each host
// of a region keeps the bound, the region does. Requests that an endpoint turned away don't count, or else a burst,
// of which a full region turns most away, would move what runs elsewhere.
type shiftLimiter struct {
	// maxShift is the largest share of the requests that may change their region between two windows.
	maxShift float64
	regions  []*regionCount
	// bin is the number of the latest bin, counted from time 0.
	bin           int
	lastRequestAt core.Millis
	startedAt     core.Millis
	liftedUntil   core.Millis
	started       bool
	// local is the region of the host.
	local string
}

// regionCount counts the requests sent to one region.
type regionCount struct {
	region string
	// bins holds the requests of both windows by the number of their bin, modulo shiftBins.
	bins [shiftBins]int
	// recent counts the requests of the latest window.
	recent int
	// since and before are working values of excess: the requests since a moment, and those of the window before it.
	since  int
	before int
	// initial is the share that a host starts with.
	initial float64
	// demand is the average share of the requests whose best endpoint is in the region.
	demand float64
}

// region returns the state of a region, and adds it if it is new.
func (l *shiftLimiter) region(region string) *regionCount {
	i, found := slices.BinarySearchFunc(l.regions, region, func(p *regionCount, name string) int { return strings.Compare(p.region, name) })
	if !found {
		l.regions = slices.Insert(l.regions, i, &regionCount{region: region})
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
	l.region(local)
	l.local = local
	for _, p := range l.regions {
		p.initial = 1 - remote
		if p.region != local {
			p.initial = remote * float64(slots[p.region]) / math.Max(1, float64(all-slots[local]))
		}
	}
}

// observe counts a request's best region in the demand, and moves the windows on.
func (l *shiftLimiter) observe(now core.Millis, best string) {
	l.region(best)
	if !l.started || now-l.lastRequestAt > idleTimeout {
		l.started, l.startedAt = true, now
		for _, p := range l.regions {
			p.demand = p.initial
		}
	}
	l.lastRequestAt = now
	for _, p := range l.regions {
		target := 0.0
		if p.region == best {
			target = 1
		}
		p.demand += demandWeight * (target - p.demand)
	}
	l.advance(now)
}

// advance moves the windows on to the present.
func (l *shiftLimiter) advance(now core.Millis) {
	bin := int(now / shiftBin)
	if bin-l.bin > shiftBins {
		for _, p := range l.regions {
			p.bins, p.recent = [shiftBins]int{}, 0
		}
		l.bin = bin
	}
	for l.bin < bin {
		l.bin++
		for _, p := range l.regions {
			p.bins[l.bin%shiftBins] = 0
			p.recent -= p.bins[(l.bin+shiftBinsInWindow)%shiftBins]
		}
	}
}

// isLifted reports whether requests may shift without a limit.
func (l *shiftLimiter) isLifted(now core.Millis) bool {
	return now < l.liftedUntil
}

// lift lifts the limit for liftInterval.
func (l *shiftLimiter) lift(now core.Millis) {
	l.liftedUntil = now + liftInterval
}

// excess returns by how many requests the shares would exceed the bound after one more request to the region, 0 if they
// would not. A window may begin at any moment, and traffic may fall after it has begun, so that the requests since each
// moment must not differ by more than the bound from those of the window before that moment, unless the request brings
// them closer.
func (l *shiftLimiter) excess(now core.Millis, region string) float64 {
	return l.excessBeyond(now, region, minShiftRequests)
}

// excessBeyond returns the excess where that number of requests may shift at any time.
func (l *shiftLimiter) excessBeyond(now core.Millis, region string, least float64) float64 {
	if l.isLifted(now) {
		return 0
	}
	for _, p := range l.regions {
		p.since, p.before = 0, p.recent
	}
	largest := 0.0
	for age := range shiftBinsInWindow {
		for _, p := range l.regions {
			newer := p.bins[(l.bin-age+shiftBins)%shiftBins]
			p.since += newer
			p.before += p.bins[(l.bin-age+shiftBinsInWindow)%shiftBins] - newer
		}
		if age+1 < minShiftAge {
			continue
		}
		if region != l.local && l.isFirstWindow(age) {
			// Nothing ran before this moment that other regions could exceed.
			continue
		}
		before, _ := l.distance("")
		after, requests := l.distance(region)
		if after >= before {
			largest = math.Max(largest, after*requests-math.Max(least, shiftMargin*l.maxShift*requests))
		}
	}
	return largest
}

// isFirstWindow reports whether the window that begins age bins ago is the first one of a host that has just started
// to serve.
func (l *shiftLimiter) isFirstWindow(age int) bool {
	return core.Millis(l.bin-age)*shiftBin <= l.startedAt+firstWindowDelay
}

// distance returns the share of the requests that changed their region between those before a moment and those since,
// and the number of the latter, with one more in the region unless that is empty.
func (l *shiftLimiter) distance(added string) (shift, requests float64) {
	beforeAll := initialWeight
	for _, p := range l.regions {
		beforeAll += float64(p.before)
		requests += float64(p.since)
	}
	if added != "" {
		requests++
	}
	for _, p := range l.regions {
		since := float64(p.since)
		if p.region == added {
			since++
		}
		shift += math.Abs(since/math.Max(1, requests)-(float64(p.before)+initialWeight*p.initial)/beforeAll) / 2
	}
	return shift, requests
}

// record counts a request that is sent to the region.
func (l *shiftLimiter) record(region string) {
	p := l.region(region)
	p.bins[l.bin%shiftBins]++
	p.recent++
}

// withdraw takes back the count of a request that was recorded at that time and did not run.
func (l *shiftLimiter) withdraw(recordedAt core.Millis, region string) {
	bin := int(recordedAt / shiftBin)
	if l.bin-bin >= shiftBins {
		return
	}
	p := l.region(region)
	count := &p.bins[bin%shiftBins]
	if *count == 0 {
		return
	}
	*count--
	if l.bin-bin < shiftBinsInWindow {
		p.recent--
	}
}
