package route

import (
	"math/rand/v2"
	"slices"

	"clementinelock/core"
	"clementinelock/core/block"
	"clementinelock/core/member"
	"clementinelock/core/tree"
)

// loadReportTTL is the time for which a lease holder's own report of free slots takes precedence over gossip.
const loadReportTTL = 300 * core.Millisecond

// Target is an availability zone that may serve a request, with the holder of its slots lease and its load.
type Target struct {
	Zone        string
	Region      string
	LeaseHolder string
	Free        int
	Waiting     int
}

// Membership reports which hosts hold the slots leases and which hosts and zones are reachable.
type Membership interface {
	core.Health
	// Keeper returns the lease holder of a zone's service by the latest report.
	Keeper(now core.Millis, zone, service string) (member.KeeperStatus, bool)
	// ZoneReached reports whether the zone was heard from recently.
	ZoneReached(now core.Millis, zone string) bool
}

// Shares returns the planned shares of a region's demand for a service, by target region; nil without a plan.
type Shares func(region, service string) map[string]float64

type zoneService struct {
	zone, service string
}

type loadReport struct {
	free, waiting int
	at            core.Millis
}

// Router orders targets for one host. The exported fields must be set before use.
type Router struct {
	Self       string
	Region     string
	Zone       string
	Rand       *rand.Rand
	Membership Membership
	Shares     Shares

	view        *tree.View
	loadReports map[zoneService]loadReport
	blocks      *block.Table
}

// SetView switches to a new version of the tree and drops all load reports.
func (r *Router) SetView(view *tree.View) {
	r.view = view
	r.loadReports = map[zoneService]loadReport{}
	r.blocks = nil
}

// RecordLoad stores a lease holder's report of its free slots and waiting requests.
func (r *Router) RecordLoad(now core.Millis, zone, service string, free, waiting int) {
	if r.loadReports == nil {
		return
	}
	r.loadReports[zoneService{zone, service}] = loadReport{free, waiting, now}
}

// PickRegion draws the region for a request by the plan's shares. Without a plan it is the local region if that
// has the service, else the first by name that has it.
func (r *Router) PickRegion(service string) string {
	shares := r.Shares(r.Region, service)
	draw := r.Rand.Float64()
	for _, region := range r.view.Regions {
		draw -= shares[region.Name]
		if shares[region.Name] > 0 && draw < 0 {
			return region.Name
		}
	}
	if len(shares) > 0 {
		return r.Region
	}
	return r.nearestRegionWith(service)
}

// nearestRegionWith returns the local region if it has the service, else the first one by name that has it.
func (r *Router) nearestRegionWith(service string) string {
	first := ""
	for _, region := range r.view.Regions {
		if !r.regionHas(region, service) {
			continue
		}
		if region.Name == r.Region {
			return r.Region
		}
		if first == "" {
			first = region.Name
		}
	}
	if first == "" {
		return r.Region
	}
	return first
}

func (r *Router) regionHas(region tree.Region, service string) bool {
	for _, zone := range region.Zones {
		if s := r.view.Service(zone, service); s != nil && len(s.Endpoints) > 0 && !s.Drained {
			return true
		}
	}
	return false
}

// FailoverRegions returns the other regions that have the service, by name; nil if the tree does not let an
// emergency bypass the shift cap.
func (r *Router) FailoverRegions(service string) []string {
	own := r.view.Service(r.Zone, service)
	if own == nil || !own.EmergencyPasses {
		return nil
	}
	var out []string
	for _, region := range r.view.Regions {
		if region.Name != r.Region && r.regionHas(region, service) {
			out = append(out, region.Name)
		}
	}
	return out
}

// Targets returns the zones of a region that may serve a service. Zones with free slots come first: the local
// zone, then by the number of free slots; the others follow by the number of waiting requests.
func (r *Router) Targets(now core.Millis, region, service string) []Target {
	var out []Target
	for _, zone := range r.view.Zones {
		if zone.Region != region {
			continue
		}
		if target, ok := r.target(now, zone, service); ok {
			out = append(out, target)
		}
	}
	r.Rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, r.compareTargets)
	return out
}

func (r *Router) target(now core.Millis, zone tree.Zone, service string) (Target, bool) {
	s := r.view.Service(zone.Name, service)
	if s == nil || s.Drained || len(s.Endpoints) == 0 {
		return Target{}, false
	}
	holder, ok := r.Membership.Keeper(now, zone.Name, service)
	if !ok || r.Membership.Liveness(now, holder.Host) == core.Dead {
		return Target{}, false
	}
	t := Target{zone.Name, zone.Region, holder.Host, holder.Free, holder.Waiting}
	if n, ok := r.loadReports[zoneService{zone.Name, service}]; ok && now-n.at < loadReportTTL && holder.Host != r.Self {
		t.Free, t.Waiting = n.free, n.waiting
	}
	return t, true
}

func (r *Router) compareTargets(a, b Target) int {
	if (a.Free > 0) != (b.Free > 0) {
		if a.Free > 0 {
			return -1
		}
		return 1
	}
	if a.Free > 0 && (a.Zone == r.Zone) != (b.Zone == r.Zone) {
		if a.Zone == r.Zone {
			return -1
		}
		return 1
	}
	if a.Free > 0 {
		return b.Free - a.Free
	}
	return a.Waiting - b.Waiting
}
