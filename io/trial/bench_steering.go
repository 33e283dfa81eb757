package trial

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"clementinelock/core"
	"clementinelock/core/ctrl"
	"clementinelock/core/host"
	"clementinelock/core/member"
	"clementinelock/core/model"
	"clementinelock/core/plan"
	"clementinelock/core/tree"
	"clementinelock/io/plots"
)

const planRuns = 50

// benchSteering compares plans with the optimum and measures how faults affect callers.
func benchSteering(_ context.Context, b *bench) error {
	for _, user := range users {
		s, err := newSite(b, user, nil)
		if err != nil {
			return err
		}
		b.comparePlans(user, s.View)
	}
	b.planTime()
	if err := b.benchShift(); err != nil {
		return err
	}
	for _, user := range users {
		if err := benchFaults(b, user); err != nil {
			return err
		}
	}
	return nil
}

// planInput returns the planner's input, without a previous plan, for demand at a share of all slots.
// The demand of the first region is multiplied by step; the availability zone named by lost is left out.
func planInput(view *tree.View, part, step float64, lost string) plan.Input {
	in := plan.Input{View: view, Demand: map[plan.Flow]float64{}, BitsPerRequest: map[string]float64{}, LinkUsed: map[plan.Link]float64{}}
	times := map[string]core.Millis{}
	for _, service := range view.Services {
		times[service] = 8
		in.BitsPerRequest[service] = 8 * 4096
	}
	none := func(string) bool { return false }
	pools := plan.Pools(view, times, none, none)
	for i, site := range pools {
		factor := part
		if site.Region == view.Regions[0].Name {
			factor *= step
		}
		in.Demand[plan.Flow{Region: site.Region, Service: site.Service}] = pools[i].Capacity * factor
	}
	in.Pools = plan.Pools(view, times, func(zone string) bool { return zone == lost }, none)
	return in
}

// comparePlans compares two figures of plans with the optimum: the largest use of a region after the loss of any
// availability zone, and the share of demand served in its own region.
func (b *bench) comparePlans(user string, view *tree.View) {
	for _, part := range []float64{0.6, 0.8} {
		worst := 0.0
		for _, zone := range view.Zones {
			in := planInput(view, part, 1, zone.Name)
			best := optimalUse(in)
			worst = max(worst, largestUse(in, plan.Compute(in))/min(1, best))
		}
		b.add(fmt.Sprintf("%s at %.0f%%: largest region use after any zone's loss, over the optimum", user, 100*part), worst <= 1.05, "≤ 1.05", "%.3f", worst)
	}
	for _, load := range []struct{ part, step float64 }{{0.6, 1}, {0.8, 1}, {0.95, 1}, {0.3, 3}} {
		in := planInput(view, load.part, load.step, "")
		r := plan.Compute(in)
		local, total, refused := 0.0, 0.0, 0.0
		for flow, demand := range in.Demand {
			local += demand * r.Plan.SharesOf(flow.Region, flow.Service)[flow.Region]
			total += demand
			refused += r.Refused[flow]
		}
		best := optimalLocalShare(in)
		b.add(fmt.Sprintf("%s at %.0f%%, %g× in one region: served at home, over the optimum", user, 100*load.part, load.step), local/total >= 0.95*best, "≥ 0.95", "%.3f (refused %.2f%%)", local/total/best, 100*refused/total)
	}
}

// largestUse returns the largest share of a pool's capacity that a plan uses.
func largestUse(in plan.Input, r plan.Result) float64 {
	most := 0.0
	for _, site := range in.Pools {
		if site.Capacity > 0 {
			most = max(most, r.PoolLoad[plan.Flow{Region: site.Region, Service: site.Service}]/site.Capacity)
		}
	}
	return most
}

