package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"clementinelock/core"
)

// Parameters of how many entry hosts of an availability zone look-ups name.
const (
	// minNamed is the smallest number that is named where a zone has as many, so that a host that falls or stands
	// still concerns a tenth of the zone's callers.
	minNamed = 10
	// initialNamedFraction of a zone's hosts is named before its load is known.
	initialNamedFraction = 0.4
	namedInterval        = 500 * core.Millisecond
	// lowerInterval is the time between two reductions by one host, so that callers don't move to and fro when the
	// load varies.
	lowerInterval = 2 * core.Second
)

// ZoneLoad is the sum of the loads of a control host's entry hosts in one availability zone.
type ZoneLoad struct {
	Zone string `cbor:"1,keyasint"`
	Load uint32 `cbor:"2,keyasint"`
}

// namedCount is the number of a zone's entry hosts that look-ups name.
type namedCount struct {
	count     int
	loweredAt core.Millis
}

// updateNamed follows the load of each zone with the number of hosts that look-ups name: few hosts with much traffic
// each reuse their connections to endpoints and know the endpoints' load. The number rises at once and falls slowly.
func (c *Control) updateNamed(now core.Millis) {
	c.namedAt = now + namedInterval
	loads := map[string]uint32{}
	add := func(each []ZoneLoad) {
		for _, l := range each {
			loads[l.Zone] += l.Load
		}
	}
	add(c.zoneLoads())
	for _, other := range c.controls {
		add(other.loads)
	}
	ready, reporting := map[string]int{}, map[string]int{}
	for _, e := range c.readyEntries() {
		ready[e.Zone]++
		if e.ReportsLoad {
			reporting[e.Zone]++
		}
	}
	next := make(map[string]namedCount, len(ready))
	for zone, hosts := range ready {
		if reporting[zone] < hosts {
			continue
		}
		needed := max(minNamed, int(math.Ceil(float64(loads[zone])/fullLoad)))
		n, known := c.named[zone]
		switch {
		case !known:
			n = namedCount{count: max(needed, int(math.Ceil(initialNamedFraction*float64(hosts)))), loweredAt: now}
		case needed >= n.count:
			n = namedCount{count: needed, loweredAt: now}
		case now-n.loweredAt >= lowerInterval:
			n = namedCount{count: n.count - 1, loweredAt: now}
		}
		n.count = min(n.count, hosts)
		next[zone] = n
	}
	c.named = next
}

// zoneLoads returns the load of the entry hosts that report here, by availability zone.
func (c *Control) zoneLoads() []ZoneLoad {
	loads := map[string]uint32{}
	for _, e := range c.entries {
		if !e.Left {
			loads[e.Zone] += e.Load
		}
	}
	out := make([]ZoneLoad, 0, len(loads))
	for _, zone := range slices.Sorted(maps.Keys(loads)) {
		out = append(out, ZoneLoad{zone, loads[zone]})
	}
	return out
}

// Directory lists the addresses of the entry hosts that a client in the availability zone should use: as many of the
// zone as its load needs, those of the region if the zone has fewer than two, and all if the region has fewer than two
// as well.
func (c *Control) Directory(region, zone string) []string {
	all := withoutCut(c.readyEntries())
	for _, near := range []func(EntryHost) bool{
		func(e EntryHost) bool { return e.Zone == zone },
		func(e EntryHost) bool { return e.Region == region },
		func(EntryHost) bool { return true },
	} {
		var hosts []EntryHost
		for _, e := range all {
			if near(e) {
				hosts = append(hosts, e)
			}
		}
		if len(hosts) >= min(2, len(all)) {
			return c.limitToNamed(hosts)
		}
	}
	return nil
}

// withoutCut returns the hosts without those that reach no endpoint, unless these are half of an availability zone or
// more: they serve through others, which must not get all callers of the zone.
func withoutCut(hosts []EntryHost) []EntryHost {
	all, cut := map[string]int{}, map[string]int{}
	for _, e := range hosts {
		all[e.Zone]++
		if e.Cut {
			cut[e.Zone]++
		}
	}
	if len(cut) == 0 {
		return hosts
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(e EntryHost) bool { return e.Cut && 2*cut[e.Zone] < all[e.Zone] })
}

// limitToNamed returns the addresses of the hosts that are named of each availability zone, sorted.
func (c *Control) limitToNamed(hosts []EntryHost) []string {
	slices.SortFunc(hosts, func(a, b EntryHost) int { return cmp.Compare(a.Address, b.Address) })
	taken := map[string]int{}
	var addresses []string
	for _, e := range hosts {
		n, limited := c.named[e.Zone]
		if limited && taken[e.Zone] >= n.count {
			continue
		}
		taken[e.Zone]++
		addresses = append(addresses, e.Address)
	}
	return addresses
}
