package plan

import (
	"maps"
	"slices"

	"clementinelock/core"
	"clementinelock/core/tree"
)

// shiftAllowance returns the fraction of a service's total traffic, over all its flows, that may shift in the
// elapsed time. Drains, failures and operators' orders share this budget.
func shiftAllowance(in Input, service string) float64 {
	allowed := 1.0
	found := false
	for _, zone := range in.View.Zones {
		s := in.View.Service(zone.Name, service)
		if s == nil {
			continue
		}
		rate := s.ShiftCap
		if s.WarmUp > 0 {
			rate = min(rate, float64(core.Minute)/float64(s.WarmUp))
		}
		allowed = min(allowed, rate)
		found = true
	}
	if !found {
		return 1
	}
	elapsed := min(in.Elapsed, core.Minute)
	return allowed * float64(elapsed) / float64(core.Minute)
}

// limitShift moves a service's shares from the previous plan towards the target, limited by the shift cap.
func limitShift(in Input, service string, target map[Flow]Shares, p *Plan) {
	total := 0.0
	for _, region := range in.View.Regions {
		total += in.Demand[Flow{region.Name, service}]
	}
	moved := 0.0
	for _, region := range in.View.Regions {
		flow := Flow{region.Name, service}
		moved += demandWeight(in, flow, total) * movedShare(previousShares(in, flow, target), target[flow])
	}
	allowance := shiftAllowance(in, service)
	step := 1.0
	if moved > allowance && !bypassesCap(in, service) {
		step = allowance / moved
	}
	for _, region := range in.View.Regions {
		flow := Flow{region.Name, service}
		p.Shares[region.Name][service] = interpolate(previousShares(in, flow, target), target[flow], step)
	}
}

// demandWeight returns a flow's fraction of its service's demand; without demand all flows weigh the same.
func demandWeight(in Input, flow Flow, total float64) float64 {
	if total <= 0 {
		return 1 / float64(len(in.View.Regions))
	}
	return in.Demand[flow] / total
}

// previousShares returns the flow's shares in the previous plan. A flow that had none starts at its target,
// since this shifts no traffic.
func previousShares(in Input, flow Flow, target map[Flow]Shares) Shares {
	shares := in.Previous.SharesOf(flow.Region, flow.Service)
	if shares == nil {
		return target[flow]
	}
	return shares
}

// bypassesCap reports whether a pool is lost and the tree lets such a loss bypass the shift cap.
func bypassesCap(in Input, service string) bool {
	passes := false
	for _, zone := range in.View.Zones {
		if s := in.View.Service(zone.Name, service); s != nil {
			passes = passes || s.EmergencyPasses
		}
	}
	return passes && hasLostPool(in, service)
}

// hasLostPool reports whether a pool that the previous plan uses has no capacity although it is not drained.
func hasLostPool(in Input, service string) bool {
	for _, pool := range in.Pools {
		if pool.Service != service || pool.Capacity > 0 || isDrained(in.View, pool.Region, service) {
			continue
		}
		for _, region := range in.View.Regions {
			if in.Previous.SharesOf(region.Name, service)[pool.Region] > 0 {
				return true
			}
		}
	}
	return false
}

// isDrained reports whether no zone of the region has the service undrained, with endpoints and a weight above 0.
func isDrained(view *tree.View, region, service string) bool {
	for _, zone := range view.Zones {
		if zone.Region != region {
			continue
		}
		if s := view.Service(zone.Name, service); s != nil && !s.Drained && s.Weight > 0 && len(s.Endpoints) > 0 {
			return false
		}
	}
	return true
}

// MaxMovedShare returns the largest fraction of any flow that is assigned differently in plan b than in plan a.
func MaxMovedShare(a, b *Plan) float64 {
	largest := 0.0
	for region, services := range b.Shares {
		for service, shares := range services {
			largest = max(largest, movedShare(a.SharesOf(region, service), shares))
		}
	}
	return largest
}

// movedShare returns the fraction of a flow that moves when its shares change from a to b.
func movedShare(a, b Shares) float64 {
	sum := 0.0
	for _, region := range slices.Sorted(maps.Keys(unionKeys(a, b))) {
		sum += max(0, b[region]-a[region])
	}
	return sum
}

func unionKeys(a, b Shares) map[string]float64 {
	keys := map[string]float64{}
	maps.Copy(keys, a)
	maps.Copy(keys, b)
	return keys
}

// minShare is the share below which a region is left out of a flow.
const minShare = 1e-4

// interpolate returns the shares at the fraction step of the way from a to b, without those below minShare.
func interpolate(a, b Shares, step float64) Shares {
	out := Shares{}
	total := 0.0
	keys := unionKeys(a, b)
	for _, region := range slices.Sorted(maps.Keys(keys)) {
		share := a[region] + (b[region]-a[region])*step
		if step == 1 {
			share = b[region]
		}
		if share >= minShare {
			out[region] = share
			total += share
		}
	}
	for region := range out {
		out[region] /= total
	}
	return out
}

// Pools computes each pool's capacity from the tree: the slots of the zones that are neither drained nor lost,
// divided by the mean service time of a request.
func Pools(view *tree.View, serviceTime map[string]core.Millis, lost func(zone string) bool, leaving func(endpoint string) bool) []Pool {
	var out []Pool
	for _, region := range view.Regions {
		for _, service := range view.Services {
			pool := Pool{Region: region.Name, Service: service}
			largest := 0.0
			for _, zone := range region.Zones {
				if lost(zone) {
					continue
				}
				capacity := zoneCapacity(view.Service(zone, service), serviceTime[service], leaving)
				pool.Capacity += capacity
				largest = max(largest, capacity)
			}
			pool.CapacityAfterZoneLoss = pool.Capacity - largest
			out = append(out, pool)
		}
	}
	return out
}

// assumedServiceTime is the service time of a service that has no measurement yet.
const assumedServiceTime = 10 * core.Millisecond

func zoneCapacity(s *tree.Service, serviceTime core.Millis, leaving func(string) bool) float64 {
	if s == nil || s.Drained {
		return 0
	}
	if serviceTime <= 0 {
		serviceTime = assumedServiceTime
	}
	slots := 0
	for _, endpoint := range s.Endpoints {
		if !slices.Contains(s.Leaving, endpoint) && !leaving(endpoint) {
			slots += s.Slots
		}
	}
	return float64(slots) * min(1, s.Weight) * 1000 / float64(serviceTime)
}
