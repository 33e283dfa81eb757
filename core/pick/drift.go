package pick

import (
	"math"

	"clementinelock/core"
	"clementinelock/core/fleet"
)

// Constants of the limit on how fast work may move between regions.
const (
	// driftPerSecond is how much of a host's requests may change their region in a second; the deployments bound it by 0.15 in 2 s.
	driftPerSecond = 0.04
	// settleFor is how long a host that has just begun to serve finds its share without a limit.
	settleFor = 300 * core.Millisecond
	// expectedPart of the slots that a region lacks for its callers is what its hosts begin with elsewhere; at low load all stay.
	expectedPart = 0.7
	// idleFor without a request makes a host begin anew.
	idleFor = 5 * core.Second
	// freeFor is how long the limit is lifted after the own region has lost or regained endpoints, since work then has to move.
	freeFor = 3 * core.Second
	// wishWeight is that of the newest request in what a host's requests ask for, about the last second of an entry host's.
	wishWeight = 0.04
	// ahead and behind are by how many requests the limit may be missed for a moment.
	ahead  = 1.0
	behind = 3.0
)

// drift limits how fast the part of a host's requests changes that goes to other regions.
type drift struct {
	share    float64
	wished   float64
	credit   float64
	at       core.Millis
	begunAt  core.Millis
	freeTill core.Millis
	begun    bool
	// expected is the share that a host begins with.
	expected float64
}

// expect takes the slots here and everywhere, and the entry hosts as a sign of where callers are: a host whose region has fewer slots than callers begins with a part of its work elsewhere.
func (d *drift) expect(here, all int, entries fleet.EntryCounts) {
	if all == 0 || entries.All == 0 {
		return
	}
	slots := float64(here) / float64(all)
	callers := float64(entries.Region) / float64(entries.All)
	d.expected = expectedPart * math.Max(0, 1-slots/callers)
}

// note takes one request and whether its best endpoint is in another region.
func (d *drift) note(now core.Millis, away bool) {
	wish := 0.0
	if away {
		wish = 1
	}
	if !d.begun || now-d.at > idleFor {
		*d = drift{begun: true, begunAt: now, at: now, share: d.expected, wished: d.expected, freeTill: d.freeTill, expected: d.expected}
	}
	weight := wishWeight
	if d.isFree(now) {
		weight *= 2
	}
	d.wished += weight * (wish - d.wished)
	step := driftPerSecond * float64(now-d.at) / float64(core.Second)
	if d.isFree(now) {
		step = 1
	}
	d.share += math.Max(-step, math.Min(step, d.wished-d.share))
	d.at = now
	d.credit = math.Min(behind+1, d.credit+d.share)
}

// isFree tells whether work may move without a limit.
func (d *drift) isFree(now core.Millis) bool {
	return now-d.begunAt < settleFor || now < d.freeTill
}

// free lifts the limit for a while.
func (d *drift) free(now core.Millis) {
	d.freeTill = now + freeFor
}

// mayLeave tells whether a request may go to another region.
func (d *drift) mayLeave(now core.Millis) bool {
	return d.isFree(now) || d.credit > -ahead
}

// mustLeave tells whether a request has to go to another region, so that not too many come back at once.
func (d *drift) mustLeave(now core.Millis) bool {
	return !d.isFree(now) && d.credit > behind
}

// left notes that a request went to another region.
func (d *drift) left() {
	d.credit = math.Max(-ahead-1, d.credit-1)
}
