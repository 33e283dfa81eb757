package plan

import (
	"maps"
	"slices"

	"clementinelock/core"
	"clementinelock/core/tree"
)

// Flow names one region's demand for a service.
type Flow struct {
	Region, Service string
}

// Shares are the fractions of a flow by target region; they sum to 1.
type Shares map[string]float64

// Plan assigns demand to regions on all hosts. Term and Number order the plans of all planners.
type Plan struct {
	Term    uint64
	Number  uint64
	Version uint64
	Made    core.Millis
	Shares  map[string]map[string]Shares
}

// SharesOf returns the shares of a region's demand for a service, or nil if the plan has none.
func (p *Plan) SharesOf(region, service string) Shares {
	if p == nil {
		return nil
	}
	return p.Shares[region][service]
}

// Regions returns the sorted names of the regions whose demand the plan assigns.
func (p *Plan) Regions() []string {
	return slices.Sorted(maps.Keys(p.Shares))
}

// NewerThan reports whether the plan was made after the one with the given term and number.
// A nil plan is older than any other.
func (p *Plan) NewerThan(term, number uint64) bool {
	if p == nil {
		return false
	}
	return p.Term > term || p.Term == term && p.Number > number
}

// OlderThan reports whether the plan was made before the one with the given term and number.
func (p *Plan) OlderThan(term, number uint64) bool {
	if p == nil {
		return term > 0
	}
	return p.Term < term || p.Term == term && p.Number < number
}

// Newer reports whether the plan was made after another, which may be nil.
func (p *Plan) Newer(other *Plan) bool {
	return other == nil || p.NewerThan(other.Term, other.Number)
}

// Pool holds the capacity of one service's endpoints in one region, in requests per second.
type Pool struct {
	Region, Service string
	Capacity        float64
	// CapacityAfterZoneLoss is the capacity that remains when the region's largest zone is lost.
	CapacityAfterZoneLoss float64
}

// Input holds everything that a plan depends on.
type Input struct {
	View *tree.View
	// Demand is in requests per second.
	Demand map[Flow]float64
	Pools  []Pool
	// BitsPerRequest is the mean size of a request with its response, by service.
	BitsPerRequest map[string]float64
	// LinkUsed is the traffic of others on a link, in bits per second.
	LinkUsed map[Link]float64
	Previous *Plan
	// Elapsed is the time since the previous plan took effect.
	Elapsed core.Millis
	Now     core.Millis
}

// Link identifies the network link from one region to another.
type Link struct {
	From, To string
}

// remainingCapacity is the capacity that is not allocated yet, in requests per second; on links in bits per second.
// Flow serves as the key of a pool here: the pool's own region and its service.
type remainingCapacity struct {
	pool   map[Flow]float64
	region map[string]float64
	link   map[Link]float64
}

// Result is a plan with the load it puts on pools, regions and links, and the demand that exceeds the capacity of
// pools. PoolLoad is by the pool's own region and service, Refused by the flow.
type Result struct {
	Plan       *Plan
	Refused    map[Flow]float64
	RegionLoad map[string]float64
	LinkLoad   map[Link]float64
	PoolLoad   map[Flow]float64
}

// Compute returns the next plan with its load: the allocation of the demand, limited by the shift caps.
func Compute(in Input) Result {
	target := Allocate(in)
	p := &Plan{Version: in.View.Version, Made: in.Now, Shares: map[string]map[string]Shares{}}
	if in.Previous != nil {
		p.Term, p.Number = in.Previous.Term, in.Previous.Number+1
	}
	for _, region := range in.View.Regions {
		p.Shares[region.Name] = map[string]Shares{}
	}
	for _, service := range in.View.Services {
		limitShift(in, service, target, p)
	}
	return evaluate(in, p)
}

// Allocate assigns all demand to pools, the most urgent class and the nearest pool first. The pools share
// one utilization limit: the configured one (1 - headroom), or the lowest above it at which all demand fits,
// or 1 if it fits at none.
func Allocate(in Input) map[Flow]Shares {
	utilization := minUtilization(in)
	shares, left := allocateWithLimit(in, utilization)
	if left > tolerance {
		shares, _ = allocateWithLimit(in, 1)
	}
	return shares
}

