package pick

import (
	"clementinelock/core"

	"github.com/cespare/xxhash/v2"
)

// preference is one region's two endpoints that keep an object's data, the more preferred one first.
type preference struct {
	region        string
	first, second *Endpoint
	firstHash     uint64
	secondHash    uint64
}

// preferences are an object's preferences in all regions. Two of them let a busy endpoint share its objects with others that have their data too.
type preferences []preference

// preferencesOf finds an object's preferencesOf by rendezvous hashing; endpoints that are cold or out of use have none.
func (t *Table) preferencesOf(now core.Millis, s *service, object string) preferences {
	if object == "" {
		return nil
	}
	found := make(preferences, 0, usualRegions)
	for _, e := range s.endpoints {
		if !e.isActive() || e.isCold(now) {
			continue
		}
		found = found.insert(e, rendezvous(object, e.ID))
	}
	return found
}

// usualRegions is how many regions are expected; more only cost memory.
const usualRegions = 4

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

// Affinity tells what an endpoint is to an object.
type Affinity string

// The places of an object; None is that of requests without one.
const (
	None   Affinity = "None"
	First  Affinity = "First"
	Second Affinity = "Second"
	// Known endpoints are no homes, but this host has sent them the object lately.
	Known Affinity = "Known"
	Other Affinity = "Other"
)

// affinityOf tells what the endpoint is to the object whose homes these are.
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

// rendezvous ranks an endpoint for an object.
func rendezvous(object, id string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// A digest takes every write.
	_, _ = digest.WriteString(object)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}