// optimalUse returns the lowest level of use that is possible for all demand: that of the service with the highest
// use of its pools together, since any region may serve any other.
func optimalUse(in plan.Input) float64 {
	most := 0.0
	for _, service := range in.View.Services {
		demand, capacity := 0.0, 0.0
		for _, region := range in.View.Regions {
			demand += in.Demand[plan.Flow{Region: region.Name, Service: service}]
			capacity += poolCapacity(in, region.Name, service)
		}
		most = max(most, demand/capacity)
	}
	return most
}

func poolCapacity(in plan.Input, region, service string) float64 {
	i := slices.IndexFunc(in.Pools, func(s plan.Pool) bool { return s.Region == region && s.Service == service })
	if i < 0 {
		return 0
	}
	return in.Pools[i].Capacity
}

// optimalLocalShare returns the largest share of demand that can be served in its own region.
func optimalLocalShare(in plan.Input) float64 {
	local, total := 0.0, 0.0
	for flow, demand := range in.Demand {
		local += min(demand, poolCapacity(in, flow.Region, flow.Service))
		total += demand
	}
	return local / total
}

// planTime measures the time of one plan at the number of regions and zones expected in two years.
func (b *bench) planTime() {
	view := tree.NewView(scaleTree(futureNodes))
	in := planInput(view, 0.8, 1.2, "")
	began := time.Now()
	for range planRuns {
		plan.Compute(in)
	}
	took := time.Since(began) / planRuns
	b.add(fmt.Sprintf("one plan for %d regions, %d zones", len(view.Regions), len(view.Zones)), took < 100*time.Millisecond, "< 100ms", "%s", took.Round(10*time.Microsecond))
}

// benchShift drains a region on virtual time and records its share of the traffic.
func (b *bench) benchShift() error {
	s, err := newSite(b, "instituto", nil)
	if err != nil {
		return err
	}
	const service = "extratos"
	load := startLoad(s, service, 0.3, 0, core.Second)
	s.RunFor(warmUpTime)
	region := s.View.Regions[0].Name
	edit := &tree.Edit{ID: "drain", Base: newestVersion(s), Changes: []tree.Change{{Path: tree.Path("/" + region), Setting: "Weight", Value: "0"}}}
	began := s.Now
	s.Ask(s.Control[0], ctrl.Request{Question: ctrl.AskEdit, Edit: edit}, func(*ctrl.Body, *core.Refusal) {})
	line := plots.Line{Name: region}
	worst, previous, settled := 0.0, 1.0, core.Millis(0)
	for s.Now-began < 5*core.Minute && settled == 0 {
		s.RunFor(core.Second)
		share := s.Machines[s.View.RegionHosts(region)[0]].Dump(s.Now).Plan.SharesOf(region, service)[region]
		worst = max(worst, previous-share)
		previous = share
		line.X, line.Y = append(line.X, float64(s.Now-began)/1000), append(line.Y, share)
		if share == 0 {
			settled = s.Now - began
		}
	}
	load.Stop()
	s.RunFor(2 * core.Second)
	// A third of the service's traffic is the region's; the cap is 0.3 of the service per minute, so that the region's
	// own share may fall by 0.9 per minute.
	b.add("region emptied by weight 0, cap 0.3/min: time to settle", settled > 0, "", "%s", settled)
	b.add("largest step of its share in a second", worst <= 0.9/60*10+0.01, "", "%.3f", worst)
	if b.plots == "" {
		return nil
	}
	return plots.Lines(filepath.Join(b.plots, "shift.png"), "A region emptied under its shift cap", "seconds", "share kept", line)
}

// fault is one fault under which callers are measured.
type fault struct {
	name      string
	loadShare float64
	inject    func(s *model.Deployment)
	// minAnswered is the smallest share of requests that must be answered.
	minAnswered float64
}

