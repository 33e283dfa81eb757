package route

import (
	"net/netip"
	"slices"

	"clementinelock/core"
	"clementinelock/core/block"
	"clementinelock/core/plan"
	"clementinelock/core/tree"
)

// EntryHost describes an entry host in the answer to a look-up.
type EntryHost struct {
	Host    string
	Address string
	Zone    string
	Region  string
}

// Directory answers look-ups from memory. It is immutable and rebuilt when hosts join or leave.
type Directory struct {
	Version uint64
	Region  string
	regions []string
	blocks  *block.Table
	// lists holds, by service, one list for the clients of each of the regions, in the order of regions.
	lists map[string][]regionList
}

// regionList holds the entry hosts for one service and the clients of one region, nearest region first.
type regionList struct {
	timeToLive core.Millis
	regions    []regionHosts
}

// regionHosts holds one region's entry hosts by zone. The rotation names a zone once per available endpoint, so that
// clients spread over the zones in proportion to their endpoints.
type regionHosts struct {
	zones    [][]EntryHost
	rotation []int
}

// Directory builds the directory from the tree, the plan and the hosts that are alive now.
func (r *Router) Directory(now core.Millis, p *plan.Plan) *Directory {
	d := &Directory{Version: r.view.Version, Region: r.Region, blocks: r.clientBlocks(), lists: map[string][]regionList{}}
	for _, region := range r.view.Regions {
		d.regions = append(d.regions, region.Name)
	}
	for _, service := range r.view.Services {
		hostsByRegion := map[string]regionHosts{}
		for _, region := range r.view.Regions {
			hostsByRegion[region.Name] = r.regionHosts(now, region, service)
		}
		timeToLive := r.timeToLive(service)
		for _, region := range r.view.Regions {
			list := regionList{timeToLive: timeToLive, regions: r.orderRegions(p, region.Name, service, hostsByRegion)}
			d.lists[service] = append(d.lists[service], list)
		}
	}
	return d
}

// clientBlocks maps the client address blocks of the tree to regions; it is built once per version of the tree.
func (r *Router) clientBlocks() *block.Table {
	if r.blocks != nil {
		return r.blocks
	}
	r.blocks = &block.Table{}
	for i, region := range r.view.Regions {
		for _, prefix := range region.Settings.Clients {
			// Set can't fail: the tree's validation accepts only prefixes that the table supports.
			_ = r.blocks.Set(prefix, block.Site(i+1))
		}
	}
	return r.blocks
}

// timeToLive returns the shortest time to live that is set for the service in any zone.
func (r *Router) timeToLive(service string) core.Millis {
	shortest := core.Millis(0)
	for _, zone := range r.view.Zones {
		if s := r.view.Service(zone.Name, service); s != nil && (shortest == 0 || s.LookupTimeToLive < shortest) {
			shortest = s.LookupTimeToLive
		}
	}
	return shortest
}

// orderRegions returns the hosts of all regions in the order for clients of one region: the clients' own region
// first unless the plan gives it no share, then the others by descending share.
func (r *Router) orderRegions(p *plan.Plan, client, service string, hostsByRegion map[string]regionHosts) []regionHosts {
	shares := p.SharesOf(client, service)
	regions := slices.Clone(r.view.Regions)
	slices.SortStableFunc(regions, func(a, b tree.Region) int {
		return compareRegions(client, shares, a, b)
	})
	var out []regionHosts
	for _, region := range regions {
		if group := hostsByRegion[region.Name]; len(group.zones) > 0 {
			out = append(out, group)
		}
	}
	return out
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

// regionHosts returns a region's entry hosts that are neither dead nor leaving.
func (r *Router) regionHosts(now core.Millis, region tree.Region, service string) regionHosts {
	group := regionHosts{}
	for _, zone := range r.view.Zones {
		if zone.Region != region.Name {
			continue
		}
		hosts := r.zoneEntryHosts(now, zone, service)
		if len(hosts) == 0 {
			continue
		}
		for range r.zoneWeight(zone.Name, service) {
			group.rotation = append(group.rotation, len(group.zones))
		}
		group.zones = append(group.zones, hosts)
	}
	if len(group.rotation) == 0 {
		// No zone has an available endpoint; any host can still forward requests to other regions.
		for i := range group.zones {
			group.rotation = append(group.rotation, i)
		}
	}
	return group
}

// zoneWeight returns a zone's weight in the rotation: the number of its endpoints that are not leaving.
func (r *Router) zoneWeight(zone, service string) int {
	s := r.view.Service(zone, service)
	if s == nil || s.Drained {
		return 0
	}
	return len(s.Endpoints) - len(s.Leaving)
}

// smallZoneHosts is the number of hosts up to which a zone's lease holder comes first for all its clients.
const smallZoneHosts = 4

// zoneEntryHosts returns a zone's entry hosts. In a small zone the lease holder of the service comes first, which
// saves the requests of its clients a hop to it.
func (r *Router) zoneEntryHosts(now core.Millis, zone tree.Zone, service string) []EntryHost {
	var out []EntryHost
	holder, _ := r.Membership.Keeper(now, zone.Name, service)
	for _, host := range zone.Hosts {
		state := r.Membership.Liveness(now, host.Name)
		if state == core.Dead || state == core.Leaving {
			continue
		}
		entry := EntryHost{host.Name, host.CallerAddress, zone.Name, zone.Region}
		if host.Name == holder.Host && len(zone.Hosts) <= smallZoneHosts {
			out = append([]EntryHost{entry}, out...)
		} else {
			out = append(out, entry)
		}
	}
	return out
}

// RegionOf returns the region of a client address by its address block, or this host's region if no block has it.
func (d *Directory) RegionOf(client netip.Addr) string {
	site := d.blocks.Find(client)
	if site == 0 || int(site) > len(d.regions) {
		return d.Region
	}
	return d.regions[site-1]
}

// Find appends the entry hosts for a service and a client to into, nearest first, and returns them with the time
// to live of the answer. Different seeds start at different hosts of a region. It returns false for an unknown
// service or region.
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
	for i := range list.regions {
		into = list.regions[i].appendTo(into, seed)
	}
	return into, list.timeToLive, true
}

// appendTo appends the region's hosts, starting with the zone at the seed's place in the rotation.
func (g *regionHosts) appendTo(into []EntryHost, seed uint64) []EntryHost {
	first := g.rotation[seed%uint64(len(g.rotation))]
	for i := range g.zones {
		hosts := g.zones[(first+i)%len(g.zones)]
		start := 0
		if len(hosts) > smallZoneHosts {
			start = int((seed >> 16) % uint64(len(hosts)))
		}
		into = append(into, hosts[start:]...)
		into = append(into, hosts[:start]...)
	}
	return into
}
