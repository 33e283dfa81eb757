package pick

import (
	"clementinelock/core"

	"github.com/cespare/xxhash/v2"
)

// preference holds the two endpoints of one region that keep an object's data, the preferred one first.
type preference struct {
	region        string
	first, second *Endpoint
	firstHash     uint64
	secondHash    uint64
}

// preferences are an object's preferred endpoints in all regions. With two in each, a busy endpoint shares its
// objects with others that have their data too.
type preferences []preference

// preferencesOf ranks the endpoints for an object by rendezvous hashing; cold and inactive endpoints are left
// out.
func (t *Table) preferencesOf(now core.Millis, s *service, object string) preferences {
	if object == "" {
		return nil
	}
	found := make(preferences, 0, expectedRegions)
	for _, e := range s.endpoints {
		if !e.isActive() || t.mayBeCold(now, e) {
			continue
		}
		found = found.insert(e, rendezvous(object, e.ID))
	}
	return found
}

// expectedRegions is the number of regions for which lists are allocated; more regions only cause reallocations.
const expectedRegions = 4

func (p preferences) insert(e *Endpoint, hash uint64) preferences {
	for i := range p {
		if p[i].region == e.Region {
			p[i].insert(e, hash)
			return p
		}
	}
	return append(p, preference{region: e.Region, first: e, firstHash: hash})
}

func (p *preference) insert(e *Endpoint, hash uint64) {
	switch {
	case hash > p.firstHash:
		p.second, p.secondHash = p.first, p.firstHash
		p.first, p.firstHash = e, hash
	case p.second == nil || hash > p.secondHash:
		p.second, p.secondHash = e, hash
	}
}

// Affinity is an endpoint's relation to an object, which shows whether it has the object's data at hand.
type Affinity string

// The affinities; None is that of requests without an object.
const (
	None   Affinity = "None"
	First  Affinity = "First"
	Second Affinity = "Second"
	// Known endpoints are not preferred, but this host has sent them the object lately.
	Known Affinity = "Known"
	Other Affinity = "Other"
)

// affinityOf returns the endpoint's affinity to the object with these preferences.
func (p preferences) affinityOf(now core.Millis, e *Endpoint, object string) Affinity {
	if object == "" {
		return None
	}
	for i := range p {
		switch e {
		case p[i].first:
			return First
		case p[i].second:
			return Second
		}
	}
	if e.isWarmFor(now, object) {
		return Known
	}
	return Other
}

// rendezvous returns the hash of an object with an endpoint or a region. The endpoint with the highest hash is
// preferred.
func rendezvous(object, id string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// Writing to a digest never fails.
	_, _ = digest.WriteString(object)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}
