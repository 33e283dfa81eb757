package tree

import (
	"maps"
	"slices"
)

// Region is one region of a view.
type Region struct {
	Name     string
	Zones    []string
	Settings *Service
	Drained  bool
}

// Zone is one availability zone of a view.
type Zone struct {
	Name, Region string
	Hosts        []Host
}

// View is a checked tree with all settings resolved, built once per version.
type View struct {
	Version  uint64
	Tree     *Tree
	Regions  []Region
	Zones    []Zone
	Services []string
	resolved map[serviceKey]*Service
	regionOf map[string]string
	hosts    map[string]HostPlace
	places   map[string]serviceKey
}

// HostPlace is an entry host with its region and availability zone.
type HostPlace struct {
	Host
	Region, Zone string
}

type serviceKey struct {
	zone, service string
}

// NewView resolves the settings of a checked tree.
func NewView(t *Tree) *View {
	v := &View{Version: t.Version, Tree: t, resolved: map[serviceKey]*Service{}, regionOf: map[string]string{}, hosts: map[string]HostPlace{}, places: map[string]serviceKey{}}
	zonesOf, services := t.zonesAndServices()
	v.Services = services
	for _, region := range slices.Sorted(maps.Keys(zonesOf)) {
		v.addRegion(region, slices.Sorted(maps.Keys(zonesOf[region])))
	}
	return v
}

func (t *Tree) zonesAndServices() (zonesOf map[string]map[string]bool, services []string) {
	zonesOf = map[string]map[string]bool{}
	seen := map[string]bool{}
	for path := range t.Nodes {
		parts, err := ParsePath(path)
		if err != nil {
			continue
		}
		if parts.Region != "" && zonesOf[parts.Region] == nil {
			zonesOf[parts.Region] = map[string]bool{}
		}
		if parts.Zone != "" {
			zonesOf[parts.Region][parts.Zone] = true
		}
		if parts.Service != "" {
			seen[parts.Service] = true
		}
	}
	return zonesOf, slices.Sorted(maps.Keys(seen))
}

func (v *View) addRegion(region string, zones []string) {
	regionSettings := v.Tree.Resolve(region, "", "")
	v.Regions = append(v.Regions, Region{Name: region, Zones: zones, Settings: regionSettings, Drained: regionSettings.Drained})
	for _, zone := range zones {
		own := v.Tree.Resolve(region, zone, "")
		v.regionOf[zone] = region
		v.Zones = append(v.Zones, Zone{Name: zone, Region: region, Hosts: own.Hosts})
		for _, host := range own.Hosts {
			v.hosts[host.Name] = HostPlace{host, region, zone}
		}
		for _, service := range v.Services {
			settings := v.Tree.Resolve(region, zone, service)
			v.resolved[serviceKey{zone, service}] = settings
			for _, endpoint := range settings.Endpoints {
				v.places[endpoint] = serviceKey{zone, service}
			}
		}
	}
}

// Service returns the settings in force for a zone's service, or nil if the tree has no such zone or service.
func (v *View) Service(zone, service string) *Service {
	return v.resolved[serviceKey{zone, service}]
}

// HasService reports whether the tree names the service.
func (v *View) HasService(service string) bool {
	_, found := slices.BinarySearch(v.Services, service)
	return found
}

// RegionOf returns the region of a zone, or the empty string.
func (v *View) RegionOf(zone string) string {
	return v.regionOf[zone]
}

// EndpointPlace returns the zone and the service of an endpoint, or empty strings.
func (v *View) EndpointPlace(endpoint string) (zone, service string) {
	place := v.places[endpoint]
	return place.zone, place.service
}

// Host returns the entry host of that name and whether there is one.
func (v *View) Host(name string) (HostPlace, bool) {
	place, ok := v.hosts[name]
	return place, ok
}

// HostNames returns the names of all entry hosts in sorted order.
func (v *View) HostNames() []string {
	return slices.Sorted(maps.Keys(v.hosts))
}

// ZoneHosts lists the names of a zone's entry hosts in the tree's order.
func (v *View) ZoneHosts(zone string) []string {
	for i := range v.Zones {
		if v.Zones[i].Name == zone {
			return hostNames(v.Zones[i].Hosts)
		}
	}
	return nil
}

// RegionHosts lists the names of a region's entry hosts, zone by zone.
func (v *View) RegionHosts(region string) []string {
	var names []string
	for i := range v.Zones {
		if v.Zones[i].Region == region {
			names = append(names, hostNames(v.Zones[i].Hosts)...)
		}
	}
	return names
}

func hostNames(hosts []Host) []string {
	names := make([]string, len(hosts))
	for i, host := range hosts {
		names[i] = host.Name
	}
	return names
}
