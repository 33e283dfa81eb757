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

// Shares are the parts of a flow by target region; they sum to 1.
type Shares map[string]float64

// Plan is what all hosts steer by. Term and Number order the plans of all planners.
type Plan struct {
	Term    uint64
	Number  uint64
	Version uint64
	Made    core.Millis
	Shares  map[string]map[string]Shares
}

// SharesOf returns a flow's shares, or nil.
func (p *Plan) SharesOf(region, service string) Shares {
	if p == nil {
		return nil
	}
	return p.Shares[region][service]
}

// Regions lists the regions whose demand the plan divides, in their order.
func (p *Plan) Regions() []string {
	return slices.Sorted(maps.Keys(p.Shares))
}

// NewerThan tells whether the plan was made after the one with the term and number; a nil plan is older than all.
func (p *Plan) NewerThan(term, number uint64) bool {
	if p == nil {
		return false
	}
	return p.Term > term || p.Term == term && p.Number > number
}

// OlderThan tells whether the plan was made before the one with the term and number.
func (p *Plan) OlderThan(term, number uint64) bool {
	if p == nil {
		return term > 0
	}
	return p.Term < term || p.Term == term && p.Number < number
}

// Newer tells whether the plan was made after another.
func (p *Plan) Newer(other *Plan) bool {
	return other == nil || p.NewerThan(other.Term, other.Number)
}

// Pool is the capacity of one service in one region, in requests per second.
type Pool struct {
	Region, Service string
	Capacity        float64
	// CapacityAfterZoneLoss is the capacity that is left when the region's largest zone is lost.
	CapacityAfterZoneLoss float64
}

// Input is everything that a plan depends on.
type Input struct {
	View   *tree.View
	Demand map[Flow]float64
	Pools  []Pool
	// BitsPerRequest is the mean size of a request with its answer, by service.
	BitsPerRequest map[string]float64
	// LinkUsed is what others use of a link, in bits per second.
	LinkUsed map[Link]float64
	Previous *Plan
	// Elapsed is the time since the previous plan came into force.
	Elapsed core.Millis
	Now     core.Millis
}

// Link names the link from one region to another.
type Link struct {
	From, To string
}

// remainingCapacity is what is left while a plan is filled.
type remainingCapacity struct {
	pool   map[Flow]float64
	region map[string]float64
	link   map[Link]float64
}

// Result is a plan with its use of sites, regions and links, for operators.
type Result struct {
	Plan       *Plan
	Refused    map[Flow]float64
	RegionLoad map[string]float64
	LinkLoad   map[Link]float64
	PoolLoad   map[Flow]float64
}

// Compute computes the next plan.
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

// Allocate assigns all demand, the most urgent class first and the nearest site first, under a common level of use that is as low as the demand allows and at least leaves the headroom.
func Allocate(in Input) map[Flow]Shares {
	utilization := minUtilization(in)
	shares, left := allocateUnder(in, utilization)
	if left > tolerance {
		shares, _ = allocateUnder(in, 1)
	}
	return shares
}

const (
	tolerance      = 1e-6
	bisectionSteps = 20
	// localSlack is how far above the common level a region takes its own demand before any of it goes elsewhere, so that noise moves no traffic.
	localSlack = 0.05
)

// minUtilization finds the smallest level of use from the wanted one up at which all demand finds room.
func minUtilization(in Input) float64 {
	low := 1.0
	for _, region := range in.View.Regions {
		low = min(low, 1-region.Root.Headroom)
	}
	if _, left := allocateUnder(in, low); left <= tolerance {
		return low
	}
	high := 1.0
	for range bisectionSteps {
		middle := (low + high) / 2
		if _, left := allocateUnder(in, middle); left <= tolerance {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

// allocateUnder assigns demand under one level of use and returns what found no room. Every region's own demand comes first; what overflows then goes to others.
func allocateUnder(in Input, utilization float64) (map[Flow]Shares, float64) {
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
	left := 0.0
	for _, flow := range flows {
		for _, region := range regionsByDistance(in.View, flow.Region)[1:] {
			allocateFlow(in, remaining, flow, region, amounts[flow], unassigned)
		}
		out[flow] = normalise(in, flow, amounts[flow], in.Demand[flow])
		left += unassigned[flow]
	}
	return out, left
}

// allocateFlow puts as much of a flow's rest into a region as fits.
func allocateFlow(in Input, space *remainingCapacity, flow Flow, region string, amounts map[string]float64, rest map[Flow]float64) {
	amount := min(rest[flow], space.available(in, flow, region))
	if amount <= 0 {
		return
	}
	space.allocate(in, flow, region, amount)
	amounts[region] += amount
	rest[flow] -= amount
}

func newRemainingCapacity(in Input, utilization float64) *remainingCapacity {
	space := &remainingCapacity{pool: map[Flow]float64{}, region: map[string]float64{}, link: map[Link]float64{}}
	for _, pool := range in.Pools {
		space.pool[Flow{pool.Region, pool.Service}] = pool.Capacity * utilization
	}
	for _, from := range in.View.Regions {
		space.region[from.Name] = from.Root.RegionCapacity * utilization
		for _, to := range in.View.Regions {
			link := Link{from.Name, to.Name}
			capacity := float64(min(from.Root.LinkCapacity, to.Root.LinkCapacity))
			space.link[link] = max(0, capacity*utilization-in.LinkUsed[link])
		}
	}
	return space
}

// removeLocalSlack takes back the room that only a region's own demand may use.
func (s *remainingCapacity) removeLocalSlack(in Input, utilization float64) *remainingCapacity {
	slack := min(1, utilization*(1+localSlack)) - utilization
	for _, pool := range in.Pools {
		s.pool[Flow{pool.Region, pool.Service}] -= pool.Capacity * slack
	}
	for _, region := range in.View.Regions {
		s.region[region.Name] -= region.Root.RegionCapacity * slack
	}
	return s
}

// flowsByPriority lists the flows by class, then by region and service.
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

// regionsByDistance lists the regions from one: itself first, then the others, which are all equally far, in a fixed order that starts behind it so that overflows spread.
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

// normalise turns amounts into shares; a flow without demand goes to the nearest site that has capacity.
func normalise(in Input, flow Flow, amounts map[string]float64, demand float64) Shares {
	// Sums go in the keys' order, since the sum of floats depends on it.
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

// evaluate adds up what the plan sends where; demand beyond the sites' capacity counts as refused.
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