var benchFaultTable = []fault{
	{"none", 0.6, func(*model.Deployment) {}, 0.999},
	{"a host crashes", 0.6, func(s *model.Deployment) { s.Kill(s.View.HostNames()[1]) }, 0.99},
	{"a zone is lost", 0.6, func(s *model.Deployment) { loseZone(s, s.View.Zones[len(s.View.Zones)-1].Name) }, 0},
	{"a zone is cut off", 0.6, func(s *model.Deployment) { s.CutZone(s.View.Zones[0].Name, true) }, 0.95},
	{"a region is lost", 0.6, func(s *model.Deployment) {
		for _, zone := range s.View.Regions[2].Zones {
			loseZone(s, zone)
		}
	}, 0},
	{"control is lost", 0.6, func(s *model.Deployment) {
		for _, name := range s.Control[1:] {
			s.Kill(name)
		}
	}, 0.99},
	{"reports mislead", 0.8, func(s *model.Deployment) {
		for _, u := range s.Upstream {
			u.ReportsIdle = true
		}
	}, 0.99},
}

func loseZone(s *model.Deployment, zone string) {
	for _, name := range s.View.ZoneHosts(zone) {
		s.Kill(name)
	}
	for _, u := range s.Upstream {
		if u.Zone == zone {
			u.Dead = true
		}
	}
}

// benchFaults measures the requests that are answered in the ten seconds after each fault.
func benchFaults(b *bench, user string) error {
	service := highService[user]
	for _, f := range benchFaultTable {
		s, err := newSite(b, user, nil)
		if err != nil {
			return err
		}
		load := startLoad(s, service, f.loadShare, 0.3, core.Second)
		s.RunFor(warmUpTime)
		f.inject(s)
		from := s.Now
		s.RunFor(measureTime)
		until := s.Now
		load.Stop()
		s.RunFor(2 * core.Second)
		s.CheckNoDuplicateRuns()
		first := collect(s, service, from, from+2*core.Second)
		rest := collect(s, service, from+2*core.Second, until)
		b.add(fmt.Sprintf("%s %s at %.0f%%, %s: answered after 2 s", user, service, 100*f.loadShare, f.name), rest.answeredShare() >= f.minAnswered, "", "%.2f%% (%.2f%% before), p99 %s", 100*rest.answeredShare(), 100*first.answeredShare(), quantile(rest.latencies, 0.99))
	}
	return benchDrain(b, user, service)
}

// benchDrain measures how long a leaving endpoint still gets new requests, and how long the planned stop of a host
// takes.
func benchDrain(b *bench, user, service string) error {
	s, err := newSite(b, user, nil)
	if err != nil {
		return err
	}
	load := startLoad(s, service, 0.6, 0.3, core.Second)
	s.RunFor(warmUpTime)
	zone := s.View.Zones[0].Name
	endpoint := s.View.Service(zone, service).Endpoints[0]
	notice := s.Now
	// The notice reaches a host far from the endpoint. That host is killed 100 ms later, when it has just told the
	// others.
	informed := s.View.ZoneHosts(s.View.Zones[len(s.View.Zones)-1].Name)[0]
	s.Step(informed, func(m *host.Machine) core.Effects {
		return m.ApplyFeed(s.Now, host.Feed{Notices: []member.Notice{{Endpoint: endpoint, Leaving: true, Since: notice}}})
	})
	s.At(s.Now+100, func() { s.Kill(informed) })
	served, last := s.Upstream[endpoint].Served, notice
	for s.Now < notice+8*core.Second {
		s.RunFor(1)
		if s.Upstream[endpoint].Served > served {
			served, last = s.Upstream[endpoint].Served, s.Now
		}
	}
	b.addBounded(user+" leaving endpoint's last new work after the notice", last-notice, 3*core.Second)
	stopped := s.View.HostNames()[0]
	began := s.Now
	s.Step(stopped, func(m *host.Machine) core.Effects { return m.Stop(s.Now) })
	for s.Now-began < waitTimeout {
		s.RunFor(10)
		if done, _ := s.Machines[stopped].Stopped(); done {
			break
		}
	}
	load.Stop()
	b.addBounded(user+" planned stop of a host under load", s.Now-began, 10*core.Second)
	return nil
}
