package pick

import (
	"cmp"
	"math"
	"slices"

	"clementinelock/core"
)

// Parameters of the regions that keep an object's data.
const (
	// homeFraction is how much of its region's shortage of slots a host makes up for with objects that it keeps in other
	// regions.
	homeFraction = 1.0
	// maxOtherRegionCost is the cost of an endpoint in a region that does not keep the object's data, which it would have to
	// fetch, in units of the service time.
	maxOtherRegionCost = 1.5
)

// regionShare is the share of a host's objects of one service whose data a region keeps.
type regionShare struct {
	region string
	share  float64
}

// updateShares sets the shares of the regions in the objects of each service. A region with a smaller share of the slots than
// of the callers keeps the data of a part of its callers' objects, and the others share the rest by their slots: an object
// that runs in every region has to be fetched in each of them, and takes up room there.
func (t *Table) updateShares() {
	callers := float64(t.maxRegionHosts) / math.Max(1, float64(t.maxHosts))
	for _, s := range t.services {
		s.shares = s.shares[:0]
		all, local := 0, 0
		slots := map[string]int{}
		for _, e := range s.endpoints {
			if e.Draining || e.evacuated {
				continue
			}
			slots[e.Region] += e.Slots
			all += e.Slots
			if e.Region == t.Region {
				local += e.Slots
			}
		}
		if all == 0 || local == 0 || all == local || callers == 0 {
			continue
		}
		remote := math.Max(0, homeFraction*(1-float64(local)/float64(all)/callers))
		for region, count := range slots {
			share := 1 - remote
			if region != t.Region {
				share = remote * float64(count) / float64(all-local)
			}
			s.shares = append(s.shares, regionShare{region, share})
		}
		slices.SortFunc(s.shares, func(a, b regionShare) int { return cmp.Compare(a.region, b.region) })
	}
}

// otherRegionCost returns the cost of an endpoint in a region that does not keep the object's data, in milliseconds. It is
// lower where a request could otherwise not be answered in time: a popular object spreads before its keeper refuses requests.
func (s *service) otherRegionCost(r Request) float64 {
	margin := r.maxWait(s.objectiveShare, core.Millis(s.serviceTime)) - crossRegionDelay - crossRegionSpread
	return math.Max(0, math.Min(maxOtherRegionCost*s.serviceTime, float64(margin)))
}

// keeperOf returns the region that keeps the object's data, or the empty string if each region does. All hosts of a region
// that know the same endpoints and numbers of hosts return the same, and a change of the shares moves few objects.
func (s *service) keeperOf(object string, allowed []string) string {
	if object == "" {
		return ""
	}
	best, bestScore := "", math.Inf(1)
	for _, each := range s.shares {
		if each.share <= 0 || !regionAllowed(allowed, each.region) {
			continue
		}
		point := (float64(rendezvous(object, each.region)>>11) + 1) / (1 << 53)
		if score := -math.Log(point) / each.share; score < bestScore {
			best, bestScore = each.region, score
		}
	}
	return best
}
