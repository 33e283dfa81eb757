package ctrl

import (
	"fmt"
	"maps"
	"slices"

	"clementinelock/core"
	"clementinelock/core/plan"
	"clementinelock/core/tree"
)

const (
	planInterval = core.Second
	// maxPlanInterval is the time after which a new plan is sent out even if it hardly changes.
	maxPlanInterval = 8 * core.Second
	// minShareChange is the change of a flow's share below which a new plan is not sent out at once.
	minShareChange = 0.01
	// settleDelay is how long a new leader waits to receive the newest plan before it makes one.
	settleDelay = 2 * core.Second
	// eventLeadTime is how long before an expected event the planner prepares for it.
	eventLeadTime = 15 * core.Minute
)

// planner keeps the estimates of demand, service times and sizes between plans.
type planner struct {
	next         core.Millis
	leadingSince core.Millis
	estimates    map[plan.Flow]*plan.Estimate
	serviceTimes map[string]core.Millis
	bits         map[string]float64
}

func (p *planner) start() {
	p.estimates = map[plan.Flow]*plan.Estimate{}
	p.serviceTimes = map[string]core.Millis{}
	p.bits = map[string]float64{}
}

// plan makes a plan every planInterval while this host leads.
func (n *Node) plan(now core.Millis, out *core.Effects) {
	p := &n.planner
	if p.leadingSince == 0 {
		p.leadingSince = now
	}
	if now < p.next || now-p.leadingSince < settleDelay || n.Store.View().Version == 0 {
		return
	}
	p.next = now + planInterval
	n.observe(now)
	result := plan.Compute(n.planInput(now, n.Store.View(), plan.Link{}))
	next := result.Plan
	if previous := n.Relay.Plan(); previous != nil && previous.Version == next.Version && now-previous.Made < maxPlanInterval && plan.MaxMovedShare(previous, next) < minShareChange {
		return
	}
	if next.Term != n.Replica.Term() {
		next.Term, next.Number = n.Replica.Term(), 1
	}
	n.Relay.SetPlan(now, next, out)
}

// observe adds the reported demand to the estimates. A region with an unreached zone keeps its estimates, since its
// demand is incomplete.
func (n *Node) observe(now core.Millis) {
	rates := map[plan.Flow]float64{}
	for _, f := range n.Relay.Demand(now) {
		rates[f.Flow] = f.Rate
		if f.ServiceTime > 0 {
			n.planner.serviceTimes[f.Service] = f.ServiceTime
		}
		if f.Bits > 0 {
			n.planner.bits[f.Service] = f.Bits
		}
	}
	view := n.Store.View()
	for _, region := range view.Regions {
		if !n.regionReached(now, region) {
			continue
		}
		for _, service := range view.Services {
			flow := plan.Flow{Region: region.Name, Service: service}
			estimate := n.planner.estimates[flow]
			if estimate == nil {
				estimate = &plan.Estimate{}
				n.planner.estimates[flow] = estimate
			}
			estimate.Observe(now, rates[flow])
		}
	}
}

func (n *Node) regionReached(now core.Millis, region tree.Region) bool {
	for _, zone := range region.Zones {
		if !n.ZoneReached(now, zone) {
			return false
		}
	}
	return true
}

// planInput collects the inputs of a plan. If lost is set, it names a zone (From) or a region (To) that counts
// as lost.
func (n *Node) planInput(now core.Millis, view *tree.View, lost plan.Link) plan.Input {
	in := plan.Input{
		View: view, Demand: map[plan.Flow]float64{}, BitsPerRequest: maps.Clone(n.planner.bits),
		LinkUsed: map[plan.Link]float64{}, Previous: n.Relay.Plan(), Now: now,
	}
	if in.Previous != nil {
		in.Elapsed = min(now-in.Previous.Made, maxPlanInterval+2*planInterval)
	}
	for flow, estimate := range n.planner.estimates {
		in.Demand[flow] = estimate.Value(now) * eventFactor(now, view, flow.Region)
	}
	for _, from := range view.Regions {
		for _, to := range view.Regions {
			link := plan.Link{From: from.Name, To: to.Name}
			in.LinkUsed[link] = n.Link(link)
		}
	}
	isLost := func(zone string) bool {
		return !n.ZoneReached(now, zone) || zone == lost.From || lost.To != "" && view.RegionOf(zone) == lost.To
	}
	in.Pools = plan.Pools(view, n.planner.serviceTimes, isLost, n.Leaving)
	return in
}

