package route

import (
	"net/netip"
	"slices"

	"clementinelock/core"
	"clementinelock/core/block"
	"clementinelock/core/plan"
	"clementinelock/core/tree"
)

// EntryHost is one entry host in a look-up's answer.
type EntryHost struct {
	Host    string
	Address string
	Zone    string
	Region  string
}

// Directory answers look-ups from memory; it is made anew when hosts come and go and is never changed.
type Directory struct {
	Version uint64
	Region  string
	regions []string
	blocks  *block.Table
	lists   map[string][]regionList
}

// regionList holds the entry hosts for one service and the clients of one region: groups of equal distance, nearest first.
type regionList struct {
	timeToLive core.Millis
	groups     [][]EntryHost
}

// Directory makes the look-ups' table from what is known now.
func (r *Router) Directory(now core.Millis, p *plan.Plan) *Directory {
	d := &Directory{Version: r.view.Version, Region: r.Region, blocks: &block.Table{}, lists: map[string][]regionList{}}
	for i, region := range r.view.Regions {
		d.regions = append(d.regions, region.Name)
		for _, prefix := range region.Root.Clients {
			// The tree's check has let only prefixes through that the table takes.
			_ = d.blocks.Set(prefix, block.Site(i+1))
		}
	}
	for _, service := range r.view.Services {
		for _, region := range r.view.Regions {
			d.lists[service] = append(d.lists[service], r.listFor(now, p, region, service))
		}
	}
	return d
}

// listFor orders the regions for clients of one: their own, unless the plan sends nothing there, then the others by their share.
func (r *Router) listFor(now core.Millis, p *plan.Plan, client tree.Region, service string) regionList {
	shares := p.Of(client.Name, service)
	regions := slices.Clone(r.view.Regions)
	slices.SortStableFunc(regions, func(a, b tree.Region) int {
		return compareRegions(client.Name, shares, a, b)
	})
	list := regionList{}
	for _, region := range regions {
		for _, zone := range region.Zones {
			if s := r.view.Service(zone, service); s != nil && (list.timeToLive == 0 || s.LookupTimeToLive < list.timeToLive) {
				list.timeToLive = s.LookupTimeToLive
			}
		}
		if group := r.group(now, region, service); len(group) > 0 {
			list.groups = append(list.groups, group)
		}
	}
	return list
}

func compareRegions(client string, shares map[string]float64, a, b tree.Region) int {
	rank := func(region tree.Region) float64 {
		share := shares[region.Name]
		if region.Name == client && (shares == nil || share > 0) {
			return 2
		}
		return share
	}
	switch {
	case rank(a) > rank(b):
		return -1
	case rank(a) < rank(b):
		return 1
	default:
		return 0
	}
}

// group lists a region's entry hosts that are neither known to be dead nor leaving, the service's keepers first.
func (r *Router) group(now core.Millis, region tree.Region, service string) []EntryHost {
	var keepers, others []EntryHost
	for _, zone := range r.view.Zones {
		if zone.Region != region.Name {
			continue
		}
		keeper, _ := r.Keepers.Keeper(now, zone.Name, service)
		for _, host := range zone.Hosts {
			state := r.Keepers.Liveness(now, host.Name)
			if state == core.Dead || state == core.Leaving {
				continue
			}
			entry := EntryHost{host.Name, host.CallerAddress, zone.Name, region.Name}
			if host.Name == keeper.Host {
				keepers = append(keepers, entry)
			} else {
				others = append(others, entry)
			}
		}
	}
	return append(keepers, others...)
}

// RegionOf returns the region of a client's address: by its block, else the region of this host.
func (d *Directory) RegionOf(client netip.Addr) string {
	site := d.blocks.Find(client)
	if site == 0 || int(site) > len(d.regions) {
		return d.Region
	}
	return d.regions[site-1]
}

// Find returns the entry hosts for a service and a client, nearest first, with how long the answer may be kept. Clients with different seeds begin at different hosts of a group.
func (d *Directory) Find(service string, client netip.Addr, seed uint64, into []EntryHost) (hosts []EntryHost, timeToLive core.Millis, ok bool) {
	lists, ok := d.lists[service]
	if !ok {
		return nil, 0, false
	}
	region := slices.Index(d.regions, d.RegionOf(client))
	if region < 0 {
		return nil, 0, false
	}
	list := &lists[region]
	for _, group := range list.groups {
		start := int(seed % uint64(len(group)))
		into = append(into, group[start:]...)
		into = append(into, group[:start]...)
	}
	return into, list.timeToLive, true
}