const (
	// tolerance is the demand in requests per second, or the fraction of a flow, that counts as none.
	tolerance      = 1e-6
	bisectionSteps = 20
	// localSlack is the fraction by which a region may exceed the common limit with its local demand before any
	// of it overflows to other regions, so that noise shifts no traffic.
	localSlack = 0.05
)

// minUtilization returns the lowest utilization limit, from the configured one up, at which all demand fits.
// It bisects between that limit and 1.
func minUtilization(in Input) float64 {
	low := 1.0
	for _, region := range in.View.Regions {
		low = min(low, 1-region.Settings.Headroom)
	}
	if _, left := allocateWithLimit(in, low); left <= tolerance {
		return low
	}
	high := 1.0
	for range bisectionSteps {
		middle := (low + high) / 2
		if _, left := allocateWithLimit(in, middle); left <= tolerance {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

// allocateWithLimit assigns demand under one utilization limit and returns the demand that does not fit.
// The local demand of every region is assigned first; the overflow then goes to other regions.
func allocateWithLimit(in Input, utilization float64) (map[Flow]Shares, float64) {
	remaining := newRemainingCapacity(in, min(1, utilization*(1+localSlack)))
	flows := flowsByPriority(in)
	amounts := map[Flow]map[string]float64{}
	unassigned := map[Flow]float64{}
	for _, flow := range flows {
		amounts[flow] = map[string]float64{}
		unassigned[flow] = in.Demand[flow]
		allocateFlow(in, remaining, flow, flow.Region, amounts[flow], unassigned)
	}
	remaining = remaining.removeLocalSlack(in, utilization)
	out := map[Flow]Shares{}
	unplaced := 0.0
	for _, flow := range flows {
		for _, region := range regionsByDistance(in.View, flow.Region)[1:] {
			allocateFlow(in, remaining, flow, region, amounts[flow], unassigned)
		}
		out[flow] = normalise(in, flow, amounts[flow], in.Demand[flow])
		unplaced += unassigned[flow]
	}
	return out, unplaced
}

// allocateFlow assigns as much of a flow's unassigned demand to a region as fits.
func allocateFlow(in Input, remaining *remainingCapacity, flow Flow, region string, amounts map[string]float64, unassigned map[Flow]float64) {
	amount := min(unassigned[flow], remaining.available(in, flow, region))
	if amount <= 0 {
		return
	}
	remaining.allocate(in, flow, region, amount)
	amounts[region] += amount
	unassigned[flow] -= amount
}

func newRemainingCapacity(in Input, utilization float64) *remainingCapacity {
	remaining := &remainingCapacity{pool: map[Flow]float64{}, region: map[string]float64{}, link: map[Link]float64{}}
	for _, pool := range in.Pools {
		remaining.pool[Flow{pool.Region, pool.Service}] = pool.Capacity * utilization
	}
	for _, from := range in.View.Regions {
		remaining.region[from.Name] = from.Settings.RegionCapacity * utilization
		for _, to := range in.View.Regions {
			link := Link{from.Name, to.Name}
			capacity := float64(min(from.Settings.LinkCapacity, to.Settings.LinkCapacity))
			remaining.link[link] = max(0, capacity*utilization-in.LinkUsed[link])
		}
	}
	return remaining
}

// removeLocalSlack subtracts the slack, which only a region's local demand may use.
func (s *remainingCapacity) removeLocalSlack(in Input, utilization float64) *remainingCapacity {
	slack := min(1, utilization*(1+localSlack)) - utilization
	for _, pool := range in.Pools {
		s.pool[Flow{pool.Region, pool.Service}] -= pool.Capacity * slack
	}
	for _, region := range in.View.Regions {
		s.region[region.Name] -= region.Settings.RegionCapacity * slack
	}
	return s
}

// flowsByPriority returns the flows sorted by class, then by region and service.
func flowsByPriority(in Input) []Flow {
	var flows []Flow
	for _, region := range in.View.Regions {
		for _, service := range in.View.Services {
			flows = append(flows, Flow{region.Name, service})
		}
	}
	slices.SortStableFunc(flows, func(a, b Flow) int { return int(classOf(in.View, a.Service)) - int(classOf(in.View, b.Service)) })
	return flows
}

func classOf(view *tree.View, service string) tree.Class {
	class := tree.Low
	for _, zone := range view.Zones {
		if s := view.Service(zone.Name, service); s != nil {
			class = min(class, s.Class)
		}
	}
	return class
}

func (s *remainingCapacity) available(in Input, flow Flow, to string) float64 {
	fits := min(s.pool[Flow{to, flow.Service}], s.region[to])
	if to == flow.Region {
		return fits
	}
	bits := in.BitsPerRequest[flow.Service]
	if bits <= 0 {
		return fits
	}
	return min(fits, s.link[Link{flow.Region, to}]/bits, s.link[Link{to, flow.Region}]/bits)
}

func (s *remainingCapacity) allocate(in Input, flow Flow, to string, amount float64) {
	s.pool[Flow{to, flow.Service}] -= amount
	s.region[to] -= amount
	if to == flow.Region {
		return
	}
	s.link[Link{flow.Region, to}] -= amount * in.BitsPerRequest[flow.Service]
	s.link[Link{to, flow.Region}] -= amount * in.BitsPerRequest[flow.Service]
}

// regionsByDistance returns the region itself first, then the others in cyclic order. All others count as
// equally far; starting behind the region spreads the overflows of several regions over different targets.
func regionsByDistance(view *tree.View, from string) []string {
	var names []string
	start := 0
	for i, region := range view.Regions {
		if region.Name == from {
			start = i
		}
		names = append(names, region.Name)
	}
	return append(slices.Clone(names[start:]), names[:start]...)
}

// normalise converts amounts to shares; a flow without demand goes to the nearest pool that has capacity.
func normalise(in Input, flow Flow, amounts map[string]float64, demand float64) Shares {
	// Adds in sorted order, since a floating-point sum depends on the order of its terms.
	total := 0.0
	for _, region := range slices.Sorted(maps.Keys(amounts)) {
		total += amounts[region]
	}
	if total <= demand*tolerance || total == 0 {
		return idleShares(in, flow)
	}
	shares := Shares{}
	for region, amount := range amounts {
		shares[region] = amount / total
	}
	return shares
}

func idleShares(in Input, flow Flow) Shares {
	for _, region := range regionsByDistance(in.View, flow.Region) {
		for _, pool := range in.Pools {
			if pool.Region == region && pool.Service == flow.Service && pool.Capacity > 0 {
				return Shares{region: 1}
			}
		}
	}
	return Shares{flow.Region: 1}
}

// evaluate computes the load of the plan on pools, regions and links; demand beyond a pool's capacity is refused.
func evaluate(in Input, p *Plan) Result {
	r := Result{Plan: p, Refused: map[Flow]float64{}, RegionLoad: map[string]float64{}, LinkLoad: map[Link]float64{}, PoolLoad: map[Flow]float64{}}
	capacity := map[Flow]float64{}
	for _, pool := range in.Pools {
		capacity[Flow{pool.Region, pool.Service}] = pool.Capacity
	}
	for _, flow := range flowsByPriority(in) {
		shares := p.SharesOf(flow.Region, flow.Service)
		for _, to := range slices.Sorted(maps.Keys(shares)) {
			amount := in.Demand[flow] * shares[to]
			target := Flow{to, flow.Service}
			served := min(amount, max(0, capacity[target]-r.PoolLoad[target]))
			r.Refused[flow] += amount - served
			r.PoolLoad[target] += served
			r.RegionLoad[to] += served
			if to != flow.Region {
				r.LinkLoad[Link{flow.Region, to}] += served * in.BitsPerRequest[flow.Service]
			}
		}
	}
	return r
}