func eventFactor(now core.Millis, view *tree.View, region string) float64 {
	for _, r := range view.Regions {
		e := r.Settings.ExpectedEvent
		if r.Name == region && e.Factor > 1 && now >= e.Start-eventLeadTime && now < e.Start+e.Length {
			return e.Factor
		}
	}
	return 1
}

// checkOverload refuses an edit after which more than 1 request per second more than before would find no capacity,
// unless the edit carries an override.
func (n *Node) checkOverload(now core.Millis, edit tree.Edit) *core.Refusal {
	if edit.Override || edit.Base != n.Store.View().Version || n.Store.View().Version == 0 {
		return nil
	}
	next, refusal := n.Store.Preview(edit)
	if refusal != nil {
		return nil
	}
	before := totalRefused(n.steadyPlan(now, n.Store.View(), plan.Link{}))
	after := totalRefused(n.steadyPlan(now, tree.NewView(next), plan.Link{}))
	if after <= before+1 {
		return nil
	}
	return core.Refuse(core.Invalid, core.RanNo, "%.0f requests per second would find no capacity, %.0f before; this needs an explicit override", after, before)
}

// steadyPlan returns the plan that a tree leads to once all shifts are done.
func (n *Node) steadyPlan(now core.Millis, view *tree.View, lost plan.Link) (plan.Input, plan.Result) {
	in := n.planInput(now, view, lost)
	in.Previous = nil
	return in, plan.Compute(in)
}

func totalRefused(_ plan.Input, r plan.Result) float64 {
	total := 0.0
	for _, region := range r.Plan.Regions() {
		for _, service := range slices.Sorted(maps.Keys(r.Plan.Shares[region])) {
			total += r.Refused[plan.Flow{Region: region, Service: service}]
		}
	}
	return total
}

// whatIf returns the plans before and after a change without applying it.
func (n *Node) whatIf(now core.Millis, q *WhatIf) (Body, *core.Refusal) {
	if q == nil {
		return Body{}, core.Refuse(core.BadRequest, core.RanNo, "the question names no change")
	}
	view := n.Store.View()
	after := view
	if len(q.Changes) > 0 {
		next, err := view.Tree.With(q.Changes)
		if err == nil {
			err = tree.Check(next)
		}
		if err != nil {
			return Body{}, core.Refuse(core.Invalid, core.RanNo, "%v", err)
		}
		after = tree.NewView(next)
	}
	body := &WhatIfResult{
		Before: usage(n.steadyPlan(now, view, plan.Link{})),
		After:  usage(n.steadyPlan(now, after, plan.Link{From: q.LostZone, To: q.LostRegion})),
	}
	return Body{WhatIf: body}, nil
}

func usage(in plan.Input, r plan.Result) Usage {
	p := Usage{Refused: totalRefused(in, r)}
	for _, pool := range in.Pools {
		used := r.PoolLoad[plan.Flow{Region: pool.Region, Service: pool.Service}]
		p.Rows = append(p.Rows, UsageRow{fmt.Sprintf("site %s:%s req/s", pool.Region, pool.Service), used, pool.Capacity})
	}
	for _, region := range in.View.Regions {
		p.Rows = append(p.Rows, UsageRow{fmt.Sprintf("region %s req/s", region.Name), r.RegionLoad[region.Name], region.Settings.RegionCapacity})
	}
	links := slices.SortedFunc(maps.Keys(r.LinkLoad), func(a, b plan.Link) int {
		if a.From+a.To < b.From+b.To {
			return -1
		}
		return 1
	})
	for _, link := range links {
		limit := 0.0
		for _, region := range in.View.Regions {
			if region.Name == link.From {
				limit = float64(region.Settings.LinkCapacity)
			}
		}
		p.Rows = append(p.Rows, UsageRow{fmt.Sprintf("link %s-%s bit/s", link.From, link.To), r.LinkLoad[link], limit})
	}
	return p
}
