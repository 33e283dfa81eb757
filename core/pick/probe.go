package pick

import (
	"cmp"
	"maps"
	"slices"

	"clementinelock/core"
)

// LastAnswered returns the addresses of at most count endpoints besides the one given, those that answered this host last
// first.
func (t *Table) LastAnswered(id string, count int) (addresses []string) {
	var others []*Endpoint
	for _, e := range t.endpoints {
		if e.ID != id && e.answeredAt != 0 {
			others = append(others, e)
		}
	}
	slices.SortFunc(others, func(a, b *Endpoint) int {
		return cmp.Or(cmp.Compare(b.answeredAt, a.answeredAt), cmp.Compare(a.ID, b.ID))
	})
	for _, e := range others[:min(count, len(others))] {
		addresses = append(addresses, e.Address)
	}
	return addresses
}

// Probe is an endpoint to be probed.
type Probe struct {
	ID         string
	Address    string
	HealthPath string
}

// ProbeOf returns the probe of an endpoint that may get requests.
func (t *Table) ProbeOf(id string) (probe Probe, ok bool) {
	e := t.endpoints[id]
	if e == nil || !e.isActive() {
		return Probe{}, false
	}
	return Probe{e.ID, e.Address, t.configured[e.Service].HealthPath}, true
}

// ActiveAt returns the id of the endpoint at an address that may get requests.
func (t *Table) ActiveAt(address string) (id string, ok bool) {
	for _, e := range t.endpoints {
		if e.Address == address && e.isActive() {
			return e.ID, true
		}
	}
	return "", false
}

// Spread returns at most count endpoints to probe whether any can be reached: of as many services and availability zones as
// possible, this host's zone first. Endpoints that should get nothing, or little, are not among them, those that are cold or
// may be down only where there are too few others.
func (t *Table) Spread(now core.Millis, count int) (probes []Probe) {
	var candidates []*Endpoint
	for _, id := range slices.Sorted(maps.Keys(t.endpoints)) {
		if e := t.endpoints[id]; e.isActive() && !e.inBackoff(now) && !e.limited {
			candidates = append(candidates, e)
		}
	}
	t.Rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	services, zones := map[string]int{}, map[string]int{}
	weight := func(e *Endpoint) int {
		w := 2*services[e.Service] + 2*zones[e.Zone]
		if e.Zone != t.Zone {
			w++
		}
		if t.mayBeCold(now, e) || t.hasEnded(now, e) || now < e.ejectedUntil {
			w += 2 * count
		}
		return w
	}
	for len(probes) < count && len(candidates) > 0 {
		best := slices.MinFunc(candidates, func(a, b *Endpoint) int { return cmp.Compare(weight(a), weight(b)) })
		services[best.Service]++
		zones[best.Zone]++
		probes = append(probes, Probe{best.ID, best.Address, t.configured[best.Service].HealthPath})
		candidates = slices.DeleteFunc(candidates, func(e *Endpoint) bool { return e == best })
	}
	return probes
}
